#include "operators/operator_api.h"

#include <utility>

#include "base/encoding.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

OperatorApi::OperatorApi(ManagedNode node,
                         const settings::NodeSettings& settings)
    : node_(std::move(node)), settings_(settings) {}

void OperatorApi::OnRequest(const net::HttpRequest& request, net::Reply reply) {
  const std::string call = request.method + " " + request.target;
  // Asked by whatever directs callers to nodes, which holds no token.
  if (call == "GET /v1/ready") {
    HandleReady(node_, std::move(reply));
    return;
  }
  const std::string who = Authenticate(request);
  if (who.empty()) {
    SendError(reply, ErrorKind::kUnauthorized);
    return;
  }
  if (call == "POST /v1/plan")
    HandlePlan(node_, request, std::move(reply));
  else if (call == "POST /v1/confirm")
    HandleConfirm(node_, request, who, std::move(reply));
  else if (call == "GET /v1/status")
    HandleStatus(node_, std::move(reply));
  else if (call == "GET /v1/revisions")
    HandleRevisions(node_, std::move(reply));
  else if (call == "GET /v1/history")
    HandleHistory(node_, std::move(reply));
  else if (request.method == "GET" && IsMetricsTarget(request.target))
    node_.metrics.Answer(request.target, std::move(reply));
  else if (call == "GET /v1/quarantine")
    HandleQuarantine(node_, std::move(reply));
  else if (call == "POST /v1/release")
    HandleRelease(node_, request, who, std::move(reply));
  else if (call == "GET /v1/evacuations")
    HandleEvacuations(node_, std::move(reply));
  else if (call == "POST /v1/evacuate")
    HandleEvacuate(node_, request, who, std::move(reply));
  else if (call == "POST /v1/drain")
    HandleDrain(node_, request, true, std::move(reply));
  else if (call == "POST /v1/undrain")
    HandleDrain(node_, request, false, std::move(reply));
  else
    SendError(reply, ErrorKind::kNotFound);
}

std::string OperatorApi::Authenticate(const net::HttpRequest& request) const {
  std::string_view shown = net::FindHeader(request.headers, "Authorization");
  if (!shown.starts_with(kBearer))
    return "";
  shown.remove_prefix(kBearer.size());
  std::string who;
  for (const auto& [name, token] : settings_.operator_tokens) {
    if (base::EqualInConstantTime(shown, token))
      who = name;
  }
  return who;
}

}  // namespace chestnutport::operators
