#include "limits/tenant_limiter.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace chestnutport::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRegularInterval{1};
constexpr milliseconds kUrgentInterval{20};
constexpr milliseconds kLongestWait{100};
// A new allocator is told what this process holds until it answers that its
// takeover phase has ended. The phase lasts one lease time (4 s) at most.
constexpr milliseconds kConfirmInterval{50};
constexpr seconds kConfirmTime{5};
// After this time an allocator should be known again: the time to displace one.
constexpr seconds kUnknownRetryTime{2};

// Upper bounds of what an encoded request takes.
constexpr size_t kHeaderSize = 64;
constexpr size_t kEntrySize = 60;  // Without the tenant's name.

}  // namespace

TenantLimiter::TenantLimiter(base::NodeId process, base::SocketAddress vm)
    : process_(process), vm_(vm) {}

void TenantLimiter::SetLimits(std::span<const TenantLimit> limits,
                              base::BootInstant now) {
  decltype(tenants_) tenants;
  for (const TenantLimit& limit : limits) {
    if (limit.rate <= 0)
      continue;
    auto& share = tenants[limit.name];
    if (const auto known = tenants_.find(limit.name);
        known != tenants_.end() && known->second)
      share = std::move(known->second);
    if (!share)
      share = std::make_unique<TenantShare>();
    share->SetLimit(limit, now);
  }
  for (const auto& [name, share] : tenants_) {
    if (!share)
      continue;
    for (const WaitingRequest& request : share->waiting()) {
      waiting_ids_.erase(request.id);
      released_.push_back({request.id, {DecisionKind::kAdmitted}});
    }
    std::erase(active_, share.get());
    std::erase(waiting_, share.get());
  }
  tenants_ = std::move(tenants);
}

void TenantLimiter::SetAllocator(uint64_t epoch, base::BootInstant now) {
  if (epoch <= epoch_)
    return;
  epoch_ = epoch;
  last_answer_ = 0;
  for (const auto& [name, share] : tenants_)
    share->ChangeAllocator();
  confirmation_due_ = now;
  confirm_until_ = now + kConfirmTime;
  urgent_not_before_ = now;
}

Decision TenantLimiter::Admit(std::string_view tenant,
                              base::BootInstant now,
                              RequestId waiting_id) {
  TenantShare* share = Find(tenant);
  if (share == nullptr)
    return {DecisionKind::kAdmitted};
  share->Update(now);
  share->AddDemand(now);
  Activate(*share, now);
  if (share->waiting().empty() && share->TakeToken()) {
    ++share->admitted;
    return {DecisionKind::kAdmitted};
  }
  if (share->IsOverLimit(now))
    return Refuse(*share, DecisionKind::kRejected);
  if (share->waiting().empty())
    waiting_.push_back(share);
  share->waiting().push_back({waiting_id, now});
  waiting_ids_[waiting_id] = share;
  return {DecisionKind::kWait};
}

void TenantLimiter::Cancel(RequestId waiting_id) {
  const auto found = waiting_ids_.find(waiting_id);
  if (found == waiting_ids_.end()) {
    std::erase_if(released_, [waiting_id](const ReadyRequest& request) {
      return request.id == waiting_id;
    });
    return;
  }
  TenantShare* share = found->second;
  waiting_ids_.erase(found);
  std::erase_if(share->waiting(), [waiting_id](const WaitingRequest& request) {
    return request.id == waiting_id;
  });
  if (share->waiting().empty())
    std::erase(waiting_, share);
}

void TenantLimiter::Refund(std::string_view tenant, base::BootInstant now) {
  TenantShare* share = Find(tenant);
  if (share == nullptr)
    return;
  share->Update(now);
  share->ReturnToken();
  ++share->refunded;
}

std::vector<LimitRequest> TenantLimiter::RequestsDue(base::BootInstant now) {
  if (epoch_ == 0)
    return {};
  const bool is_confirming = IsConfirmationDue(now);
  std::vector<LimitRequest> requests;
  size_t size = kMaxMessageSize;
  for (TenantShare* share : CollectShares(now)) {
    const size_t entry_size = kEntrySize + share->limit().name.size();
    if (size + entry_size > kMaxMessageSize) {
      requests.push_back(MakeRequest());
      size = kHeaderSize;
    }
    size += entry_size;
    LimitRequest& request = requests.back();
    request.entries.push_back(share->Ask(request.sequence, now));
  }
  if (requests.empty() && is_confirming)
    requests.push_back(MakeRequest());
  for (LimitRequest& request : requests)
    request.has_reported_all = HasReportedAll(request);
  Deactivate(now);
  return requests;
}

TenantLimiter::Shares TenantLimiter::CollectShares(base::BootInstant now) {
  const bool is_regular =
      (regular_due_ && now >= *regular_due_) || IsConfirmationDue(now);
  const bool is_urgent = now >= urgent_not_before_;
  if (regular_due_ && now >= *regular_due_)
    regular_due_ = now + kRegularInterval;
  if (IsConfirmationDue(now))
    confirmation_due_ = now + kConfirmInterval;
  Shares shares;
  if (is_regular) {
    for (TenantShare* share : active_) {
      share->Update(now);
      if (!share->IsAnswerDue(now) &&
          (share->HasDemand(now) || share->HasLease()))
        shares.push_back(share);
    }
  } else if (is_urgent) {
    for (TenantShare* share : waiting_) {
      share->Update(now);
      if (share->AskAgainAt() <= now)
        shares.push_back(share);
    }
    if (!shares.empty())
      urgent_not_before_ = now + kUrgentInterval;
  }
  std::erase_if(shares, [](const TenantShare* share) {
    return share->limit().name.size() > kMaxTenantName;
  });
  return shares;
}

