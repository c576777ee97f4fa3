// Membership and failure detection in a fleet: SWIM, adapted to data centres.
// Most probes go to the local data centre. Updates are sent to a few members at
// once and then piggybacked on pings and acks; pulls repair lasting differences
// between two views. docs/design/membership.md explains the design.
#ifndef MEMBERSHIP_GOSSIP_H_
#define MEMBERSHIP_GOSSIP_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/byte_rate_limiter.h"
#include "base/random.h"
#include "base/time.h"
#include "base/update_queue.h"
#include "evacuation/local_evacuations.h"
#include "membership/datagram_authenticator.h"
#include "membership/evidence_disseminator.h"
#include "membership/gossip_counters.h"
#include "membership/gossip_message.h"
#include "membership/gossip_options.h"
#include "membership/gossip_output.h"
#include "membership/member_table.h"
#include "membership/record_cache.h"
#include "quarantine/crash_ledger.h"

namespace chestnutport::membership {

// Does no I/O: times and random numbers are passed in, datagrams are passed in
// and out by value. `records` and `ledger` must outlive the gossip.
class Gossip {
 public:
  // Size of the IP and UDP headers, which count towards the budgets.
  static constexpr size_t kPacketOverhead = 28;

  Gossip(const Member& self,
         const GossipOptions& options,
         DatagramAuthenticator authenticator,
         RecordCache& records,
         quarantine::CrashLedger& ledger,
         const base::Random& random,
         base::Instant now);

  // Does all work that is due. Must be called at NextRun() or earlier.
  void Run(base::Instant now, GossipOutput& output);
  base::Instant NextRun() const;

  void Receive(base::Instant now,
               const base::SocketAddress& from,
               std::string_view datagram,
               GossipOutput& output);

  // Pings whichever node has the address, such as a seed.
  void Contact(base::Instant now,
               const base::SocketAddress& address,
               GossipOutput& output);
  // Publishes this node's new description, save the incarnation and state.
  void Update(base::Instant now, const Member& self, GossipOutput& output);
  // Announces that this node holds `revision`; ignored if lower than before.
  void AnnounceRevision(base::Instant now,
                        uint64_t revision,
                        GossipOutput& output);
  // Disseminates new evidence that the ledger holds on these requests.
  void AnnounceEvidence(base::Instant now,
                        std::span<const base::RequestFingerprint> requests,
                        GossipOutput& output);
  // Called when this node has read the evacuated data centres from the store.
  void OnEvacuationsRead(base::Instant now,
                         const evacuation::Evacuations& read,
                         GossipOutput& output);
  // Announces to a few members that this node leaves. Afterwards, Run() and
  // Receive() do nothing and AnswerPull() returns an empty string. Contact()
  // must not be called any more.
  void Leave(GossipOutput& output);

  // Returns the response; empty if `request` is malformed or after Leave().
  std::string AnswerPull(base::Instant now, std::string_view request) const;
  void OnPullResponse(base::Instant now,
                      std::string_view response,
                      GossipOutput& output);
  void OnPullFailed(base::Instant now);

  // Returns all live members whose records this node has, including itself.
  std::vector<Member> Members() const;
  const MemberTable& table() const { return table_; }
  const GossipCounters& counters() const { return counters_; }
  // When the last message from another member was received, if any was.
  std::optional<base::Instant> last_contact() const { return last_contact_; }
  const evacuation::Evacuations& evacuations() const {
    return evacuations_.current();
  }
  uint64_t incarnation() const { return incarnation_; }

 private:
  // A ping of this node that waits for its ack.
  struct Probe {
    base::NodeId target;
    uint32_t sequence;
    base::Instant deadline;
    bool is_indirect;
  };
  // A ping sent on behalf of another node.
  struct Relay {
    base::NodeId target;
    uint32_t sequence;
    base::SocketAddress origin;
    uint32_t origin_sequence;
    base::Instant deadline;
  };
  // Updates from datagrams are relayed; those from pulls are not.
  enum class Source { kDatagram, kPull };

  // gossip.cc: the view of the members.
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
  // Sets or cancels the timers that the state of the entry requires.
  void UpdateTimers(base::Instant now, const MemberEntry& entry);
  void ReplaceEntry(MemberEntry entry, GossipOutput& output);
  // Whether the entry is of another node at `address`, whose server has told it
  // that it leaves.
  static bool IsPredecessorAt(const MemberEntry& entry,
                              base::NodeId id,
                              const base::SocketAddress& address);

