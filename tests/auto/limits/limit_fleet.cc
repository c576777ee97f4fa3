#include "limit_fleet.h"

#include <algorithm>

namespace chestnutport::test {

using limits::AllocatorNotice;
using limits::Decision;
using limits::DecisionKind;
using limits::LimitAnswer;
using limits::LimitRequest;
using limits::StoreOperation;
using limits::StoreOperationKind;
using limits::StoreOperationResult;
using limits::StoreStatus;

namespace {

constexpr milliseconds kTick{1};
constexpr milliseconds kCallTimeout{500};
constexpr milliseconds kNoticeInterval{500};
// Until a node that ended or appeared is seen so by the others.
constexpr milliseconds kDetectionTime{1000};
constexpr milliseconds kJoinTime{200};

}  // namespace

struct LimitFleet::Node {
  size_t index = 0;
  base::SocketAddress vm;
  nanoseconds clock_offset{};
  base::NodeId id;
  std::unique_ptr<limits::TenantLimiter> limiter;
  limits::ShareAllocator allocator;
  std::optional<limits::AllocatorElection> election;
  std::vector<limits::TenantLimit> limits;
  std::optional<AllocatorNotice> known;
  BootInstant notice_due;
  bool are_members_due = true;
  BootInstant paused_until;
  BootInstant cut_until;
  BootInstant cut_from_store_until;
  std::vector<Action> inbox;  // Arrived during a pause.
  std::map<std::string, double> demand;
  std::map<std::string, BootInstant> next_arrival;
  std::map<limits::RequestId, std::string> waiting;
  limits::RequestId next_request = 1;
  bool is_running() const { return limiter != nullptr; }
};

double RequestCounts::Refused() const {
  const int refused = rejected + unknown;
  return refused == 0 ? 0 : static_cast<double>(refused) / (refused + admitted);
}

RequestCounts& RequestCounts::operator+=(const RequestCounts& other) {
  admitted += other.admitted;
  rejected += other.rejected;
  unknown += other.unknown;
  return *this;
}

LimitFleet::LimitFleet(size_t nodes,
                       std::vector<limits::TenantLimit> limits,
                       uint64_t seed)
    : random_(seed),
      reachable_(nodes),
      alive_(nodes),
      reachable_changed_(nodes) {
  for (size_t i = 0; i < nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->index = i;
    node->vm = {0x0a000001 + static_cast<uint32_t>(i), 7000};
    node->clock_offset = std::chrono::seconds(random_() % 1000);
    node->limits = limits;
    nodes_.push_back(std::move(node));
    Start(i);
  }
}

LimitFleet::~LimitFleet() = default;

void LimitFleet::SetDemand(const std::string& tenant,
                           size_t node,
                           double demand) {
  nodes_[node]->demand[tenant] = demand;
  nodes_[node]->next_arrival.erase(tenant);
}

void LimitFleet::SetLimits(size_t index,
                           const std::vector<limits::TenantLimit>& limits) {
  Node& node = *nodes_[index];
  node.limits = limits;
  if (!node.is_running())
    return;
  node.limiter->SetLimits(limits, now_ + node.clock_offset);
  node.allocator.SetLimits(limits, now_ + node.clock_offset);
}

void LimitFleet::RunFor(nanoseconds time) {
  for (const BootInstant end = now_ + time; now_ < end;)
    Step();
}

void LimitFleet::Kill(size_t index) {
  Node& node = *nodes_[index];
  node.limiter.reset();
  node.allocator.Stop();
  node.election.reset();
  node.inbox.clear();
  node.waiting.clear();
  node.known.reset();
}

void LimitFleet::Start(size_t index) {
  Node& node = *nodes_[index];
  if (node.is_running())
    return;
  node.id = base::NodeId::Draw(random_);
  node.limiter = std::make_unique<limits::TenantLimiter>(node.id, node.vm);
  node.election.emplace(node.id, node.vm);
  node.paused_until = {};
  node.are_members_due = true;
  alive_[index] = reachable_[index] = false;  // The new process is unknown.
  SetLimits(index, std::vector(node.limits));
}

void LimitFleet::Pause(size_t node, milliseconds time) {
  nodes_[node]->paused_until = now_ + time;
}

void LimitFleet::Cut(size_t node, milliseconds time) {
  nodes_[node]->cut_until = now_ + time;
}

void LimitFleet::CutFromStore(size_t node, milliseconds time) {
  nodes_[node]->cut_from_store_until = now_ + time;
}

void LimitFleet::HandOver(size_t index) {
  Node& node = *nodes_[index];
  if (!node.is_running())
    return;
  node.election->HandOver(now_ + node.clock_offset);
  node.allocator.Stop();
}

std::optional<size_t> LimitFleet::allocator() const {
  std::optional<size_t> found;
  uint64_t epoch = 0;
  for (const auto& node : nodes_) {
    if (!node->is_running())
      continue;
    const auto authority = node->election->authority(now_ + node->clock_offset);
    if (authority && authority->epoch > epoch) {
      epoch = authority->epoch;
      found = node->index;
    }
  }
  return found;
}

std::map<std::string, RequestCounts> LimitFleet::TakeCounts() {
  return std::exchange(counts_, {});
}

void LimitFleet::At(BootInstant time, Action action) {
  actions_.emplace(time, std::move(action));
}

void LimitFleet::Step() {
  now_ += kTick;
  ExpireLeases();
  while (!actions_.empty() && actions_.begin()->first <= now_) {
    const Action action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  UpdateMembers();
  for (const auto& node : nodes_) {
    if (node->is_running() && now_ >= node->paused_until)
      Poll(*node);
  }
  if (checks_conservation_ && violation_.empty())
    CheckSums();
}

void LimitFleet::CheckSums() {
  struct Sum {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
  };
  std::map<std::string, Sum> sums;
  for (const auto& node : nodes_) {
    if (!node->is_running())
      continue;
    // A paused node could wake at this moment.
    const BootInstant now = now_ + node->clock_offset;
    for (const auto& view : node->limiter->View(now)) {
      Sum& sum = sums[view.tenant];
      sum.rate += view.rate_share;
      sum.burst += view.burst_share;
      sum.tokens += view.tokens;
    }
    if (!node->election->authority(now) || !node->allocator.is_started())
      continue;
    const bool has_free = !node->allocator.is_taking_over(now);
    for (const auto& view : node->allocator.View(now)) {
      Sum& sum = sums[view.tenant];
      sum.rate += has_free ? std::max(0.0, 1 - view.leased_rate) : 0;
      sum.burst += has_free ? std::max(0.0, 1 - view.leased_burst) : 0;
      sum.tokens += view.free_tokens;
    }
  }
  constexpr double kRounding = 1e-6;
  for (const auto& limit : nodes_[0]->limits) {
    const Sum& sum = sums[limit.name];
    if (sum.rate > 1 + kRounding || sum.burst > 1 + kRounding ||
        sum.tokens > limit.burst + kRounding)
      violation_ = limit.name + ": rate " + std::to_string(sum.rate) +
                   ", burst " + std::to_string(sum.burst) + ", tokens " +
                   std::to_string(sum.tokens);
  }
}

bool LimitFleet::IsReachable(const Node& node) const {
  return node.is_running() && now_ >= node.paused_until &&
         now_ >= node.cut_until;
}

void LimitFleet::UpdateMembers() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const bool is_reachable = IsReachable(*nodes_[i]);
    if (is_reachable != reachable_[i]) {
      reachable_[i] = is_reachable;
      reachable_changed_[i] = now_;
    }
    const auto delay = is_reachable ? kJoinTime : kDetectionTime;
    if (alive_[i] != is_reachable && now_ - reachable_changed_[i] >= delay) {
      alive_[i] = is_reachable;
      for (const auto& node : nodes_)
        node->are_members_due = true;
    }
  }
  for (const auto& node : nodes_) {
    if (!node->is_running() || now_ < node->paused_until ||
        !std::exchange(node->are_members_due, false))
      continue;
    std::vector<limits::ElectionMember> members;
    for (const auto& other : nodes_) {
      const bool is_alive =
          other == node || (alive_[other->index] && now_ >= node->cut_until);
      members.push_back({other->id, other->vm, is_alive,
                         now_ >= other->cut_from_store_until});
    }
    node->election->SetMembers(members, now_ + node->clock_offset);
  }
}

