#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "operators/allocation_report.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using limit_service::LimitReport;
using limits::TenantAllocationView;
using limits::TenantLimiterView;
using nlohmann::json;

constexpr base::Duration kCallTimeout = std::chrono::seconds(1);

// What is known of the division of limits over all nodes; nothing if the
// allocator did not answer.
using Allocation = std::optional<std::vector<TenantAllocationView>>;

template <typename View>
const View* FindView(const std::vector<View>& views, const std::string& name) {
  const auto found = std::ranges::find(views, name, &View::tenant);
  return found == views.end() ? nullptr : &*found;
}

json FleetToJson(const Allocation& allocation, const std::string& name) {
  if (!allocation)
    return nullptr;
  const TenantAllocationView none;
  const auto* found = FindView(*allocation, name);
  const TenantAllocationView& view = found ? *found : none;
  return {{"rate_share", view.leased_rate},
          {"burst_share", view.leased_burst},
          {"nodes", view.holders},
          {"demand", view.demand},
          {"free_tokens", view.free_tokens}};
}

// Never contains a key or a digest of one.
json ToJson(const declarations::TenantAccount& account,
            const std::vector<TenantLimiterView>& held,
            const Allocation& allocation) {
  const TenantLimiterView none;
  const auto* found = FindView(held, account.name);
  const TenantLimiterView& view = found ? *found : none;
  json tenant = {{"name", account.name},
                 {"urgency", nullptr},
                 {"keys", account.keys.size()},
                 {"rate", account.rate},
                 {"burst", account.burst},
                 {"here",
                  {{"rate_share", view.rate_share},
                   {"burst_share", view.burst_share},
                   {"tokens", view.tokens},
                   {"admitted", view.admitted},
                   {"returned", view.refunded},
                   {"rate_limited", view.rejected},
                   {"rate_limit_unknown", view.unknown}}},
                 {"fleet", nullptr}};
  if (account.urgency)
    tenant["urgency"] = *account.urgency;
  if (account.rate > 0)
    tenant["fleet"] = FleetToJson(allocation, account.name);
  return tenant;
}

json AllocatorToJson(const ManagedNode& node, const LimitReport& report) {
  if (!report.allocator)
    return nullptr;
  const auto found = std::ranges::find(node.members, report.allocator->holder,
                                       &membership::Member::id);
  return {{"node", report.allocator->holder.ToString()},
          {"name", found == node.members.end() ? "" : found->name},
          {"epoch", report.allocator->epoch}};
}

// Collects what the ingress and the allocator know of the tenants. Keeps itself
// alive until the response is sent.
class TenantSurvey : public std::enable_shared_from_this<TenantSurvey> {
 public:
  TenantSurvey(const ManagedNode& node, net::Reply reply)
      : node_(node), reply_(std::move(reply)) {}

  void Run() {
    node_.read_limiter([survey = shared_from_this()](auto held) {
      survey->held_ = std::move(held);
      survey->ReadAllocation();
    });
  }

 private:
  void ReadAllocation() {
    const LimitReport report = node_.read_limits();
    if (report.is_allocator) {
      SendResult(report.allocation);
      return;
    }
    const auto allocator = std::ranges::find_if(
        node_.members, [&report](const membership::Member& member) {
          return report.allocator && member.id == report.allocator->holder;
        });
    if (allocator == node_.members.end()) {
      SendResult(std::nullopt);
      return;
    }
    node_.caller.Call(
        allocator->control_address, kAllocationMethod, "{}", kCallTimeout,
        [survey = shared_from_this()](const auto& text) {
          survey->SendResult(text ? AllocationFromJson(text.value())
                                  : std::nullopt);
        });
  }

  void SendResult(const Allocation& allocation) {
    json tenants = json::array();
    const auto& accounts =
        node_.configuration.configuration().tenants.accounts();
    for (const declarations::TenantAccount& account : accounts)
      tenants.push_back(ToJson(account, held_, allocation));
    SendJson(reply_,
             {{"allocator", AllocatorToJson(node_, node_.read_limits())},
              {"tenants", tenants}});
  }

  const ManagedNode& node_;
  net::Reply reply_;
  std::vector<TenantLimiterView> held_;
};

}  // namespace

void HandleTenants(const ManagedNode& node, net::Reply reply) {
  std::make_shared<TenantSurvey>(node, std::move(reply))->Run();
}

}  // namespace chestnutport::operators
