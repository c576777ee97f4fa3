// What a call may do, fixed when it begins.
#ifndef CALLS_CALL_POLICY_H_
#define CALLS_CALL_POLICY_H_

#include "base/time.h"
#include "calls/retry_budget.h"

namespace chestnutport::calls {

struct CallPolicy {
  // It may run more than once.
  bool is_repeatable = false;
  // A level above repeats this work if it fails, so this one does not; what is
  // known not to have run may be sent elsewhere all the same.
  bool is_retried_above = false;
  // It must run at one certain server, so nothing is sent elsewhere.
  bool is_pinned_to_server = false;
  // Servers that it may be handed to, and nodes that it may be sent to: one
  // that is sent back by a node before it reached a server may go on.
  int most_servers = 3;
  int most_sends = 3;
  // A refusal by the server itself counts as a second attempt: the server saw
  // the request. False: it costs nothing.
  bool counts_server_refusals = false;
  // Without an answer for so long, a second attempt starts. Zero: never.
  base::Duration hedge_delay{};
  // Without an answer for so long, the attempt's state is asked for.
  base::Duration status_query_delay = std::chrono::seconds(1);
  // So long before the deadline, what has not started is cancelled, so that
  // the caller can be told that it did not run.
  base::Duration cancel_lead = std::chrono::milliseconds(20);
};

// What the calls of one service, or of the whole node, share. All must outlive
// the calls that draw on them.
struct CallBudgets {
  RetryBudget& service;         // Attempts that may run a second time.
  RetryBudget& node;            // The same, over all services.
  RetryBudget& hedges;          // Those of them that are hedges.
  RetryBudget& refusals;        // Second tries of what a busy server refused.
  RetryBudget& status_queries;  // Questions about an attempt without an answer.
};

}  // namespace chestnutport::calls

#endif  // CALLS_CALL_POLICY_H_
