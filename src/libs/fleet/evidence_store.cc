#include "fleet/evidence_store.h"

#include <algorithm>
#include <utility>

#include "quarantine/evidence_codec.h"
#include "telemetry/log.h"

namespace chestnutport::fleet {
namespace {

using quarantine::RequestEvidence;

constexpr char kName[] = "quarantine";
// The entry expires no earlier than the longest quarantine in it. If a further
// crash extends a quarantine, the entry is written again.
constexpr std::chrono::milliseconds kTimeToLive =
    quarantine::CrashLedger::kQuarantinePeriod;
// The writers of the data centres list the entries at random times within this
// period. In general they do so one after the other and see the entry written
// by the first.
constexpr std::chrono::milliseconds kWriteJitter(1000);

std::vector<RequestEvidence> EvidenceOf(
    const std::vector<RequestWithVerdict>& requests) {
  std::vector<RequestEvidence> all;
  all.reserve(requests.size());
  for (const RequestWithVerdict& request : requests)
    all.push_back(request.evidence);
  return all;
}

}  // namespace

EvidenceStore::EvidenceStore(net::EventLoop& loop,
                             store::StoreClient& store,
                             RequestQuarantine& quarantine,
                             const std::string& prefix,
                             ListHandler list_soon,
                             const base::Random& random)
    : loop_(loop),
      store_(store),
      quarantine_(quarantine),
      key_(prefix + kName),
      list_soon_(std::move(list_soon)),
      random_(random) {}

EvidenceStore::~EvidenceStore() {
  loop_.Cancel(timer_);
}

void EvidenceStore::OnListed(const std::vector<store::StoreEntry>& entries,
                             bool writes) {
  writes_ = writes;
  const auto found = std::ranges::find(entries, key_, &store::StoreEntry::key);
  const auto stored = Read(found == entries.end() ? "" : found->value);
  quarantine_.Learn(stored);
  const auto local = EvidenceOf(quarantine_.RequestsWithVerdict());
  const bool is_stored =
      quarantine::EvidenceDigest(local) == quarantine::EvidenceDigest(stored);
  if (writes && !local.empty() && !is_stored)
    Write(found == entries.end() ? 0 : found->revision);
}

std::vector<RequestEvidence> EvidenceStore::Read(const std::string& value) {
  auto read = quarantine::DecodeEvidence(value, loop_.now());
  const bool was_unreadable = std::exchange(is_unreadable_, !read);
  if (!read && !was_unreadable) {
    telemetry::LogEvent(telemetry::Event::kStoreEntryUnreadable,
                        {{"key", key_}});
  }
  return std::move(read).value_or(std::vector<RequestEvidence>());
}

void EvidenceStore::OnChanged() {
  if (!writes_ || timer_ != 0)
    return;
  const auto wait = std::uniform_int_distribution<base::Duration::rep>(
      0, base::Duration(kWriteJitter).count())(random_);
  timer_ = loop_.CallAfter(base::Duration(wait), [this] {
    timer_ = 0;
    list_soon_();
  });
}

// A write that conflicts with that of another node, or whose response is lost,
// is repeated after the next listing.
void EvidenceStore::Write(int64_t expected) {
  store_.GrantLease(kTimeToLive, [this, expected](auto lease) {
    if (!lease)
      return;
    const std::string bytes = quarantine::EncodeEvidence(
        EvidenceOf(quarantine_.RequestsWithVerdict()), loop_.now());
    store_.CompareAndSwap(key_, expected, bytes, lease.value(),
                          [](base::Result<bool>) {});
  });
}

}  // namespace chestnutport::fleet
