#include "operators/operator_api.h"

#include <utility>

#include "base/encoding.h"
#include "operators/operator_answer.h"
#include "operators/operator_calls.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

OperatorApi::OperatorApi(OperatedNode node,
                         const settings::NodeSettings& settings)
    : node_(std::move(node)), settings_(settings) {}

void OperatorApi::OnRequest(const net::HttpRequest& request, net::Reply reply) {
  const std::string call = request.method + " " + request.target;
  // Asked by whatever directs callers to nodes, which holds no token.
  if (call == "GET /v1/ready") {
    AnswerReady(node_, std::move(reply));
    return;
  }
  const std::string who = Authenticate(request);
  if (who.empty()) {
    SendError(reply, ErrorKind::kUnauthorized);
    return;
  }
  if (call == "POST /v1/plan")
    AnswerPlan(node_, request, std::move(reply));
  else if (call == "POST /v1/confirm")
    AnswerConfirm(node_, request, who, std::move(reply));
  else if (call == "GET /v1/status")
    AnswerStatus(node_, std::move(reply));
  else if (call == "GET /v1/revisions")
    AnswerRevisions(node_, std::move(reply));
  else if (call == "GET /v1/history")
    AnswerHistory(node_, std::move(reply));
  else if (request.method == "GET" && IsMetricsTarget(request.target))
    node_.metrics.Answer(request.target, std::move(reply));
  else if (call == "GET /v1/quarantine")
    AnswerQuarantine(node_, std::move(reply));
  else if (call == "POST /v1/release")
    AnswerRelease(node_, request, who, std::move(reply));
  else if (call == "GET /v1/evacuations")
    AnswerEvacuations(node_, std::move(reply));
  else if (call == "POST /v1/evacuate")
    AnswerEvacuate(node_, request, who, std::move(reply));
  else if (call == "POST /v1/drain")
    AnswerDrain(node_, request, true, std::move(reply));
  else if (call == "POST /v1/undrain")
    AnswerDrain(node_, request, false, std::move(reply));
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
