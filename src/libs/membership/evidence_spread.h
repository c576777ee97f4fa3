// Passes on what nodes know of requests that servers ran when they ended: with
// the gossip's messages, at once and then some times more, out of a budget of
// its own. What speaks for or against a verdict goes before the rest.
#ifndef MEMBERSHIP_EVIDENCE_SPREAD_H_
#define MEMBERSHIP_EVIDENCE_SPREAD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/request_fingerprint.h"
#include "base/time.h"
#include "membership/byte_budget.h"
#include "membership/gossip_options.h"
#include "membership/news_queue.h"
#include "quarantine/crash_ledger.h"

namespace chestnutport::membership {

class EvidenceSpread {
 public:
  // `ledger` must outlive this object.
  EvidenceSpread(quarantine::CrashLedger& ledger,
                 const GossipOptions& options,
                 base::Instant now);

  // The ledger has something new on the request, to be told to others.
  void Tell(base::RequestFingerprint fingerprint, base::Instant now);
  // Whether something waits to be told at once, and from when on it may be.
  bool HasFresh() const { return urgent_.HasFresh() || usual_.HasFresh(); }
  base::Instant next_flush() const { return next_flush_; }

  // What goes into a message now, of `room` bytes at most; empty: nothing is
  // due, or the budget is used up.
  std::string TakeFresh(base::Instant now, size_t room);
  std::string TakeRepeats(base::Instant now, size_t room);
  // For the messages that are made of it.
  ByteBudget& budget() { return budget_; }
  // There is nobody to tell now.
  void Postpone(base::Instant next_flush) { next_flush_ = next_flush; }

  // What another node told; `passes_on`: others may not know it yet. Returns
  // whether anything was new.
  bool Learn(std::string_view bytes, bool passes_on, base::Instant now);
  // All that a node that knows nothing has to be told.
  std::string All(base::Instant now) const;
  uint64_t digest() const { return ledger_.digest(); }

 private:
  using Queue = NewsQueue<base::RequestFingerprint>;

  quarantine::CrashLedger& ledger_;
  GossipOptions options_;
  Queue urgent_;
  Queue usual_;
  ByteBudget budget_;
  base::Instant next_flush_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_EVIDENCE_SPREAD_H_
