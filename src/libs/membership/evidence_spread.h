// Decides what is told of requests that servers ran when they ended, to whom,
// within a budget of its own.
//
// At most ends nothing follows from what a server ran. So a single end is told
// only to the few nodes that collect what is known of a request, chosen by its
// fingerprint; once two ends are known of a request, all nodes are told, with
// the gossip's messages. If all were told of each end, ten ends a second in a
// fleet of hundreds would fill the budget of every node.
#ifndef MEMBERSHIP_EVIDENCE_SPREAD_H_
#define MEMBERSHIP_EVIDENCE_SPREAD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"
#include "membership/byte_budget.h"
#include "membership/gossip_options.h"
#include "membership/news_queue.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_evidence.h"

namespace chestnutport::membership {

class EvidenceSpread {
 public:
  // Nodes that collect what is known of a request: one that is lost, and a
  // datagram that is, leave others.
  static constexpr size_t kCollectors = 3;

  // `ledger` must outlive this object.
  EvidenceSpread(quarantine::CrashLedger& ledger,
                 const GossipOptions& options,
                 base::Instant now);

  // Whether all nodes are to know what the ledger has on the request.
  bool IsForAll(base::RequestFingerprint fingerprint) const;
  // All are to be told, soon.
  void TellAll(base::RequestFingerprint fingerprint, base::Instant now);
  // Whether something waits to be told at once, and from when on it may be.
  bool HasFresh() const { return news_.HasFresh(); }
  base::Instant next_flush() const { return next_flush_; }

  // What goes into a message to all now, of `room` bytes at most; empty:
  // nothing is due, or the budget is used up.
  std::string TakeFresh(base::Instant now, size_t room);
  // The same of what is told some times more.
  std::string TakeRepeats(base::Instant now, size_t room);
  // What the ledger has on these requests, in parts of `room` bytes at most.
  std::vector<std::string> PartsOf(
      std::span<const base::RequestFingerprint> requests,
      base::Instant now,
      size_t room) const;
  // For the messages that are made of it.
  ByteBudget& budget() { return budget_; }
  // There is nobody to tell now.
  void Postpone(base::Instant next_flush) { next_flush_ = next_flush; }

  // What another node told; `passes_on`: others may not know it yet. Returns
  // whether anything was new; nothing if it cannot be read.
  std::optional<bool> Learn(std::string_view bytes,
                            bool passes_on,
                            base::Instant now);
  // All that a node that knows nothing has to be told.
  std::string All(base::Instant now) const;
  uint64_t digest() const { return ledger_.digest(); }

 private:
  using Queue = NewsQueue<base::RequestFingerprint>;

  // Whether the ledger has more on the request than what was heard.
  bool KnowsMore(const quarantine::RequestEvidence& heard) const;

  quarantine::CrashLedger& ledger_;
  GossipOptions options_;
  Queue news_;
  ByteBudget budget_;
  base::Instant next_flush_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_EVIDENCE_SPREAD_H_
