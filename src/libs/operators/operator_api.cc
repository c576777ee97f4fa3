#include "operators/operator_api.h"

#include <utility>

#include "base/encoding.h"
#include "net/error_answer.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;

constexpr std::string_view kBearer = "Bearer ";
// How long a request may wait for memory for its body.
constexpr std::chrono::seconds kBodyWait(1);

}  // namespace

OperatorApi::OperatorApi(ManagedNode node,
                         const settings::NodeSettings& settings)
    : node_(std::move(node)), settings_(settings) {}

void OperatorApi::OnRequest(const net::HttpRequest& request, net::Reply reply) {
  const std::string call = request.method + " " + request.target;
  // Needs no token: it is the readiness check of the systems that direct
  // callers to nodes.
  if (call == "GET /v1/ready") {
    HandleReady(node_, std::move(reply));
    return;
  }
  const std::string operator_name = Authenticate(request);
  if (operator_name.empty()) {
    SendError(reply, ErrorKind::kUnauthorized);
    return;
  }
  if (call == "POST /v1/plan")
    HandlePlan(node_, request, std::move(reply));
  else if (call == "POST /v1/confirm")
    HandleConfirm(node_, request, operator_name, std::move(reply));
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
    HandleRelease(node_, request, operator_name, std::move(reply));
  else if (call == "GET /v1/tenants")
    HandleTenants(node_, std::move(reply));
  else if (call == "GET /v1/evacuations")
    HandleEvacuations(node_, std::move(reply));
  else if (call == "POST /v1/evacuate")
    HandleEvacuate(node_, request, operator_name, std::move(reply));
  else if (call == "POST /v1/drain")
    HandleDrain(node_, request, true, std::move(reply));
  else if (call == "POST /v1/undrain")
    HandleDrain(node_, request, false, std::move(reply));
  else
    SendError(reply, ErrorKind::kNotFound);
}

net::BodyAdmission OperatorApi::AdmitBody(const net::HttpRequest& head) const {
  if (Authenticate(head).empty())
    return {.rejection = net::MakeErrorAnswer(ErrorKind::kUnauthorized)};
  return {.max_wait = kBodyWait};
}

std::string OperatorApi::Authenticate(const net::HttpRequest& request) const {
  std::string_view credentials =
      net::FindHeader(request.headers, "Authorization");
  if (!credentials.starts_with(kBearer))
    return "";
  credentials.remove_prefix(kBearer.size());
  std::string operator_name;
  for (const auto& [name, token] : settings_.operator_tokens) {
    if (base::EqualInConstantTime(credentials, token))
      operator_name = name;
  }
  return operator_name;
}

}  // namespace chestnutport::operators