  // gossip_sending.cc: building and sending messages.
  void EnqueueUpdate(base::Instant now, base::NodeId id, bool with_record);
  MemberUpdate MakeUpdate(const MemberEntry& entry, bool with_record) const;
  GossipMessage MakeMessage(MessageType type, base::NodeId subject) const;
  void Send(const base::SocketAddress& to,
            const GossipMessage& message,
            GossipOutput& output);
  // Piggybacks updates and evidence that are still to be retransmitted.
  void SendWithUpdates(base::Instant now,
                       const base::SocketAddress& to,
                       GossipMessage message,
                       GossipOutput& output);
  void Flush(base::Instant now, GossipOutput& output);
  // `fleet_count`: how many receivers in any data centre.
  void FanOut(const GossipMessage& message,
              size_t fleet_count,
              base::ByteRateLimiter& budget,
              GossipOutput& output);
  // Returns options_.fleet_fan_out for some members of the data centre, and
  // zero for the others; drawn for each message.
  size_t DrawFleetFanOut();

  // gossip_evidence.cc: evidence on requests running at crashes.
  void MergeEvidence(base::Instant now,
                     std::string_view bytes,
                     bool should_relay,
                     GossipOutput& output);
  void SendToCollector(base::Instant now,
                       const MemberEntry& collector,
                       std::span<const base::RequestFingerprint> requests,
                       GossipOutput& output);
  void FlushEvidence(base::Instant now, GossipOutput& output);

  // gossip_evacuation.cc: data centres whose servers get no new work.
  void MergeEvacuations(base::Instant now,
                        const evacuation::Evacuations& received,
                        GossipOutput& output);
  void AnnounceEvacuations(base::Instant now, GossipOutput& output);

  // gossip_probing.cc: pings, acks and suspicion.
  void AnswerPing(base::Instant now,
                  const base::SocketAddress& from,
                  const GossipMessage& ping,
                  bool was_unknown,
                  GossipOutput& output);
  void AddUnlessAlive(base::NodeId id, GossipMessage& message) const;
  // Adds the records of earlier runs of the node `id` at `address`.
  void AddPredecessors(base::NodeId id,
                       const base::SocketAddress& address,
                       std::vector<MemberUpdate>& updates) const;
  void OnAck(base::Instant now, const GossipMessage& ack, GossipOutput& output);
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

  // gossip_pulling.cc: anti-entropy by pulls.
  void CompareDigest(base::Instant now, const GossipMessage& message);
  void CompareEvidence(base::Instant now, const GossipMessage& message);
  bool EvidenceDiffersFor(base::Duration grace, base::Instant now) const;
  void PullIfDue(base::Instant now, GossipOutput& output);
  std::vector<base::NodeId> MissingRecords() const;
  void StoreRecord(base::Instant now,
                   std::string_view bytes,
                   GossipOutput& output);
  void DoubtUnlisted(const PullResponse& response);

  GossipOptions options_;
  DatagramAuthenticator authenticator_;
  RecordCache& records_;
  base::Random random_;
  base::NodeId self_;
  std::string data_centre_;
  uint64_t incarnation_ = 1;
  uint64_t revision_ = 0;
  uint64_t reported_revision_ = 0;
  base::Instant revision_reported_at_;
  MemberTable table_;
  base::UpdateQueue<base::NodeId> updates_;
  EvidenceDisseminator evidence_;
  evacuation::LocalEvacuations evacuations_;
  base::ByteRateLimiter budget_;
  base::ByteRateLimiter acks_;
  GossipCounters counters_;
  std::optional<base::Instant> last_contact_;
  bool has_left_ = false;

  uint32_t last_sequence_;
  unsigned probe_turn_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  // Members missing from another view, probed before they are suspected.
  std::vector<base::NodeId> doubted_;
  absl::flat_hash_map<base::NodeId, base::Instant> suspicions_;
  absl::flat_hash_map<base::NodeId, base::Instant> remove_at_;
  base::Instant next_probe_;
  base::Instant next_flush_;
  base::Instant next_sweep_;

  // The last member whose evidence digest differed, the time since which
  // digests have differed, and the time of the last difference.
  base::NodeId evidence_from_;
  base::Instant evidence_differs_since_;
  base::Instant evidence_differed_at_;

  base::NodeId pull_from_;
  base::Instant diverged_since_;
  bool has_diverged_ = false;
  bool is_pulling_ = false;
  bool has_joined_ = false;  // Whether a pull has been answered.
  bool lacks_records_ = false;
  bool pulls_locally_ = true;  // The next one, if much is expected of it.
  base::Instant next_pull_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_H_
