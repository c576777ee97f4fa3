#include <nlohmann/json.hpp>
#include <utility>

#include "base/encoding.h"
#include "operators/operator_answer.h"
#include "operators/operator_calls.h"
#include "telemetry/log.h"

namespace chestnutport::operators {
namespace {

using base::RequestFingerprint;
using nlohmann::json;

// In whole milliseconds.
std::string Rounded(base::Duration duration) {
  return base::FormatDuration(
      std::chrono::round<std::chrono::milliseconds>(duration));
}

json Describe(const fleet::RequestQuarantine& quarantine,
              const fleet::RequestWithVerdict& held,
              base::Instant now) {
  json ends = json::array();
  for (const quarantine::CrashObservation& mark : held.evidence.crashes) {
    ends.push_back({{"node", quarantine.NameOf(mark.crash.node)},
                    {"life", mark.crash.life},
                    {"ago", Rounded(now - mark.at)},
                    {"ran", Rounded(mark.run_time)},
                    {"alone", mark.is_sole_suspect}});
  }
  return {{"fingerprint", held.evidence.fingerprint.ToString()},
          {"verdict", std::string(ToString(held.verdict.verdict))},
          {"for", Rounded(held.verdict.until - now)},
          {"ends", ends}};
}

// Nothing if the body names none.
std::optional<RequestFingerprint> WantedRequest(const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("fingerprint") ||
      !object["fingerprint"].is_string()) {
    return std::nullopt;
  }
  return RequestFingerprint::Parse(object["fingerprint"].get<std::string>());
}

}  // namespace

void AnswerQuarantine(const OperatedNode& node, net::Reply reply) {
  const fleet::RequestQuarantine& quarantine = node.quarantine;
  json requests = json::array();
  for (const fleet::RequestWithVerdict& held : quarantine.RequestsWithVerdict())
    requests.push_back(Describe(quarantine, held, base::Clock::now()));
  SendJson(reply, {{"requests", requests}});
}

void AnswerRelease(const OperatedNode& node,
                   const net::HttpRequest& request,
                   const std::string& who,
                   net::Reply reply) {
  const auto wanted = WantedRequest(request.body);
  if (!wanted) {
    SendError(reply, base::ErrorKind::kMalformedRequest,
              {{"accepted", "{\"fingerprint\": 16 hexadecimal digits}"}});
    return;
  }
  if (!node.quarantine.Release(*wanted, who)) {
    SendError(reply, base::ErrorKind::kNotFound,
              {{"fingerprint", wanted->ToString()}});
    return;
  }
  SendJson(reply, {{"fingerprint", wanted->ToString()}, {"released", true}});
}

}  // namespace chestnutport::operators
