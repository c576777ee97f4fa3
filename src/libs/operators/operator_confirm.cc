#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "configuration/change.h"
#include "configuration/plan.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;
using configuration::ConfirmOutcome;
using configuration::ConfirmRequest;
using configuration::Finish;
using nlohmann::json;

std::string CurrentUtcTime() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                          absl::UTCTimeZone());
}

// Returns the plan id, or an empty string if it is missing. The body has
// already been parsed once for the declarations.
std::string ParsePlanId(const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("plan") ||
      !object["plan"].is_string()) {
    return "";
  }
  return object["plan"].get<std::string>();
}

// Returns the changes confirmed since the plan's base revision: for each key,
// by whom and when.
json ChangedSince(const ManagedNode& node,
                  const Finish& finish,
                  uint64_t base_revision) {
  json changes = json::array();
  const auto& documents = node.configuration.local().documents();
  for (const configuration::ConfirmedChange& confirmed :
       configuration::ChangesSince(finish.head, documents, base_revision)) {
    const configuration::Change& change = confirmed.change;
    changes.push_back({{"kind", ToString(change.kind)},
                       {"service", change.service},
                       {"section", change.section},
                       {"key", change.key},
                       {"before", change.before},
                       {"after", change.after},
                       {"revision", confirmed.revision},
                       {"by", confirmed.confirmed_by},
                       {"at", confirmed.confirmed_at}});
  }
  return changes;
}

void SendConfirmResult(net::Reply& reply,
                       const ManagedNode& node,
                       const Finish& finish,
                       uint64_t base_revision) {
  switch (finish.outcome) {
    case ConfirmOutcome::kConfirmed:
      SendJson(reply, {{"revision", finish.revision}, {"again", false}});
      return;
    case ConfirmOutcome::kAlreadyConfirmed:
      SendJson(reply, {{"revision", finish.revision}, {"again", true}});
      return;
    case ConfirmOutcome::kStale:
      SendError(reply, ErrorKind::kStalePlan,
                {{"base_revision", base_revision},
                 {"revision", finish.head.revision},
                 {"changed_since", ChangedSince(node, finish, base_revision)}});
      return;
    case ConfirmOutcome::kUnavailable:
      SendError(reply, ErrorKind::kStoreUnavailable);
      return;
    case ConfirmOutcome::kUnknown:
      SendError(reply, ErrorKind::kStoreOutcomeUnknown);
      return;
  }
}

}  // namespace

void HandleConfirm(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& operator_name,
                   net::Reply reply) {
  auto texts = ReadDeclarations(request, reply);
  if (!texts)
    return;
  const std::string plan_id = ParsePlanId(request.body.ToString());
  const auto base_revision = configuration::BaseRevision(plan_id);
  if (!base_revision ||
      configuration::PlanId(*base_revision, *texts) != plan_id) {
    SendError(reply, ErrorKind::kPlanMismatch);
    return;
  }
  const ConfirmRequest confirm{*base_revision, plan_id, operator_name,
                               CurrentUtcTime(), *std::move(texts)};
  // std::function requires a copyable callable; net::Reply is move-only.
  auto shared_reply = std::make_shared<net::Reply>(std::move(reply));
  node.configuration.Confirm(
      confirm,
      [shared_reply, &node, base = *base_revision](const Finish& finish) {
        SendConfirmResult(*shared_reply, node, finish, base);
      });
}

}  // namespace chestnutport::operators
