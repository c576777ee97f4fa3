#include "configuration/fetch_plan.h"

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

void FetchPlan::SetMembers(const Member& self,
                           const std::vector<Member>& members) {
  others_.clear();
  std::ranges::copy_if(members, std::back_inserter(others_), [&](auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  std::erase_if(heard_, [&](const auto& item) {
    return std::ranges::none_of(
        members, [&](auto& member) { return member.id == item.first; });
  });
}

void FetchPlan::OnHeard(uint64_t revision, const Member& from) {
  uint64_t& known = heard_[from.id];
  known = std::max(known, revision);
  // The rumour may come before the list of members that names the node.
  const bool is_known = std::ranges::any_of(
      others_, [&](const Member& other) { return other.id == from.id; });
  if (!is_known)
    others_.push_back(from);
}

uint64_t FetchPlan::GreatestHeard() const {
  uint64_t greatest = 0;
  for (const auto& [node, revision] : heard_)
    greatest = std::max(greatest, revision);
  return greatest;
}

const Member* FetchPlan::AskNewer(uint64_t held,
                                  base::Instant now,
                                  base::Random& random) {
  const uint64_t greatest = GreatestHeard();
  if (greatest <= held || now < NextNewer(held))
    return nullptr;
  const Member* member =
      Pick([&](const Member& other) { return IsKnownToHoldAbove(held, other); },
           random);
  // Others have it soon after the first that told of it.
  if (!member)
    member = Pick(IsAny, random);
  if (member)
    asked_[member->id] = {greatest, now + kPatience};
  return member;
}

const Member* FetchPlan::AskAny(base::Instant now, base::Random& random) {
  const Member* member = Pick(IsAny, random);
  if (member)
    asked_[member->id] = {.patient_until = now + kPatience};
  return member;
}

base::Instant FetchPlan::NextNewer(uint64_t held) const {
  if (CountPromising(held) >= kMostAsked)
    return base::Instant::max();
  base::Instant next = not_before_;
  for (const auto& [node, question] : asked_) {
    if (question.expected > held)
      next = std::max(next, question.patient_until);
  }
  return next;
}

void FetchPlan::OnAnswering(base::NodeId from, base::Instant now) {
  const auto asked = asked_.find(from);
  if (asked != asked_.end())
    asked->second.patient_until = now + kAnswerPatience;
}

void FetchPlan::OnAnswer(base::NodeId from,
                         uint64_t revision,
                         uint64_t held,
                         base::Instant now) {
  const auto question = asked_.extract(from);
  uint64_t& known = heard_[from];
  // It may have told of a newer one since it was asked.
  if (question.empty() || question.mapped().expected < known)
    known = std::max(known, revision);
  else
    known = revision;
  if (revision > held)
    not_before_ = now + kRetryWait;
}

void FetchPlan::OnFailed(base::NodeId from) {
  asked_.erase(from);
  heard_.erase(from);
}

int FetchPlan::CountPromising(uint64_t held) const {
  return static_cast<int>(std::ranges::count_if(
      asked_, [&](const auto& item) { return item.second.expected > held; }));
}

bool FetchPlan::IsKnownToHoldAbove(uint64_t held, const Member& member) const {
  const auto known = heard_.find(member.id);
  return known != heard_.end() && known->second > held;
}

template <typename Fits>
const Member* FetchPlan::Pick(Fits fits, base::Random& random) const {
  std::vector<const Member*> fitting;
  for (const Member& member : others_) {
    if (fits(member) && !asked_.contains(member.id))
      fitting.push_back(&member);
  }
  if (fitting.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> index(0, fitting.size() - 1);
  return fitting[index(random)];
}

}  // namespace chestnutport::configuration
