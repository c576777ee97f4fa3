// EncodeAll members that one node knows, itself included. A member is live if
// it is alive or suspected.
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
  uint64_t revision = 0;  // Of the configuration it was last heard to hold.
  SharedRecord record;    // Null until it was received.
  uint32_t hash = 0;      // Of the newest record, received or not.
  MemberState state = MemberState::kAlive;

  bool IsLive() const { return state <= MemberState::kSuspected; }
  bool IsCurrent() const { return record && record->hash == hash; }
  // The member as users see it; only with a record.
  Member ToMember() const;
};

class MemberTable {
 public:
  MemberTable(base::NodeId self, std::string data_centre);

  const MemberEntry* Find(base::NodeId id) const;
  const std::vector<MemberEntry>& entries() const { return entries_; }

  // Replaces the entry of the same id, or adds one.
  void Put(MemberEntry entry);
  void Remove(base::NodeId id);
  // Changes neither counts nor digests.
  void SetRevision(base::NodeId id, uint64_t revision);

  // Live members with a record, without this node.
  size_t live() const { return live_; }
  // Members with a record that are gone or have left.
  size_t absent() const { return absent_; }
  // Of those, the ones in this node's data centre.
  const std::vector<base::NodeId>& local() const { return local_; }

  // Each is null if there is no such member.
  // A random live member; `near` keeps to this node's data centre.
  const MemberEntry* PickLive(bool local, base::Random& random) const;
  const MemberEntry* PickAbsent(base::Random& random) const;
  // Whether a live member is known to be reached at the address.
  bool IsAddressInUse(const base::SocketAddress& gossip_address) const;
  // The live members, this node included, that have the highest rendezvous
  // hashes for `key`; nearly the same in views that differ a little.
  std::vector<const MemberEntry*> PickByRendezvousHash(uint64_t key,
                                                       size_t count) const;
  // The next member of a round through all that are not suspected.
  const MemberEntry* NextProbeTarget(bool local, base::Random& random);
  // The member after this node in the order of identities that is not
  // suspected: this node is the one that watches it all the time.
  const MemberEntry* RingSuccessor(bool local) const;

  // Of all live members, whole and by parts; equal if two views are.
  uint64_t digest() const { return digest_; }
  const ViewDigests& digests() const { return digests_; }
  static uint8_t PartOf(base::NodeId id);

 private:
  using Index = uint32_t;

  bool IsTarget(const MemberEntry& entry) const;
  static bool IsAbsent(const MemberEntry& entry);
  // Adds an entry to the counts and digests, or takes it out.
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