LimitRequest TenantLimiter::MakeRequest() {
  return {.process = process_,
          .vm = vm_,
          .epoch = epoch_,
          .last_answer = last_answer_,
          .sequence = ++sequence_};
}

bool TenantLimiter::HasReportedAll(const LimitRequest& request) const {
  return std::ranges::all_of(active_, [&request](const TenantShare* share) {
    return !share->HasLease() || share->IsReported() ||
           share->IsAsked(request.sequence);
  });
}

void TenantLimiter::OnAnswer(const LimitAnswer& answer, base::BootInstant now) {
  if (answer.process != process_ || answer.epoch != epoch_ || epoch_ == 0)
    return;
  last_answer_ = std::max(last_answer_, answer.serial);
  for (const LimitAnswerEntry& entry : answer.entries) {
    if (TenantShare* share = Find(entry.tenant)) {
      share->Accept(answer, entry, now);
      if (share->HasLease())
        Activate(*share, now);
    }
  }
  if (!answer.is_taking_over)
    confirmation_due_.reset();
}

std::vector<ReadyRequest> TenantLimiter::TakeReady(base::BootInstant now) {
  std::vector<ReadyRequest> ready = std::exchange(released_, {});
  for (TenantShare* share : waiting_)
    DecideWaiting(*share, now, ready);
  std::erase_if(waiting_, [](const TenantShare* share) {
    return share->waiting().empty();
  });
  return ready;
}

void TenantLimiter::DecideWaiting(TenantShare& share,
                                  base::BootInstant now,
                                  std::vector<ReadyRequest>& ready) {
  share.Update(now);
  auto& waiting = share.waiting();
  while (!waiting.empty()) {
    const WaitingRequest request = waiting.front();
    Decision decision{DecisionKind::kAdmitted};
    if (share.TakeToken()) {
      ++share.admitted;
    } else if (share.IsOverLimit(now)) {
      decision = Refuse(share, DecisionKind::kRejected);
    } else if (now - request.since >= kLongestWait) {
      decision = Refuse(share, share.HasLease() || share.HasRecentAnswer(now)
                                   ? DecisionKind::kRejected
                                   : DecisionKind::kUnknown);
    } else {
      return;
    }
    waiting.erase(waiting.begin());
    waiting_ids_.erase(request.id);
    ready.push_back({request.id, decision});
  }
}

Decision TenantLimiter::Refuse(TenantShare& share, DecisionKind kind) {
  if (kind == DecisionKind::kUnknown) {
    ++share.unknown;
    return {kind, kUnknownRetryTime};
  }
  ++share.rejected;
  return {kind, share.TimeToToken()};
}

std::optional<base::BootInstant> TenantLimiter::NextDue() const {
  std::optional<base::BootInstant> due;
  const auto consider = [&due](base::BootInstant at) {
    due = due ? std::min(*due, at) : at;
  };
  if (!released_.empty())
    consider(base::BootInstant());
  if (epoch_ != 0 && regular_due_)
    consider(*regular_due_);
  if (confirmation_due_ && *confirmation_due_ < confirm_until_)
    consider(*confirmation_due_);
  for (const TenantShare* share : waiting_) {
    consider(share->waiting().front().since + kLongestWait);
    if (const auto at = share->NextTokenAt())
      consider(*at);
    if (epoch_ != 0)
      consider(std::max(urgent_not_before_, share->AskAgainAt()));
  }
  return due;
}

std::vector<TenantLimiterView> TenantLimiter::View(base::BootInstant now) {
  std::vector<TenantLimiterView> views;
  for (const auto& [name, share] : tenants_) {
    share->Update(now);
    views.push_back({.tenant = name,
                     .rate_share = share->rate_share(),
                     .burst_share = share->burst_share(),
                     .tokens = share->tokens(),
                     .admitted = share->admitted,
                     .refunded = share->refunded,
                     .rejected = share->rejected,
                     .unknown = share->unknown,
                     .waiting = share->waiting().size()});
  }
  return views;
}

TenantShare* TenantLimiter::Find(std::string_view tenant) {
  const auto found = tenants_.find(base::AbslView(tenant));
  return found == tenants_.end() ? nullptr : found->second.get();
}

void TenantLimiter::Activate(TenantShare& share, base::BootInstant now) {
  if (share.is_active)
    return;
  share.is_active = true;
  active_.push_back(&share);
  if (!regular_due_)
    regular_due_ = now + kRegularInterval;
}

void TenantLimiter::Deactivate(base::BootInstant now) {
  std::erase_if(active_, [now](TenantShare* share) {
    share->is_active = share->HasLease() || share->HasDemand(now);
    return !share->is_active;
  });
  if (active_.empty())
    regular_due_.reset();
}

bool TenantLimiter::IsConfirmationDue(base::BootInstant now) const {
  return confirmation_due_ && now >= *confirmation_due_ && now < confirm_until_;
}

}  // namespace chestnutport::limits