void LimitFleet::Deliver(Node& node, Action action) {
  if (!node.is_running())
    return;
  if (now_ < node.paused_until)
    node.inbox.push_back(std::move(action));
  else
    action();
}

void LimitFleet::DeliverDatagram(Node& node, const Action& action) {
  if (!loses_when_paused || now_ >= node.paused_until)
    Deliver(node, action);
}

void LimitFleet::Send(size_t from, size_t to, Action action) {
  const auto deliver = [this, from, to, action] {
    if (from == to ||
        (now_ >= nodes_[from]->cut_until && now_ >= nodes_[to]->cut_until))
      DeliverDatagram(*nodes_[to], action);
  };
  if (from == to) {
    deliver();
    return;
  }
  ++datagrams_;
  if (now_ < nodes_[from]->cut_until || Uniform() < link.lost)
    return;
  for (int copies = Uniform() < link.duplicated ? 2 : 1; copies > 0; --copies) {
    // Half of a round trip of 2 to 20 ms.
    nanoseconds delay(static_cast<int64_t>(1e6 * (1 + 9 * Uniform())));
    if (Uniform() < link.delayed)
      delay = nanoseconds(static_cast<int64_t>(3e9 * Uniform()));
    At(now_ + delay, deliver);
  }
}

void LimitFleet::Poll(Node& node) {
  for (const Action& action : std::exchange(node.inbox, {}))
    action();
  const BootInstant now = now_ + node.clock_offset;
  PollElection(node);
  for (auto& [tenant, demand] : node.demand) {
    if (demand <= 0)
      continue;
    std::exponential_distribution<> gap(demand);
    const auto draw = [&] {
      return nanoseconds(static_cast<int64_t>(1e9 * gap(random_)));
    };
    auto [next, is_new] = node.next_arrival.try_emplace(tenant, now_ + draw());
    // Callers of a node that was paused or down did not all wait for it.
    next->second = std::max(next->second, now_ - milliseconds(50));
    for (; next->second <= now_; next->second += draw())
      Arrive(node, tenant);
  }
  const auto due = node.limiter->NextDue();
  if (!due || *due > now)
    return;
  for (const auto& ready : node.limiter->TakeReady(now)) {
    Count(node, node.waiting[ready.id], ready.decision);
    node.waiting.erase(ready.id);
  }
  for (const LimitRequest& request : node.limiter->RequestsDue(now)) {
    if (!node.known || node.known->epoch != request.epoch)
      continue;
    const size_t to = node.known->vm.ip - nodes_[0]->vm.ip;
    Send(node.index, to,
         [this, to, request] { TakeRequest(*nodes_[to], request); });
  }
}

