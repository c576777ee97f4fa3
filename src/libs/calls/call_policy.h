// The limits of one call, fixed when it begins, and the budgets that calls
// share.
#ifndef CALLS_CALL_POLICY_H_
#define CALLS_CALL_POLICY_H_

#include "base/time.h"
#include "calls/retry_budget.h"

namespace chestnutport::calls {

struct CallPolicy {
  // The request is idempotent, so it may run more than once.
  bool is_repeatable = false;
  // An enclosing call retries this work if it fails, so this call does not. An
  // attempt that is known not to have run may still be sent elsewhere.
  bool is_retried_above = false;
  // Only one particular server may run the request; it is never sent to
  // another.
  bool is_pinned_to_server = false;
  // Maximum number of servers that receive the request, and of attempts. The
  // second is larger where a node may return an attempt before it reached its
  // server.
  int max_servers = 3;
  int max_sends = 3;
  // Whether a refusal by the server itself, which has received the request,
  // counts towards `max_servers`, and resending it towards the retry budget.
  bool counts_server_refusals = false;
  // Time without an answer after which a hedge starts. Zero disables hedging.
  base::Duration hedge_delay{};
  // Time without an answer after which the attempt's status is queried.
  base::Duration status_query_delay = std::chrono::seconds(1);
  // Time before the deadline at which attempts that have not started are
  // cancelled, so that the outcome "not run" can be reported to the caller.
  base::Duration cancel_lead = std::chrono::milliseconds(20);
};

// Budgets shared by the calls of one service, or by all calls of the node. Must
// outlive the calls that use them.
struct CallBudgets {
  RetryBudget& service;         // Retries and hedges of the service.
  RetryBudget& node;            // Retries and hedges of all services.
  RetryBudget& hedges;          // Hedges of the service.
  RetryBudget& refusals;        // Resends after a refusal due to overload.
  RetryBudget& status_queries;  // Status queries of unanswered attempts.
};

}  // namespace chestnutport::calls

#endif  // CALLS_CALL_POLICY_H_
