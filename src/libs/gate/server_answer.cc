#include "gate/server_answer.h"

#include <string>
#include <utility>

#include "base/encoding.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {
namespace {

using admission::ServerResult;
using base::ErrorKind;

// Headers that only nodes may set on an answer, or that are meant for them.
constexpr const char* kNodeAnswerHeaders[] = {
    wire::kOutcomeHeader,    wire::kErrorHeader,        wire::kLoadHeader,
    wire::kServerTimeHeader, wire::kServerNoticeHeader, wire::kRateLimitHeader,
    wire::kLeavingHeader};

}  // namespace

admission::ServerResult ToServerResult(http_client::TransferEnd end,
                                       server::ServerVerdict verdict) {
  switch (end) {
    case http_client::TransferEnd::kComplete:
      break;
    case http_client::TransferEnd::kNotSent:
      return ServerResult::kNotSent;
    case http_client::TransferEnd::kLost:
    case http_client::TransferEnd::kTimedOut:
      return ServerResult::kUncertain;
  }
  switch (verdict) {
    case server::ServerVerdict::kAnswered:
      return ServerResult::kAnswered;
    case server::ServerVerdict::kShed:
      return ServerResult::kShed;
    // Gives no information on the load of the intended server.
    case server::ServerVerdict::kOtherInstance:
      return ServerResult::kNotSent;
    case server::ServerVerdict::kUnusable:
      break;
  }
  return ServerResult::kUncertain;
}

std::optional<ErrorKind> ErrorOf(http_client::TransferEnd end,
                                 server::ServerVerdict verdict) {
  switch (end) {
    case http_client::TransferEnd::kNotSent:
      return ErrorKind::kConnectFailed;
    case http_client::TransferEnd::kLost:
      return ErrorKind::kServerLost;
    case http_client::TransferEnd::kTimedOut:
      return ErrorKind::kDeadlinePassed;
    case http_client::TransferEnd::kComplete:
      break;
  }
  switch (verdict) {
    case server::ServerVerdict::kShed:
      return ErrorKind::kServerShed;
    case server::ServerVerdict::kOtherInstance:
      return ErrorKind::kServerReplaced;
    case server::ServerVerdict::kUnusable:
      return ErrorKind::kAnswerUnusable;
    case server::ServerVerdict::kAnswered:
      break;
  }
  return std::nullopt;
}

net::HttpAnswer MakePeerAnswer(net::HttpAnswer answer,
                               base::Duration server_time) {
  net::RemoveHopByHop(answer.headers);
  for (const char* name : kNodeAnswerHeaders)
    net::RemoveHeader(answer.headers, name);
  answer.headers.push_back(
      {wire::kOutcomeHeader, std::string(ToString(base::Outcome::kAnswered))});
  answer.headers.push_back(
      {wire::kServerTimeHeader, base::FormatDuration(server_time)});
  return answer;
}

}  // namespace chestnutport::gate
