// Decides what is told of requests that servers ran when they ended, to whom,
// within a budget of its own.
//
// At most ends nothing follows from what a server ran. So a single end is told
// only to the few nodes that collect what is known of a request, chosen by its
// fingerprint; once two ends are known of a request, all nodes are told, with
// the gossip's messages. If all were told of each end, ten ends a second in a
// fleet of hundreds would fill the budget of every node.
#ifndef MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_
#define MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"
#include "membership/byte_rate_limiter.h"
#include "membership/gossip_options.h"
#include "membership/update_queue.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_evidence.h"

namespace chestnutport::membership {

class EvidenceDisseminator {
 public:
  // Nodes that collect what is known of a request: one that is lost, and a
  // datagram that is, leave others.
  static constexpr size_t kCollectors = 3;

  // `ledger` must outlive this object.
  EvidenceDisseminator(quarantine::CrashLedger& ledger,
                       const GossipOptions& options,
                       base::Instant now);

  // Whether all nodes are to know what the ledger has on the request.
  bool IsFleetWide(base::RequestFingerprint fingerprint) const;
  // EncodeAll are to be told, soon.
  void Broadcast(base::RequestFingerprint fingerprint, base::Instant now);
  // Whether something waits to be told at once, and from when on it may be.
  bool HasUnsent() const { return updates_.HasUnsent(); }
  base::Instant next_flush() const { return next_flush_; }

  // What goes into a message to all now, of `room` bytes at most; empty:
  // nothing is due, or the budget is used up.
  std::string TakeUnsent(base::Instant now, size_t room);
  // The same of what is told some times more.
  std::string TakePiggybacked(base::Instant now, size_t room);
  // What the ledger has on these requests, in parts of `room` bytes at most.
  std::vector<std::string> EncodeInParts(
      std::span<const base::RequestFingerprint> requests,
      base::Instant now,
      size_t room) const;
  // For the messages that are made of it.
  ByteRateLimiter& budget() { return budget_; }
  // There is nobody to tell now.
  void PostponeFlush(base::Instant next_flush) { next_flush_ = next_flush; }

  // What another node told; `should_relay`: others may not know it yet. Returns
  // whether anything was new; nothing if it cannot be read.
  std::optional<bool> MergeReceived(std::string_view bytes,
                                    bool should_relay,
                                    base::Instant now);
  // EncodeAll that a node that knows nothing has to be told.
  std::string EncodeAll(base::Instant now) const;
  uint64_t digest() const { return ledger_.digest(); }

 private:
  using Queue = UpdateQueue<base::RequestFingerprint>;

  // Whether the ledger has more on the request than what was heard.
  bool HasMoreThan(const quarantine::RequestEvidence& heard) const;

  quarantine::CrashLedger& ledger_;
  GossipOptions options_;
  Queue updates_;
  ByteRateLimiter budget_;
  base::Instant next_flush_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_EVIDENCE_DISSEMINATOR_H_
