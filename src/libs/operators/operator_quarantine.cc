#include <nlohmann/json.hpp>
#include <utility>

#include "base/encoding.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"
#include "telemetry/log.h"

namespace chestnutport::operators {
namespace {

using base::RequestFingerprint;
using nlohmann::json;

// Formats the duration, rounded to milliseconds.
std::string FormatRounded(base::Duration duration) {
  return base::FormatDuration(
      std::chrono::round<std::chrono::milliseconds>(duration));
}

json ToJson(const fleet::RequestQuarantine& quarantine,
            const fleet::RequestWithVerdict& request,
            base::Instant now) {
  json crashes = json::array();
  for (const quarantine::CrashObservation& observation :
       request.evidence.crashes) {
    crashes.push_back({{"node", quarantine.NameOf(observation.crash.node)},
                       {"life", observation.crash.life},
                       {"ago", FormatRounded(now - observation.at)},
                       {"ran", FormatRounded(observation.run_time)},
                       {"alone", observation.is_sole_suspect}});
  }
  return {{"fingerprint", request.evidence.fingerprint.ToString()},
          {"verdict", std::string(ToString(request.verdict.verdict))},
          {"for", FormatRounded(request.verdict.until - now)},
          {"ends", crashes}};
}

// Returns the fingerprint in the body, or nothing if it has no valid one.
std::optional<RequestFingerprint> ParseFingerprint(const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("fingerprint") ||
      !object["fingerprint"].is_string()) {
    return std::nullopt;
  }
  return RequestFingerprint::Parse(object["fingerprint"].get<std::string>());
}

}  // namespace

void HandleQuarantine(const ManagedNode& node, net::Reply reply) {
  const fleet::RequestQuarantine& quarantine = node.quarantine;
  json requests = json::array();
  for (const fleet::RequestWithVerdict& request :
       quarantine.RequestsWithVerdict())
    requests.push_back(ToJson(quarantine, request, base::Clock::now()));
  SendJson(reply, {{"requests", requests}});
}

void HandleRelease(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& operator_name,
                   net::Reply reply) {
  const auto fingerprint = ParseFingerprint(request.body.ToString());
  if (!fingerprint) {
    SendError(reply, base::ErrorKind::kMalformedRequest,
              {{"accepted", "{\"fingerprint\": 16 hexadecimal digits}"}});
    return;
  }
  if (!node.quarantine.Release(*fingerprint, operator_name)) {
    SendError(reply, base::ErrorKind::kNotFound,
              {{"fingerprint", fingerprint->ToString()}});
    return;
  }
  SendJson(reply,
           {{"fingerprint", fingerprint->ToString()}, {"released", true}});
}

}  // namespace chestnutport::operators
