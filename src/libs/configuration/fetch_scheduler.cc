#include "configuration/fetch_scheduler.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace chestnutport::configuration {
namespace {

using membership::Member;

bool IsAny(const Member&) {
  return true;
}

}  // namespace

void FetchScheduler::SetMembers(const Member& self,
                                const std::vector<Member>& members) {
  peers_.clear();
  std::ranges::copy_if(members, std::back_inserter(peers_), [&](auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  std::erase_if(reported_, [&](const auto& item) {
    return std::ranges::none_of(
        members, [&](auto& member) { return member.id == item.first; });
  });
}

void FetchScheduler::OnRevisionReported(uint64_t revision, const Member& from) {
  uint64_t& known = reported_[from.id];
  known = std::max(known, revision);
  // The announcement may arrive before the member list contains the peer.
  const bool is_known = std::ranges::any_of(
      peers_, [&](const Member& other) { return other.id == from.id; });
  if (!is_known)
    peers_.push_back(from);
}

uint64_t FetchScheduler::GreatestReportedRevision() const {
  uint64_t greatest = 0;
  for (const auto& [node, revision] : reported_)
    greatest = std::max(greatest, revision);
  return greatest;
}

const Member* FetchScheduler::SelectPeerWithNewer(uint64_t local_revision,
                                                  base::Instant now,
                                                  base::Random& random) {
  const uint64_t greatest = GreatestReportedRevision();
  if (greatest <= local_revision || now < NextSelectionAt(local_revision))
    return nullptr;
  const Member* member = Pick(
      [&](const Member& other) {
        return HasReportedAbove(local_revision, other);
      },
      random);
  // Other peers usually hold the revision soon after the first one reports it.
  if (!member)
    member = Pick(IsAny, random);
  if (member)
    pending_[member->id] = {greatest, now + kFirstByteHedgeDelay};
  return member;
}

const Member* FetchScheduler::SelectAnyPeer(base::Instant now,
                                            base::Random& random) {
  const Member* member = Pick(IsAny, random);
  if (member)
    pending_[member->id] = {.hedge_at = now + kFirstByteHedgeDelay};
  return member;
}

base::Instant FetchScheduler::NextSelectionAt(uint64_t local_revision) const {
  if (CountUsefulFetches(local_revision) >= kMaxConcurrentFetches)
    return base::Instant::max();
  base::Instant next = retry_at_;
  for (const auto& [node, fetch] : pending_) {
    if (fetch.expected_revision > local_revision)
      next = std::max(next, fetch.hedge_at);
  }
  return next;
}

void FetchScheduler::OnTransferStarted(base::NodeId from, base::Instant now) {
  const auto fetch = pending_.find(from);
  if (fetch != pending_.end())
    fetch->second.hedge_at = now + kTransferHedgeDelay;
}

void FetchScheduler::OnResponse(base::NodeId from,
                                uint64_t revision,
                                uint64_t local_revision,
                                base::Instant now) {
  const auto fetch = pending_.extract(from);
  uint64_t& known = reported_[from];
  // A revision reported after the fetch began is newer than the response.
  if (fetch.empty() || fetch.mapped().expected_revision < known)
    known = std::max(known, revision);
  else
    known = revision;
  if (revision > local_revision)
    retry_at_ = now + kRetryDelay;
}

void FetchScheduler::OnFailed(base::NodeId from) {
  pending_.erase(from);
  reported_.erase(from);
}

int FetchScheduler::CountUsefulFetches(uint64_t local_revision) const {
  return static_cast<int>(
      std::ranges::count_if(pending_, [&](const auto& item) {
        return item.second.expected_revision > local_revision;
      }));
}

bool FetchScheduler::HasReportedAbove(uint64_t local_revision,
                                      const Member& member) const {
  const auto known = reported_.find(member.id);
  return known != reported_.end() && known->second > local_revision;
}

template <typename Predicate>
const Member* FetchScheduler::Pick(Predicate predicate,
                                   base::Random& random) const {
  std::vector<const Member*> candidates;
  for (const Member& member : peers_) {
    if (predicate(member) && !pending_.contains(member.id))
      candidates.push_back(&member);
  }
  if (candidates.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  return candidates[index(random)];
}

}  // namespace chestnutport::configuration
