#include "membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace chestnutport::membership {
namespace {

// Random picks before a search for a matching entry is given up.
constexpr int kMaxPickAttempts = 32;

uint64_t DigestOf(const MemberEntry& entry) {
  const std::array<uint64_t, 4> fields = {entry.id.value, entry.incarnation,
                                          entry.hash,
                                          static_cast<uint64_t>(entry.state)};
  return XXH3_64bits(fields.data(), sizeof(fields));
}

size_t PickIndex(size_t size, base::Random& random) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

}  // namespace

Member MemberEntry::ToMember() const {
  Member member = record->member;
  member.incarnation = incarnation;
  member.state = state;
  member.revision = revision;
  return member;
}

MemberTable::MemberTable(base::NodeId self, std::string data_centre)
    : self_(self), data_centre_(std::move(data_centre)) {}

uint8_t MemberTable::PartOf(base::NodeId id) {
  return static_cast<uint8_t>(id.value >> kViewPartShift);
}

const MemberEntry* MemberTable::Find(base::NodeId id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &entries_[found->second];
}

void MemberTable::Put(MemberEntry entry) {
  const auto [found, is_new] =
      index_.try_emplace(entry.id, static_cast<Index>(entries_.size()));
  if (is_new) {
    entries_.push_back(std::move(entry));
    UpdateTotals(entries_.back(), 1);
    return;
  }
  MemberEntry& old = entries_[found->second];
  UpdateTotals(old, -1);
  old = std::move(entry);
  UpdateTotals(old, 1);
}

void MemberTable::SetRevision(base::NodeId id, uint64_t revision) {
  const auto found = index_.find(id);
  if (found != index_.end())
    entries_[found->second].revision = revision;
}

void MemberTable::Remove(base::NodeId id) {
  const auto found = index_.find(id);
  if (found == index_.end())
    return;
  const Index place = found->second;
  UpdateTotals(entries_[place], -1);
  index_.erase(found);
  if (place + 1 != entries_.size()) {
    entries_[place] = std::move(entries_.back());
    index_[entries_[place].id] = place;
  }
  entries_.pop_back();
}

bool MemberTable::IsTarget(const MemberEntry& entry) const {
  return entry.IsLive() && entry.record && entry.id != self_;
}

bool MemberTable::IsAbsent(const MemberEntry& entry) {
  return !entry.IsLive() && entry.record;
}

void MemberTable::UpdateTotals(const MemberEntry& entry, int sign) {
  if (entry.IsLive()) {
    const uint64_t digest = DigestOf(entry);
    digest_ ^= digest;
    digests_[PartOf(entry.id)] ^= digest;
  }
  if (IsAbsent(entry))
    absent_ += static_cast<size_t>(sign);
  if (!IsTarget(entry))
    return;
  live_ += static_cast<size_t>(sign);
  if (entry.record->member.data_centre != data_centre_)
    return;
  if (sign > 0)
    local_.push_back(entry.id);
  else
    local_.erase(std::ranges::find(local_, entry.id));
}

const MemberEntry* MemberTable::PickLive(bool local,
                                         base::Random& random) const {
  if (local)
    return local_.empty() ? nullptr
                          : Find(local_[PickIndex(local_.size(), random)]);
  for (int i = 0; i < kMaxPickAttempts && live_ > 0; ++i) {
    const MemberEntry& entry = entries_[PickIndex(entries_.size(), random)];
    if (IsTarget(entry))
      return &entry;
  }
  return nullptr;
}

const MemberEntry* MemberTable::PickAbsent(base::Random& random) const {
  if (absent_ == 0)
    return nullptr;
  const size_t start = PickIndex(entries_.size(), random);
  for (size_t i = 0; i < entries_.size(); ++i) {
    const MemberEntry& entry = entries_[(start + i) % entries_.size()];
    if (IsAbsent(entry))
      return &entry;
  }
  return nullptr;
}

bool MemberTable::IsAddressInUse(
    const base::SocketAddress& gossip_address) const {
  return std::ranges::any_of(entries_, [&](const MemberEntry& entry) {
    return entry.IsLive() && entry.record &&
           entry.record->member.gossip_address == gossip_address;
  });
}

std::vector<const MemberEntry*> MemberTable::PickByRendezvousHash(
    uint64_t key,
    size_t count) const {
  using Ranked = std::pair<uint64_t, const MemberEntry*>;
  std::vector<Ranked> best;  // The highest first.
  for (const MemberEntry& entry : entries_) {
    if (!entry.IsLive() || !entry.record)
      continue;
    const Ranked ranked(
        XXH3_64bits_withSeed(&entry.id.value, sizeof(entry.id.value), key),
        &entry);
    if (best.size() == count && ranked <= best.back())
      continue;
    best.insert(std::ranges::upper_bound(best, ranked, std::greater()), ranked);
    if (best.size() > count)
      best.pop_back();
  }
  std::vector<const MemberEntry*> chosen;
  chosen.reserve(best.size());
  for (const auto& [rank, entry] : best)
    chosen.push_back(entry);
  return chosen;
}

const MemberEntry* MemberTable::NextProbeTarget(bool local,
                                                base::Random& random) {
  return local ? NextLocal(random) : NextInFleet(random);
}

const MemberEntry* MemberTable::NextLocal(base::Random& random) {
  if (local_round_.empty()) {
    local_round_ = local_;
    std::ranges::shuffle(local_round_, random);
  }
  while (!local_round_.empty()) {
    const MemberEntry* entry = Find(local_round_.back());
    local_round_.pop_back();
    if (entry && IsTarget(*entry) && entry->state == MemberState::kAlive)
      return entry;
  }
  return nullptr;
}

// Pulled views list the members in the same order on all nodes. The random
// start keeps the nodes from probing the same member at the same time.
const MemberEntry* MemberTable::NextInFleet(base::Random& random) {
  if (!std::exchange(has_fleet_position_, live_ > 0))
    fleet_position_ = PickIndex(entries_.size(), random);
  for (size_t i = 0; i < entries_.size(); ++i) {
    fleet_position_ = (fleet_position_ + 1) % entries_.size();
    const MemberEntry& entry = entries_[fleet_position_];
    if (IsTarget(entry) && entry.state == MemberState::kAlive)
      return &entry;
  }
  return nullptr;
}

const MemberEntry* MemberTable::RingSuccessor(bool local) const {
  const MemberEntry* next = nullptr;
  // Compares distances from this node along the ring of ids.
  const auto consider = [&](const MemberEntry& entry) {
    if (!IsTarget(entry) || entry.state != MemberState::kAlive)
      return;
    if (!next || entry.id.value - self_.value < next->id.value - self_.value)
      next = &entry;
  };
  if (local) {
    for (const base::NodeId& id : local_)
      consider(*Find(id));
  } else {
    std::ranges::for_each(entries_, consider);
  }
  return next;
}

}  // namespace chestnutport::membership
