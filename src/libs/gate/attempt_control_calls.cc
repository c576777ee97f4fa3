#include "gate/attempt_control_calls.h"
#include "traffic/peer_paths.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace chestnutport::gate {
namespace {

using admission::AttemptState;
using base::AttemptId;
using nlohmann::json;

// Returns the flag, true by default.
bool ReadFlag(const json& request, const char* field) {
  return !request.contains(field) || request[field] != false;
}

std::optional<AttemptControlRequest> ParseRequest(const std::string& text) {
  const json read = json::parse(text, nullptr, false);
  if (!read.is_object() || !read.contains("attempt") ||
      !read["attempt"].is_string()) {
    return std::nullopt;
  }
  const auto attempt = AttemptId::Parse(read["attempt"].get<std::string>());
  if (!attempt)
    return std::nullopt;
  return AttemptControlRequest{*attempt, ReadFlag(read, "cancel"),
                               ReadFlag(read, "stop_running")};
}

}  // namespace

AttemptControlCalls::AttemptControlCalls(Handler handler)
    : handler_(std::move(handler)) {
  dispatcher_.Add(traffic::kSettleMethod, [this](const std::string& params) {
    return ControlAttempt(params);
  });
}

net::HttpAnswer AttemptControlCalls::Answer(const std::string& body) {
  net::HttpAnswer answer;
  answer.headers = {{"Content-Type", "application/json"}};
  answer.body = dispatcher_.Handle(body);
  return answer;
}

std::string AttemptControlCalls::ControlAttempt(
    const std::string& params) const {
  const auto request = ParseRequest(params);
  if (!request)
    return "";
  const AttemptState state = handler_(*request);
  return json{{"state", std::string(ToString(state))},
              {"never_runs", state == AttemptState::kNeverRuns}}
      .dump();
}

}  // namespace chestnutport::gate
