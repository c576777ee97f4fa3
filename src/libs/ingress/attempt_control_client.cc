#include "ingress/attempt_control_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "rpc/call_codec.h"
#include "traffic/peer_paths.h"
#include "wire/peer_request_head.h"

namespace chestnutport::ingress {
namespace {

using calls::AttemptStatus;

struct StatusName {
  const char* name;
  AttemptStatus status;
};

// Names in messages between nodes.
constexpr StatusName kStatusNames[] = {
    {"never-runs", AttemptStatus::kNeverRuns},
    {"queued", AttemptStatus::kQueued},
    {"running", AttemptStatus::kRunning},
    {"finished", AttemptStatus::kFinished},
    {"unknown-here", AttemptStatus::kUnknownHere}};

AttemptStatus ReadStatus(const http_client::TransferResult& result) {
  std::string text;
  std::string error;
  if (result.end != http_client::TransferEnd::kComplete ||
      !rpc::DecodeAnswer(traffic::kSettleMethod, result.answer.body, &text,
                         &error)) {
    return AttemptStatus::kNoAnswer;
  }
  const auto answer = nlohmann::json::parse(text, nullptr, false);
  if (!answer.is_object() || !answer.contains("state"))
    return AttemptStatus::kNoAnswer;
  for (const StatusName& state : kStatusNames) {
    if (answer["state"] == state.name)
      return state.status;
  }
  return AttemptStatus::kNoAnswer;
}

}  // namespace

AttemptControlClient::AttemptControlClient(net::EventLoop& loop,
                                           control_calls::PeerKeys keys)
    : keys_(std::move(keys)),
      client_(loop, http_client::HttpClientOptions::Fresh()) {}

void AttemptControlClient::SendCommand(const routing::ServerCandidate& server,
                                       const base::AttemptId& attempt,
                                       AttemptCommand command,
                                       base::Duration timeout,
                                       Handler handler) {
  wire::PeerRequestHead head;
  head.attempt = attempt;
  head.target = server.node;
  head.remaining = timeout;
  net::HttpRequest request{.method = "POST", .target = traffic::kSettlePath};
  head.AppendTo(request.headers, keys_.current);
  const nlohmann::json params = {
      {"attempt", attempt.ToString()},
      {"cancel", command != AttemptCommand::kQueryStatus},
      {"stop_running", command == AttemptCommand::kStop}};
  request.body = rpc::EncodeCall(traffic::kSettleMethod, params.dump());
  client_.Send(server.peer_address, std::move(request), timeout,
               [handler = std::move(handler)](
                   const http_client::TransferResult& result) {
                 handler(ReadStatus(result));
               });
}

}  // namespace chestnutport::ingress
