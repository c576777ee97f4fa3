#include "limits/share_allocator.h"

#include <algorithm>

namespace chestnutport::limits {
namespace {

// Bound on names that this node's configuration does not contain (yet).
constexpr size_t kMaxTenants = 100'000;

}  // namespace

void ShareAllocator::Start(uint64_t epoch,
                           const Roster& roster,
                           std::optional<base::BootInstant> takeover_until,
                           base::BootInstant now) {
  Stop();
  epoch_ = epoch;
  roster_ = roster;
  stored_roster_ = roster;
  takeover_until_ = takeover_until;
  earlier_leases_until_ = takeover_until.value_or(base::BootInstant());
  missing_ = roster;
  for (const TenantLimit& limit : limits_) {
    TenantAllocation& allocation = tenants_[limit.name];
    allocation.SetLimit(limit, now);
    allocation.Update(is_taking_over(now), renewed_at_, now);
  }
}

void ShareAllocator::SetAuthority(base::BootInstant until,
                                  base::BootInstant renewed_at) {
  authority_until_ = until;
  renewed_at_ = renewed_at;
}

void ShareAllocator::SetLimits(std::span<const TenantLimit> limits,
                               base::BootInstant now) {
  limits_.assign(limits.begin(), limits.end());
  if (!is_started())
    return;
  absl::flat_hash_map<std::string, TenantLimit> by_name;
  for (const TenantLimit& limit : limits)
    by_name[limit.name] = limit;
  // Accounts of removed tenants are kept: the tenants may come back while
  // nodes still hold leases.
  for (auto& [name, allocation] : tenants_) {
    if (!by_name.contains(name))
      allocation.SetLimit({}, now);
  }
  for (const auto& [name, limit] : by_name) {
    TenantAllocation& allocation = tenants_[name];
    allocation.SetLimit(limit, now);
    allocation.Update(is_taking_over(now), renewed_at_, now);
  }
  absl::erase_if(tenants_, [&](auto& item) {
    item.second.Update(is_taking_over(now), renewed_at_, now);
    return !item.second.has_limit() && !item.second.HasAccounts();
  });
}

std::optional<LimitAnswer> ShareAllocator::OnRequest(
    const LimitRequest& request,
    base::BootInstant now) {
  if (!is_started() || request.epoch != epoch_ || now >= authority_until_)
    return std::nullopt;
  roster_.insert(request.vm);
  ObserveProcess(request, now);
  const GrantTerms terms{.may_grant = stored_roster_.contains(request.vm),
                         .is_taking_over = is_taking_over(now),
                         .until = authority_until_,
                         .earlier_leases_until = earlier_leases_until_};
  LimitAnswer answer{.process = request.process,
                     .epoch = epoch_,
                     .sequence = request.sequence,
                     .remaining = authority_until_ - now,
                     .is_taking_over = terms.is_taking_over};
  for (const LimitRequestEntry& wanted : request.entries) {
    if (!tenants_.contains(wanted.tenant) && tenants_.size() >= kMaxTenants)
      return std::nullopt;
    TenantAllocation& allocation = tenants_[wanted.tenant];
    allocation.Update(terms.is_taking_over, renewed_at_, now);
    if (auto entry = allocation.Grant(request, wanted, terms, now))
      answer.entries.push_back(*entry);
  }
  if (answer.entries.empty() && !request.entries.empty())
    return std::nullopt;
  AdvanceTakeover(request, now);
  answer.serial = ++serial_;
  return answer;
}

// A VM runs one process at a time. One that asks after it has received an
// answer that was made after another one's request is the later one.
void ShareAllocator::ObserveProcess(const LimitRequest& request,
                                    base::BootInstant now) {
  auto& processes = processes_[request.vm];
  for (auto other = processes.begin(); other != processes.end();) {
    if (other->first == request.process ||
        request.last_answer <= other->second) {
      ++other;
      continue;
    }
    for (auto& [name, allocation] : tenants_)
      allocation.Remove(other->first, now);
    other = processes.erase(other);
  }
  processes[request.process] = serial_;
}

void ShareAllocator::AdvanceTakeover(const LimitRequest& request,
                                     base::BootInstant now) {
  if (!is_taking_over(now) || !request.has_reported_all ||
      (is_second_round_ && request.last_answer <= round_serial_))
    return;
  missing_.erase(request.vm);
  if (!missing_.empty())
    return;
  if (is_second_round_) {
    takeover_until_.reset();
    return;
  }
  is_second_round_ = true;
  round_serial_ = serial_;
  missing_ = stored_roster_;
}

void ShareAllocator::DropAbsent(const Roster& present, base::BootInstant now) {
  // Leases of earlier allocators are unknown until the phase has ended.
  if (!is_started() || is_taking_over(now) || now < earlier_leases_until_)
    return;
  for (auto& [name, allocation] : tenants_)
    allocation.Update(false, renewed_at_, now);
  std::erase_if(roster_, [&](const base::SocketAddress& vm) {
    if (present.contains(vm) || MayHoldLeases(vm))
      return false;
    processes_.erase(vm);
    return true;
  });
}

bool ShareAllocator::MayHoldLeases(const base::SocketAddress& vm) const {
  const auto found = processes_.find(vm);
  if (found == processes_.end())
    return false;
  return std::ranges::any_of(found->second, [this](const auto& process) {
    return std::ranges::any_of(tenants_, [&process](const auto& item) {
      return item.second.HasAccountOf(process.first);
    });
  });
}

void ShareAllocator::Stop() {
  epoch_ = 0;
  serial_ = 0;
  authority_until_ = {};
  renewed_at_ = {};
  roster_.clear();
  stored_roster_.clear();
  takeover_until_.reset();
  is_second_round_ = false;
  missing_.clear();
  tenants_.clear();
  processes_.clear();
}

void ShareAllocator::OnRosterStored(const Roster& roster) {
  stored_roster_ = roster;
}

bool ShareAllocator::is_taking_over(base::BootInstant now) const {
  return takeover_until_ && now < *takeover_until_;
}

std::vector<TenantAllocationView> ShareAllocator::View(base::BootInstant now) {
  std::vector<TenantAllocationView> views;
  for (auto& [name, allocation] : tenants_) {
    allocation.Update(is_taking_over(now), renewed_at_, now);
    views.push_back({.tenant = name,
                     .leased_rate = allocation.leased_rate(),
                     .leased_burst = allocation.leased_burst(),
                     .holders = allocation.holders(),
                     .demand = allocation.demand(now),
                     .free_tokens = allocation.free_tokens()});
  }
  return views;
}

}  // namespace chestnutport::limits