void LimitFleet::PollElection(Node& node) {
  const BootInstant now = now_ + node.clock_offset;
  if (const auto operation = node.election->OperationDue(now))
    CallStore(node, *operation);
  const auto authority = node.election->authority(now);
  if (!authority) {
    node.allocator.Stop();
    return;
  }
  if (!node.allocator.is_started()) {
    node.allocator.Start(authority->epoch, authority->roster,
                         authority->takeover_until, now);
    node.notice_due = {};
  }
  node.allocator.SetAuthority(authority->until, authority->renewed_at);
  node.allocator.OnRosterStored(node.election->stored_roster());
  if (node.allocator.has_roster_changed())
    node.election->SetRoster(node.allocator.roster());
  if (now_ >= node.notice_due) {
    node.notice_due = now_ + kNoticeInterval;
    SendNotices(node);
  }
}

void LimitFleet::SendNotices(Node& node) {
  const auto notice = *node.election->notice(now_ + node.clock_offset);
  for (size_t to = 0; to < nodes_.size(); ++to)
    Send(node.index, to,
         [this, to, notice] { TakeNotice(*nodes_[to], notice); });
}

void LimitFleet::TakeNotice(Node& node, const AllocatorNotice& notice) {
  const BootInstant now = now_ + node.clock_offset;
  node.election->OnNotice(notice, now);
  if (!node.election->authority(now))
    node.allocator.Stop();
  if (notice.epoch < node.limiter->epoch())
    return;
  node.known = notice;
  node.limiter->SetAllocator(notice.epoch, now);
}

void LimitFleet::TakeRequest(Node& node, const LimitRequest& request) {
  const auto decoded = LimitRequest::Decode(request.Encode());
  if (!decoded || !node.election->authority(now_ + node.clock_offset))
    return;
  const auto answer =
      node.allocator.OnRequest(*decoded, now_ + node.clock_offset);
  if (!answer)
    return;
  const size_t to = request.vm.ip - nodes_[0]->vm.ip;
  Send(node.index, to, [this, to, answer = *answer] {
    if (const auto received = LimitAnswer::Decode(answer.Encode()))
      nodes_[to]->limiter->OnAnswer(*received, now_ + nodes_[to]->clock_offset);
  });
}

