#include "limit_service/allocator_store.h"

#include <utility>

#include "base/boot_clock.h"
#include "telemetry/log.h"

namespace chestnutport::limit_service {

using limits::StoreOperationKind;
using limits::StoreStatus;

AllocatorStore::AllocatorStore(net::EventLoop& loop,
                               store::StoreClient& store,
                               std::string key)
    : loop_(loop), store_(store), key_(std::move(key)) {}

AllocatorStore::~AllocatorStore() {
  for (const auto& [id, call] : calls_)
    loop_.Cancel(call.timer);
}

void AllocatorStore::Execute(const limits::StoreOperation& operation,
                             Handler handler) {
  const uint64_t call = ++last_call_;
  Call& pending = calls_[call];
  pending.handler = std::move(handler);
  pending.result.id = operation.id;
  pending.result.sent_at = base::BootClock::now();
  pending.timer = loop_.CallAfter(
      kTimeout, [this, call] { Finish(call, StoreStatus::kFailed); });
  switch (operation.kind) {
    case StoreOperationKind::kReadEntry:
      Read(call);
      return;
    case StoreOperationKind::kGrantLease:
      Grant(call, operation.lease_time);
      return;
    case StoreOperationKind::kWriteEntry:
      Write(call, operation);
      return;
    case StoreOperationKind::kKeepLeaseAlive:
      KeepAlive(call, operation.lease);
      return;
    case StoreOperationKind::kEndLease:
      EndLease(call, operation.lease);
      return;
  }
}

void AllocatorStore::Read(uint64_t call) {
  store_.Read(key_, [this, call](const auto& entries) {
    if (entries)
      OnRead(call, entries.value());
    else
      Finish(call, StoreStatus::kFailed);
  });
}

void AllocatorStore::OnRead(uint64_t call,
                            const std::vector<store::StoreEntry>& entries) {
  auto* result = Find(call);
  if (!result)
    return;
  if (!entries.empty()) {
    const store::StoreEntry& read = entries.front();
    result->entry = limits::AllocatorEntry::Decode(read.value);
    result->revision = read.revision;
    // The author of an unreadable entry may still renew its lease, which has to
    // be ended before another allocator starts.
    if (!result->entry) {
      telemetry::LogEvent(telemetry::Event::kStoreEntryUnreadable,
                          {{"key", key_}});
      result->entry = limits::AllocatorEntry{.lease = read.lease};
    }
  }
  Finish(call, StoreStatus::kDone);
}

void AllocatorStore::Grant(uint64_t call, std::chrono::nanoseconds lease_time) {
  store_.GrantLease(std::chrono::ceil<std::chrono::milliseconds>(lease_time),
                    [this, call](const base::Result<store::LeaseId>& lease) {
                      auto* result = Find(call);
                      if (result && lease)
                        result->lease = lease.value();
                      Finish(call,
                             lease ? StoreStatus::kDone : StoreStatus::kFailed);
                    });
}

void AllocatorStore::Write(uint64_t call,
                           const limits::StoreOperation& operation) {
  store_.Write(key_, operation.revision, operation.entry.Encode(),
               operation.entry.lease, [this, call](const auto& revision) {
                 if (!revision) {
                   Finish(call, StoreStatus::kFailed);
                   return;
                 }
                 auto* result = Find(call);
                 if (result)
                   result->revision = revision.value().value_or(0);
                 Finish(call, revision.value() ? StoreStatus::kDone
                                               : StoreStatus::kConflict);
               });
}

void AllocatorStore::KeepAlive(uint64_t call, limits::StoreLease lease) {
  store_.KeepAlive(lease, [this, call](const base::Result<bool>& kept) {
    OnApplied(call, kept);
  });
}

void AllocatorStore::EndLease(uint64_t call, limits::StoreLease lease) {
  store_.EndLease(lease, [this, call](const base::Result<bool>& ended) {
    OnApplied(call, ended);
  });
}

void AllocatorStore::OnApplied(uint64_t call,
                               const base::Result<bool>& is_applied) {
  if (!is_applied)
    Finish(call, StoreStatus::kFailed);
  else
    Finish(call,
           is_applied.value() ? StoreStatus::kDone : StoreStatus::kConflict);
}

limits::StoreOperationResult* AllocatorStore::Find(uint64_t call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second.result;
}

void AllocatorStore::Finish(uint64_t call, StoreStatus status) {
  const auto found = calls_.find(call);
  if (found == calls_.end())
    return;
  loop_.Cancel(found->second.timer);
  limits::StoreOperationResult result = std::move(found->second.result);
  result.status = status;
  const Handler handler = std::move(found->second.handler);
  calls_.erase(found);
  handler(result);
}

}  // namespace chestnutport::limit_service
