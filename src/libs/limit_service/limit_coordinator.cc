#include "limit_service/limit_coordinator.h"

#include <algorithm>
#include <utility>

#include "duties/store_duty.h"

namespace chestnutport::limit_service {
namespace {

// Notices of the allocator per lease time. The others look for an allocator if
// they have not heard of one within the lease time, and notices may be lost.
constexpr int kNoticesPerLease = 4;
// Members that are told regularly. The election lets only the first eight
// candidates act; members whose views differ may count others among them.
constexpr size_t kRegularNotices = 16;
constexpr size_t kAll = SIZE_MAX;
// Bound on the rate of updates by the timer.
constexpr std::chrono::milliseconds kMinTimer(1);

std::optional<base::BootInstant> Earlier(std::optional<base::BootInstant> a,
                                         std::optional<base::BootInstant> b) {
  if (!a || !b)
    return a ? a : b;
  return std::min(*a, *b);
}

}  // namespace

LimitCoordinator::LimitCoordinator(net::EventLoop& loop,
                                   limits::ElectionOptions options,
                                   Outputs outputs)
    : loop_(loop), options_(options), outputs_(std::move(outputs)) {}

LimitCoordinator::~LimitCoordinator() {
  loop_.Cancel(timer_);
}

void LimitCoordinator::Start(const membership::Member& self) {
  self_ = self.id;
  address_ = self.gossip_address;
  SetMembers({self});
}

void LimitCoordinator::SetLimits(std::vector<limits::TenantLimit> limits) {
  limits_ = std::move(limits);
  role_.SetLimits(limits_, base::BootClock::now());
  if (!limits_.empty() && !IsOn() && !is_stopping_) {
    StartElection();
  } else if (limits_.empty() && IsOn()) {
    is_ending_ = true;
    election_->HandOver(base::BootClock::now());
  }
  Update();
}

void LimitCoordinator::StartElection() {
  election_ =
      std::make_unique<limits::AllocatorElection>(self_, address_, options_);
  ++election_number_;
  PassMembers();
}

void LimitCoordinator::EndElection() {
  is_ending_ = false;
  role_.Stop();
  election_.reset();
  locator_ = {};
  handed_over_epoch_ = 0;
  if (!limits_.empty() && !is_stopping_) {
    StartElection();
    must_update_again_ = true;
  }
}

void LimitCoordinator::SetMembers(
    const std::vector<membership::Member>& members) {
  std::vector<std::pair<std::pair<uint64_t, uint64_t>, Candidate>> ordered;
  ordered.reserve(members.size());
  for (const membership::Member& member : members) {
    Candidate candidate;
    candidate.address = member.gossip_address;
    candidate.member.id = member.id;
    candidate.member.vm = member.gossip_address;
    candidate.member.is_alive = member.state == membership::MemberState::kAlive;
    candidate.member.can_do_store_duty = duties::CanDoStoreDuty(member);
    ordered.emplace_back(duties::StoreDutyOrder(member), candidate);
  }
  std::ranges::sort(ordered, {}, [](const auto& row) { return row.first; });
  candidates_.clear();
  for (auto& row : ordered)
    candidates_.push_back(row.second);
  PassMembers();
  Update();
}

void LimitCoordinator::PassMembers() {
  if (!IsOn())
    return;
  const auto& known = locator_.known();
  const bool has_handed_over = known && known->epoch == handed_over_epoch_;
  std::vector<limits::ElectionMember> members;
  std::vector<base::SocketAddress> others;
  for (const Candidate& candidate : candidates_) {
    limits::ElectionMember member = candidate.member;
    // An allocator that stops is replaced as if it were lost, without waiting
    // for its process to end.
    if (has_handed_over && member.id == known->holder)
      member.is_alive = false;
    members.push_back(member);
    if (member.id != self_ && member.is_alive)
      others.push_back(candidate.address);
  }
  locator_.SetCandidates(std::move(others));
  election_->SetMembers(std::move(members), base::BootClock::now());
}

void LimitCoordinator::HandOver() {
  is_stopping_ = true;
  if (!IsOn())
    return;
  const base::BootInstant now = base::BootClock::now();
  const auto notice = election_->notice(now);
  election_->HandOver(now);
  if (notice)
    SendToMembers(LimitDatagramKind::kHandOver, notice->Encode(), kAll);
  Update();
}

void LimitCoordinator::Update() {
  must_update_again_ = true;
  if (is_updating_)
    return;
  is_updating_ = true;
  while (std::exchange(must_update_again_, false) && IsOn())
    UpdateOnce(base::BootClock::now());
  is_updating_ = false;
}

void LimitCoordinator::UpdateOnce(base::BootInstant now) {
  if (is_ending_ && election_->is_handed_over()) {
    EndElection();
    return;
  }
  if (role_.Update(*election_, now)) {
    announce_at_ = now + options_.lease_time / kNoticesPerLease;
    if (const auto notice = election_->notice(now)) {
      locator_.OnNotice(*notice);
      SendToMembers(LimitDatagramKind::kNotice, notice->Encode(), kAll);
    }
  }
  Announce(now);
  const auto& known = locator_.known();
  if (known && known->epoch > published_epoch_) {
    published_epoch_ = known->epoch;
    outputs_.set_allocator(known->epoch);
  }
  Inquire(now);
  CallStore(now);
  Schedule(now);
}

void LimitCoordinator::CallStore(base::BootInstant now) {
  const auto operation = election_->OperationDue(now);
  if (!operation)
    return;
  outputs_.call_store(*operation,
                      [this, number = election_number_](const auto& result) {
                        if (number == election_number_ && IsOn())
                          OnStoreResult(result);
                      });
}

void LimitCoordinator::OnStoreResult(
    const limits::StoreOperationResult& result) {
  election_->OnResult(result, base::BootClock::now());
  role_.OnRosterStored(election_->stored_roster());
  Update();
}

void LimitCoordinator::Announce(base::BootInstant now) {
  const bool is_at_risk = election_->IsAtRisk(now);
  const bool is_newly_at_risk =
      !std::exchange(was_at_risk_, is_at_risk) && is_at_risk;
  if (!IsAllocator() || (now < announce_at_ && !is_newly_at_risk))
    return;
  announce_at_ = now + options_.lease_time / kNoticesPerLease;
  DropAbsent(now);
  const auto kind =
      is_at_risk ? LimitDatagramKind::kHandOver : LimitDatagramKind::kNotice;
  if (const auto notice = election_->notice(now))
    SendToMembers(kind, notice->Encode(), kRegularNotices);
}

void LimitCoordinator::DropAbsent(base::BootInstant now) {
  limits::Roster present = {address_};
  for (const Candidate& candidate : candidates_)
    present.insert(candidate.address);
  role_.DropAbsent(present, now);
}

void LimitCoordinator::Inquire(base::BootInstant now) {
  if (IsAllocator())
    return;
  const auto& known = locator_.known();
  const std::string inquiry =
      known ? known->Encode()
            : limits::AllocatorNotice{self_, address_, 0}.Encode();
  for (const base::SocketAddress& to : locator_.InquiriesDue(true, now))
    Send(to, LimitDatagramKind::kInquiry, inquiry);
}

std::optional<base::BootInstant> LimitCoordinator::NextDue(
    base::BootInstant now) const {
  auto due = Earlier(election_->NextDue(now), role_.NextDue(now));
  if (IsAllocator())
    return Earlier(due, announce_at_);
  return Earlier(due, locator_.NextDue(true));
}

void LimitCoordinator::Schedule(base::BootInstant now) {
  loop_.Cancel(std::exchange(timer_, 0));
  const auto due = NextDue(now);
  if (!due)
    return;
  const auto delay = std::max<std::chrono::nanoseconds>(*due - now, kMinTimer);
  timer_ = loop_.CallAfter(delay, [this] {
    timer_ = 0;
    Update();
  });
}

LimitReport LimitCoordinator::Report() {
  const base::BootInstant now = base::BootClock::now();
  LimitReport report;
  report.allocator = locator_.known();
  report.is_allocator = IsAllocator() && election_->authority(now);
  if (report.is_allocator) {
    report.is_taking_over = role_.is_taking_over(now);
    report.allocation = role_.View(now);
  }
  return report;
}

}  // namespace chestnutport::limit_service
