// Disseminates evidence on requests that were running when servers crashed,
// within a bandwidth budget of its own.
//
// Most crashes are not caused by the running requests, so the first crash of a
// request is sent only to a few collectors, chosen by its fingerprint. Once two
// are known, the evidence is broadcast with gossip messages. With hundreds of
// nodes, broadcasting each of ten crashes a second would exhaust every budget.
#ifndef MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_
#define MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/byte_rate_limiter.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "base/update_queue.h"
#include "membership/gossip_options.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_evidence.h"

namespace chestnutport::membership {

class EvidenceDisseminator {
 public:
  // For each request. Several tolerate the loss of a node and of a datagram.
  static constexpr size_t kCollectors = 3;

  // `ledger` must outlive this object.
  EvidenceDisseminator(quarantine::CrashLedger& ledger,
                       const GossipOptions& options,
                       base::Instant now);

  // Returns whether the evidence on the request is shared with all nodes.
  bool IsFleetWide(base::RequestFingerprint fingerprint) const;
  // Queues the evidence on the request for broadcast.
  void Broadcast(base::RequestFingerprint fingerprint, base::Instant now);
  // Whether queued evidence is unsent, and the earliest time to send it.
  bool HasUnsent() const { return updates_.HasUnsent(); }
  base::Instant next_flush() const { return next_flush_; }

  // Returns the queued evidence for the next broadcast, in at most `room`
  // bytes; empty if none is due or the budget is exhausted.
  std::string TakeUnsent(base::Instant now, size_t room);
  // Returns evidence to piggyback on a ping or an ack, in at most `room` bytes.
  std::string TakePiggybacked(base::Instant now, size_t room);
  // Returns the evidence on the requests, encoded in parts of at most `room`
  // bytes unless a single request takes more.
  std::vector<std::string> EncodeInParts(
      std::span<const base::RequestFingerprint> requests,
      base::Instant now,
      size_t room) const;
  // The budget that the resulting messages are charged to.
  base::ByteRateLimiter& budget() { return budget_; }
  // Called when there is no member to send to.
  void PostponeFlush(base::Instant next_flush) { next_flush_ = next_flush; }

  // Adds evidence from another node; `should_relay` if others may not have it
  // yet. Returns whether any of it was new, or nothing if it is malformed.
  std::optional<bool> MergeReceived(std::string_view bytes,
                                    bool should_relay,
                                    base::Instant now);
  // Returns the evidence that is shared with all nodes, encoded.
  std::string EncodeAll(base::Instant now) const;
  uint64_t digest() const { return ledger_.digest(); }

 private:
  using Queue = base::UpdateQueue<base::RequestFingerprint>;

  // Whether the ledger has more evidence on the request than `received`.
  bool HasMoreThan(const quarantine::RequestEvidence& received) const;

  quarantine::CrashLedger& ledger_;
  GossipOptions options_;
  Queue updates_;
  base::ByteRateLimiter budget_;
  base::Instant next_flush_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_