void LimitFleet::Arrive(Node& node, const std::string& tenant) {
  const limits::RequestId id = node.next_request++;
  const Decision decision =
      node.limiter->Admit(tenant, now_ + node.clock_offset, id);
  if (decision.kind == DecisionKind::kWait)
    node.waiting[id] = tenant;
  else
    Count(node, tenant, decision);
}

void LimitFleet::Count(Node& node,
                       const std::string& tenant,
                       const Decision& decision) {
  RequestCounts& counts = counts_[tenant];
  counts.rejected += decision.kind == DecisionKind::kRejected;
  counts.unknown += decision.kind == DecisionKind::kUnknown;
  if (decision.kind != DecisionKind::kAdmitted)
    return;
  ++counts.admitted;
  admitted_[tenant].push_back({now_, 1});
  if (refund_share == 0 || Uniform() >= refund_share)
    return;
  At(now_ + milliseconds(30), [this, &node, tenant, id = node.id] {
    Deliver(node, [this, &node, tenant, id] {
      if (node.id != id)
        return;
      node.limiter->Refund(tenant, now_ + node.clock_offset);
      admitted_[tenant].push_back({now_, -1});
    });
  });
}

void LimitFleet::ExpireLeases() {
  std::erase_if(state_.leases,
                [this](const auto& lease) { return lease.second <= now_; });
  if (state_.entry && state_.entry->lease != 0 &&
      !state_.leases.contains(state_.entry->lease))
    state_.entry.reset();
}

void LimitFleet::CallStore(Node& node, const StoreOperation& operation) {
  ++store_calls_;
  const BootInstant sent_at = now_ + node.clock_offset;
  const auto answer = [this, &node, id = node.id,
                       sent_at](StoreOperationResult result) {
    Deliver(node, [this, &node, id, sent_at, result]() mutable {
      if (node.id != id)
        return;
      result.sent_at = sent_at;
      node.election->OnResult(result, now_ + node.clock_offset);
    });
  };
  At(now_ + kCallTimeout, [answer, id = operation.id] {
    answer({.id = id, .status = StoreStatus::kFailed});
  });
  const auto cut = std::max(node.cut_until, node.cut_from_store_until);
  if (store.is_down || now_ < cut)
    return;
  At(now_ + store.call_time / 2, [this, answer, operation] {
    const StoreOperationResult result = Apply(operation);
    if (Uniform() >= store.lost_answers)
      At(now_ + store.call_time / 2, [answer, result] { answer(result); });
  });
}

StoreOperationResult LimitFleet::Apply(const StoreOperation& operation) {
  ExpireLeases();
  StoreOperationResult result{.id = operation.id, .status = StoreStatus::kDone};
  const int64_t revision = state_.entry ? state_.revision : 0;
  switch (operation.kind) {
    case StoreOperationKind::kReadEntry:
      result.revision = revision;
      if (state_.entry)
        result.entry = limits::AllocatorEntry::Decode(state_.entry->Encode());
      break;
    case StoreOperationKind::kGrantLease:
      result.lease = static_cast<int64_t>(random_() >> 1);
      state_.leases[result.lease] = now_ + operation.lease_time;
      break;
    case StoreOperationKind::kWriteEntry:
      if (revision != operation.revision ||
          (operation.entry.lease != 0 &&
           !state_.leases.contains(operation.entry.lease))) {
        result.status = StoreStatus::kConflict;
        break;
      }
      state_.entry = operation.entry;
      result.revision = state_.revision = ++state_.last_revision;
      break;
    case StoreOperationKind::kKeepLeaseAlive:
      if (const auto lease = state_.leases.find(operation.lease);
          lease != state_.leases.end())
        lease->second = now_ + std::chrono::seconds(4);
      else
        result.status = StoreStatus::kConflict;
      break;
    case StoreOperationKind::kEndLease:
      if (state_.leases.erase(operation.lease) == 0)
        result.status = StoreStatus::kConflict;
      ExpireLeases();
      break;
  }
  return result;
}

}  // namespace chestnutport::test
