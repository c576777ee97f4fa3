// Decides how the nodes of a fleet find and watch each other: SWIM by data
// centre. Probes go mostly to the own data centre, news are told to a few
// members at once and repeated on pings and acks, and lasting differences
// between two views are mended by a pull. docs/design/membership.md explains
// it.
#ifndef MEMBERSHIP_GOSSIP_H_
#define MEMBERSHIP_GOSSIP_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/time.h"
#include "evacuation/held_evacuations.h"
#include "membership/byte_rate_limiter.h"
#include "membership/datagram_authenticator.h"
#include "membership/evidence_disseminator.h"
#include "membership/gossip_counters.h"
#include "membership/gossip_message.h"
#include "membership/gossip_options.h"
#include "membership/gossip_output.h"
#include "membership/member_table.h"
#include "membership/record_cache.h"
#include "membership/update_queue.h"
#include "quarantine/crash_ledger.h"

namespace chestnutport::membership {

// Pure: times and random numbers come in, datagrams come in and go out by
// value. `records` and `ledger` must outlive the gossip.
class Gossip {
 public:
  // IP and UDP heads, which the budgets count too.
  static constexpr size_t kPacketOverhead = 28;

  Gossip(const Member& self,
         const GossipOptions& options,
         DatagramAuthenticator authenticator,
         RecordCache& records,
         quarantine::CrashLedger& ledger,
         const base::Random& random,
         base::Instant now);

  // Does what is due. Call it at NextRun(), or earlier.
  void Run(base::Instant now, GossipOutput& output);
  base::Instant NextRun() const;

  void Receive(base::Instant now,
               const base::SocketAddress& from,
               std::string_view datagram,
               GossipOutput& output);

  // Says hello to whoever holds the address, such as a seed.
  void Contact(base::Instant now,
               const base::SocketAddress& address,
               GossipOutput& output);
  // Changes what this node says of itself; its incarnation and state in
  // `self` do not matter.
  void Update(base::Instant now, const Member& self, GossipOutput& output);
  // This node now holds `revision`; lower ones are ignored.
  void AnnounceRevision(base::Instant now,
                        uint64_t revision,
                        GossipOutput& output);
  // The ledger has something new on these requests.
  void AnnounceEvidence(base::Instant now,
                        std::span<const base::RequestFingerprint> requests,
                        GossipOutput& output);
  // This node read from the store which data centres are evacuated.
  void OnEvacuationsRead(base::Instant now,
                         const evacuation::Evacuations& read,
                         GossipOutput& output);
  // Tells a few members that this node leaves; the last call.
  void Leave(GossipOutput& output);

  // The answer to another node's pull; empty if the request is no pull.
  std::string AnswerPull(base::Instant now, std::string_view request) const;
  void OnPullResponse(base::Instant now,
                      std::string_view answer,
                      GossipOutput& output);
  void OnPullFailed(base::Instant now);

  // EncodeAll live members whose records are known, this node included.
  std::vector<Member> Members() const;
  const MemberTable& table() const { return table_; }
  const GossipCounters& counters() const { return counters_; }
  // When a member was last heard; nothing: never.
  std::optional<base::Instant> heard_at() const { return heard_at_; }
  const evacuation::Evacuations& evacuations() const {
    return evacuations_.held();
  }
  uint64_t incarnation() const { return incarnation_; }

 private:
  // A ping of this node's own that waits for its ack.
  struct Probe {
    base::NodeId target;
    uint32_t sequence;
    base::Instant deadline;
    bool is_indirect;
  };
  // A ping that was sent for another node.
  struct Relay {
    base::NodeId target;
    uint32_t sequence;
    base::SocketAddress origin;
    uint32_t origin_sequence;
    base::Instant deadline;
  };
  // Where news come from decides whether they are passed on.
  enum class Source { kDatagram, kPull };

  // gossip.cc: what is known.
  void ApplyUpdate(base::Instant now,
                   const MemberUpdate& item,
                   Source source,
                   GossipOutput& output);
  void ApplySelfUpdate(base::Instant now, const MemberUpdate& item);
  void HandleRevision(base::Instant now,
                      const GossipMessage& message,
                      GossipOutput& output);
  void SetState(base::Instant now,
                base::NodeId id,
                MemberState state,
                GossipOutput& output);
  // Keeps the timers that belong to the entry's state.
  void UpdateTimers(base::Instant now, const MemberEntry& entry);
  void ReplaceEntry(MemberEntry entry, GossipOutput& output);

