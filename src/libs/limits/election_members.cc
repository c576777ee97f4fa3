#include "limits/election_members.h"

#include <algorithm>
#include <utility>

namespace chestnutport::limits {

using std::chrono::nanoseconds;

ElectionMembers::ElectionMembers(base::NodeId self,
                                 base::SocketAddress vm,
                                 nanoseconds memory)
    : self_(self), vm_(vm), memory_(memory) {}

void ElectionMembers::Set(std::vector<ElectionMember> members,
                          base::BootInstant now) {
  if (!started_at_)
    started_at_ = now;
  for (const auto* list : {&members_, &members}) {
    for (const ElectionMember& member : *list) {
      if (member.is_alive)
        last_alive_[member.id] = now;
    }
  }
  members_ = std::move(members);
  std::erase_if(last_alive_, [&](const auto& item) {
    return !IsAlive(item.first) && now - item.second > memory_;
  });
}

bool ElectionMembers::IsAlive(base::NodeId id) const {
  return std::ranges::any_of(members_, [id](const ElectionMember& member) {
    return member.id == id && member.is_alive;
  });
}

nanoseconds ElectionMembers::AbsentFor(base::NodeId id,
                                       base::BootInstant now) const {
  if (!started_at_ || IsAlive(id))
    return nanoseconds(0);
  const auto seen = last_alive_.find(id);
  return now - (seen == last_alive_.end() ? *started_at_ : seen->second);
}

bool ElectionMembers::SeesHalfOf(
    const std::set<base::SocketAddress>& vms) const {
  const auto seen =
      std::ranges::count_if(vms, [this](const base::SocketAddress& vm) {
        return vm == vm_ ||
               std::ranges::any_of(members_, [&vm](const auto& member) {
                 return member.is_alive && member.vm == vm;
               });
      });
  return static_cast<size_t>(seen) * 2 >= vms.size();
}

std::optional<size_t> ElectionMembers::OwnRank() const {
  size_t rank = 0;
  for (const ElectionMember& member : members_) {
    if (member.id == self_)
      return member.can_do_store_duty ? std::optional(rank) : std::nullopt;
    if (member.is_alive && member.can_do_store_duty)
      ++rank;
  }
  return std::nullopt;
}

void ElectionMembers::AddVmsTo(std::set<base::SocketAddress>& vms) const {
  vms.insert(vm_);
  for (const ElectionMember& member : members_) {
    if (member.is_alive)
      vms.insert(member.vm);
  }
}

}  // namespace chestnutport::limits
