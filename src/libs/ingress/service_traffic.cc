#include "ingress/service_traffic.h"

#include <utility>

namespace chestnutport::ingress {
namespace {

constexpr double kRetryBurst = 20;
constexpr double kHedgeBurst = 5;
// Larger than for retries, because a refused attempt costs its server nothing.
constexpr double kRefusalShare = 0.2;
constexpr double kRefusalBurst = 20;
// A hedge starts after the target latency divided by this.
constexpr int kHedgeDivisor = 2;
constexpr double kQueryShare = 0.05;
constexpr double kQueryBurst = 50;

}  // namespace

ServiceTraffic::ServiceTraffic(const traffic::NodeIdentity& identity,
                               calls::RetryBudget& node_retries)
    : chooser_({identity.data_centre, identity.region, identity.id}),
      node_retries_(node_retries),
      retries_(0, kRetryBurst),
      hedges_(0, kHedgeBurst),
      refusals_(kRefusalShare, kRefusalBurst),
      status_queries_(kQueryShare, kQueryBurst) {}

void ServiceTraffic::SetDeclaration(
    const declarations::ServiceDeclaration& declaration) {
  if (!has_fleet_limit_)
    retries_.set_share(declaration.retry_budget);
  hedges_.set_share(declaration.hedge_budget);
  hedge_budget_ = declaration.hedge_budget;
}

void ServiceTraffic::SetRetryLimit(const calls::NodeRetryLimit& limit) {
  if (!std::exchange(has_fleet_limit_, true))
    retries_ = calls::RetryBudget::Empty(limit.share, limit.burst);
  retries_.set_share(limit.share);
  retries_.set_burst(limit.burst);
}

calls::CallPolicy ServiceTraffic::Policy(const CallerRequest& request) {
  calls::CallPolicy policy;
  policy.is_repeatable = request.is_repeatable;
  policy.is_retried_above = request.retry_level.has_value();
  policy.is_pinned_to_server = !request.idempotency_key.empty();
  timeouts_.Apply(hedge_budget_, policy);
  // Leaves half of the target to the hedge. A hedge at the latency quantile
  // would start too late if service times vary by more than the target allows.
  if (hedge_budget_ > 0 && request.target_latency > base::Duration::zero())
    policy.hedge_delay = request.target_latency / kHedgeDivisor;
  policy.max_servers = request.max_servers;
  policy.max_sends = request.max_servers + request.moves.if_degraded;
  policy.counts_server_refusals = has_fleet_limit_;
  return policy;
}

calls::CallBudgets ServiceTraffic::Budgets() {
  return {retries_, node_retries_, hedges_, refusals_, status_queries_};
}

}  // namespace chestnutport::ingress
