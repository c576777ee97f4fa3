// All members known to a node, itself included. Live means alive or suspected.
#ifndef MEMBERSHIP_MEMBER_TABLE_H_
#define MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/node_id.h"
#include "base/random.h"
#include "membership/pull_message.h"
#include "membership/record_cache.h"

namespace chestnutport::membership {

struct MemberEntry {
  base::NodeId id;
  uint64_t incarnation = 0;
  uint64_t revision = 0;  // Configuration revision that it last reported.
  SharedRecord record;    // Null until received.
  uint32_t hash = 0;      // Of the newest record, whether received or not.
  MemberState state = MemberState::kAlive;

  bool IsLive() const { return state <= MemberState::kSuspected; }
  bool IsCurrent() const { return record && record->hash == hash; }
  // Returns the member as shown outside of the gossip. Requires a record.
  Member ToMember() const;
};

class MemberTable {
 public:
  MemberTable(base::NodeId self, std::string data_centre);

  const MemberEntry* Find(base::NodeId id) const;
  const std::vector<MemberEntry>& entries() const { return entries_; }

  // Replaces the entry with the same id, or adds one.
  void Put(MemberEntry entry);
  void Remove(base::NodeId id);
  // Affects neither totals nor digests.
  void SetRevision(base::NodeId id, uint64_t revision);

  // Number of live members with a record, without this node.
  size_t live() const { return live_; }
  // Number of members with a record that are gone or have left.
  size_t absent() const { return absent_; }
  // The live members with a record in this node's data centre, without itself.
  const std::vector<base::NodeId>& local() const { return local_; }

  // Returns a random live member; if `local`, of this node's data centre. All
  // functions that return a pointer return null if there is no such member.
  const MemberEntry* PickLive(bool local, base::Random& random) const;
  const MemberEntry* PickAbsent(base::Random& random) const;
  // Returns whether a live member has this gossip address.
  bool IsAddressInUse(const base::SocketAddress& gossip_address) const;
  // Returns the `count` live members, this node included, with the highest
  // rendezvous hashes for `key`: nearly the same in views that differ a little.
  std::vector<const MemberEntry*> PickByRendezvousHash(uint64_t key,
                                                       size_t count) const;
  // Returns the next kAlive member of a round; if `local`, of this data centre.
  const MemberEntry* NextProbeTarget(bool local, base::Random& random);
  // Returns the first kAlive member after this node in the ring of ids; if
  // `local`, of this data centre. This node probes it continuously.
  const MemberEntry* RingSuccessor(bool local) const;

  // Digests of all live members, in total and by part; equal for equal views.
  uint64_t digest() const { return digest_; }
  const ViewDigests& digests() const { return digests_; }
  static uint8_t PartOf(base::NodeId id);

 private:
  using Index = uint32_t;

  bool IsTarget(const MemberEntry& entry) const;
  static bool IsAbsent(const MemberEntry& entry);
  // Adds the entry to the totals and digests (`sign` 1) or removes it (-1).
  void UpdateTotals(const MemberEntry& entry, int sign);
  const MemberEntry* NextLocal(base::Random& random);
  const MemberEntry* NextInFleet(base::Random& random);

  base::NodeId self_;
  std::string data_centre_;
  std::vector<MemberEntry> entries_;
  absl::flat_hash_map<base::NodeId, Index> index_;
  std::vector<base::NodeId> local_;
  std::vector<base::NodeId> local_round_;
  size_t fleet_position_ = 0;
  bool has_fleet_position_ = false;
  size_t live_ = 0;
  size_t absent_ = 0;
  uint64_t digest_ = 0;
  ViewDigests digests_{};
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