  // gossip_telling.cc: messages, and telling news.
  void EnqueueUpdate(base::Instant now, base::NodeId id, bool with_record);
  MemberUpdate MakeUpdate(const MemberEntry& entry, bool with_record) const;
  GossipMessage MakeMessage(MessageType type, base::NodeId subject) const;
  void Send(const base::SocketAddress& to,
            const GossipMessage& message,
            GossipOutput& output);
  // Adds news that are repeated.
  void SendWithUpdates(base::Instant now,
                       const base::SocketAddress& to,
                       GossipMessage message,
                       GossipOutput& output);
  void Flush(base::Instant now, GossipOutput& output);
  void FanOut(const GossipMessage& message,
              ByteRateLimiter& budget,
              GossipOutput& output);

  // gossip_evidence.cc: what servers ran when they ended.
  void MergeEvidence(base::Instant now,
                     std::string_view bytes,
                     bool should_relay,
                     GossipOutput& output);
  void SendToCollector(base::Instant now,
                       const MemberEntry& collector,
                       std::span<const base::RequestFingerprint> requests,
                       GossipOutput& output);
  void FlushEvidence(base::Instant now, GossipOutput& output);

  // gossip_evacuation.cc: data centres whose servers take no new work.
  void MergeEvacuations(base::Instant now,
                        const evacuation::Evacuations& heard,
                        GossipOutput& output);
  void AnnounceEvacuations(base::Instant now, GossipOutput& output);

  // gossip_probing.cc: pings, acks, suspicion.
  void AnswerPing(base::Instant now,
                  const base::SocketAddress& from,
                  const GossipMessage& ping,
                  bool was_unknown,
                  GossipOutput& output);
  void AddUnlessAlive(base::NodeId id, GossipMessage& message) const;
  void OnAck(base::Instant now,
             const GossipMessage& answer,
             GossipOutput& output);
  void OnPingRequest(base::Instant now,
                     const base::SocketAddress& from,
                     const GossipMessage& request,
                     GossipOutput& output);
  void ProbeNext(base::Instant now, GossipOutput& output);
  void StartProbe(base::Instant now,
                  const MemberEntry& target,
                  GossipOutput& output);
  void ProbeDoubted(base::Instant now, GossipOutput& output);
  void PingAbsent(GossipOutput& output);
  void ExpireProbes(base::Instant now, GossipOutput& output);
  void ProbeIndirectly(base::Instant now, Probe& probe, GossipOutput& output);
  void Suspect(base::Instant now, base::NodeId id, GossipOutput& output);
  void ExpireSuspicions(base::Instant now, GossipOutput& output);
  void RemoveExpired(base::Instant now);
  void CompensateForPause(base::Instant now);

  // gossip_pulling.cc: mending differences.
  void CompareDigest(base::Instant now, const GossipMessage& message);
  void CompareEvidence(base::Instant now, const GossipMessage& message);
  bool EvidenceDiffersFor(base::Duration patience, base::Instant now) const;
  void PullIfDue(base::Instant now, GossipOutput& output);
  std::vector<base::NodeId> MissingRecords() const;
  void StoreRecord(base::Instant now,
                   std::string_view bytes,
                   GossipOutput& output);
  void DoubtUnlisted(const PullResponse& answer);

  GossipOptions options_;
  DatagramAuthenticator authenticator_;
  RecordCache& records_;
  base::Random random_;
  base::NodeId self_;
  uint64_t incarnation_ = 1;
  uint64_t revision_ = 0;
  uint64_t reported_revision_ = 0;
  base::Instant revision_reported_at_;
  MemberTable table_;
  UpdateQueue<base::NodeId> updates_;
  EvidenceDisseminator evidence_;
  evacuation::HeldEvacuations evacuations_;
  ByteRateLimiter budget_;
  ByteRateLimiter acks_;
  GossipCounters counters_;
  std::optional<base::Instant> heard_at_;
  bool has_left_ = false;

  uint32_t last_sequence_;
  unsigned probe_turn_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  // Members that another view lacks: they are probed before it is believed.
  std::vector<base::NodeId> doubted_;
  absl::flat_hash_map<base::NodeId, base::Instant> suspicions_;
  absl::flat_hash_map<base::NodeId, base::Instant> remove_at_;
  base::Instant next_probe_;
  base::Instant next_flush_;
  base::Instant next_sweep_;

  // Members whose evidence differed, the last of them, and when.
  base::NodeId evidence_from_;
  base::Instant evidence_differs_since_;
  base::Instant evidence_differed_at_;

  base::NodeId pull_from_;
  base::Instant diverged_since_;
  bool has_diverged_ = false;
  bool is_pulling_ = false;
  bool has_joined_ = false;  // A pull was answered.
  bool lacks_records_ = false;
  base::Instant next_pull_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_H_
