// Simulates a fleet that runs the product's gossip, in one process and virtual
// time, over links that lose, duplicate, delay and reorder messages and can be
// partitioned.
#ifndef SUPPORT_GOSSIP_FLEET_H_
#define SUPPORT_GOSSIP_FLEET_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/gossip.h"

namespace chestnutport::test {

struct GossipFleetOptions {
  size_t members = 10;
  uint64_t seed = 1;
  double loss = 0;
  double duplication = 0;
  base::Duration
      jitter{};  // Random additional delay, up to this; reorders datagrams.
  bool converged = true;  // Whether all nodes know all members at the start.
  membership::GossipOptions gossip;
};

struct GossipTraffic {
  uint64_t datagrams = 0;
  uint64_t datagram_bytes = 0;  // Including IP and UDP headers.
  uint64_t pulls = 0;
  uint64_t pull_bytes = 0;  // Both directions, with an estimate of the headers.
  // Of datagram_bytes and pull_bytes.
  uint64_t bytes_between_data_centres = 0;
};

// How often and for how long reachable members were believed to have failed.
struct FalsePositives {
  uint64_t suspected = 0;  // Counted for each observer and member.
  uint64_t gone = 0;
  base::Duration longest_gone{};
};

class GossipFleet {
 public:
  using OnChange = std::function<void(size_t observer,
                                      const membership::MemberChange& change)>;
  using OnRevision = std::function<void(size_t observer, uint64_t revision)>;
  using IsPartitioned = std::function<bool(size_t from, size_t to)>;

  explicit GossipFleet(const GossipFleetOptions& options);

  void RunFor(base::Duration duration);
  // Runs until `condition` holds, which is checked every 10 ms, or `limit` is
  // over. Returns whether it held.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);
  base::Instant now() const { return now_; }

  // A slot is a VM: it has an address and runs one node at a time.
  size_t size() const { return slots_.size(); }
  void Kill(size_t slot);
  void Leave(size_t slot);
  void Freeze(size_t slot);
  void Resume(size_t slot);
  // Starts a new node in the slot that knows one seed.
  void Start(size_t slot, size_t seed);
  // Starts a new node in the slot that knows no other node.
  void StartWithoutSeed(size_t slot);
  // Makes the node in `slot` ping another seed.
  void ContactSeed(size_t slot, size_t seed);
  void Drain(size_t slot);
  // Publishes that the server beside the node leaves.
  void Depart(size_t slot, const base::ServerDeparture& departure);
  // Returns the earlier runs of the running node that it has heard of.
  const std::vector<membership::Member>& predecessors(size_t slot) const {
    return slots_[slot].predecessors;
  }
  void AnnounceRevision(size_t slot, uint64_t revision);
  // Passes the evacuations to the node as read from the store.
  void ReadEvacuations(size_t slot, const evacuation::Evacuations& read);
  // Crashes the server beside the node while it runs the requests. `life`
  // counts the starts of the server.
  void CrashServer(size_t slot,
                   uint32_t life,
                   const std::vector<quarantine::RunningRequest>& running);
  // Makes the server beside the node answer a request that is under suspicion.
  void Refute(size_t slot, base::RequestFingerprint fingerprint);
  quarantine::CrashLedger& ledger(size_t slot) { return *slots_[slot].ledger; }
  void Partition(IsPartitioned is_partitioned) {
    is_partitioned_ = std::move(is_partitioned);
  }
  void Inject(size_t slot, const std::string& datagram);
  void SetLoss(double loss) { options_.loss = loss; }

  bool IsUp(size_t slot) const {
    return slots_[slot].gossip && !slots_[slot].frozen;
  }
  membership::Gossip& gossip(size_t slot) { return *slots_[slot].gossip; }
  const membership::Member& member(size_t slot) const {
    return slots_[slot].member;
  }
  // Returns whether each running node believes exactly the running nodes to be
  // live.
  bool HasConverged();
  size_t DataCentreOf(size_t slot) const { return slot % data_centres_; }
  size_t RegionOf(size_t slot) const;
  size_t data_centres() const { return data_centres_; }

  void set_on_change(OnChange handler) { on_change_ = std::move(handler); }
  void set_on_revision(OnRevision handler) {
    on_revision_ = std::move(handler);
  }
  const GossipTraffic& traffic() const { return traffic_; }
  FalsePositives& false_positives() { return false_positives_; }
  // Returns a pull response that contains the whole fleet with its records.
  std::string FullPullResponse() const;

 private:
  struct Slot {
    membership::Member member;
    std::unique_ptr<quarantine::CrashLedger> ledger;
    std::unique_ptr<membership::Gossip> gossip;
    std::vector<membership::Member> predecessors;
    bool frozen = false;
    uint64_t life = 0;
    base::Instant timer{};
    std::deque<std::pair<base::SocketAddress, std::string>> pending_datagrams;
  };
  enum class Kind { kTimer, kDatagram, kPull, kPullAnswer, kPullFailed };
  struct Event {
    base::Instant when;
    uint64_t order;
    Kind kind;
    uint32_t to;
    uint32_t from;
    std::string bytes;

    bool operator>(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void AddGossip(size_t slot);
  void Converge();
  void Schedule(base::Instant when,
                Kind kind,
                size_t to,
                size_t from,
                std::string bytes);
  void Handle(Event& event);
  void Apply(size_t slot, membership::GossipOutput& output);
  // Counts `bytes` from one slot to another.
  void CountBytes(uint64_t& counter, size_t bytes, size_t from, size_t to);
  void Observe(size_t observer, const membership::MemberChange& change);
  void SendPull(size_t slot, membership::OutgoingPull& pull);
  bool Delivers(size_t from, size_t to);
  base::Duration Delay(size_t from, size_t to);
  double Chance();

  GossipFleetOptions options_;
  size_t data_centres_;
  base::Random random_;
  base::Instant now_;
  uint64_t order_ = 0;
  membership::RecordCache records_;
  std::vector<Slot> slots_;
  absl::flat_hash_map<base::NodeId, size_t> slot_of_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  IsPartitioned is_partitioned_;
  OnChange on_change_;
  OnRevision on_revision_;
  GossipTraffic traffic_;
  FalsePositives false_positives_;
  absl::flat_hash_map<std::pair<size_t, base::NodeId>, base::Instant>
      gone_since_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_GOSSIP_FLEET_H_
