#include "node/server_answer.h"

#include <string>
#include <utility>

#include "base/encoding.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::node {
namespace {

using admission::ServerResult;
using base::ErrorKind;

// Headers that only a node may put on an answer.
constexpr const char* kNodeAnswerHeaders[] = {
    wire::kOutcomeHeader, wire::kErrorHeader, wire::kLoadHeader,
    wire::kServerTimeHeader};

}  // namespace

admission::ServerResult ToServerResult(net::TransferEnd end,
                                       ServerVerdict verdict) {
  switch (end) {
    case net::TransferEnd::kComplete:
      break;
    case net::TransferEnd::kNotSent:
      return ServerResult::kNotSent;
    case net::TransferEnd::kLost:
    case net::TransferEnd::kTimedOut:
      return ServerResult::kUncertain;
  }
  switch (verdict) {
    case ServerVerdict::kAnswered:
      return ServerResult::kAnswered;
    case ServerVerdict::kShed:
      return ServerResult::kShed;
    // Says nothing of the load of the server that was meant.
    case ServerVerdict::kOtherInstance:
      return ServerResult::kNotSent;
    case ServerVerdict::kUnusable:
      break;
  }
  return ServerResult::kUncertain;
}

std::optional<ErrorKind> ErrorOf(net::TransferEnd end, ServerVerdict verdict) {
  switch (end) {
    case net::TransferEnd::kNotSent:
      return ErrorKind::kConnectFailed;
    case net::TransferEnd::kLost:
      return ErrorKind::kServerLost;
    case net::TransferEnd::kTimedOut:
      return ErrorKind::kDeadlinePassed;
    case net::TransferEnd::kComplete:
      break;
  }
  switch (verdict) {
    case ServerVerdict::kShed:
      return ErrorKind::kServerShed;
    case ServerVerdict::kOtherInstance:
      return ErrorKind::kServerReplaced;
    case ServerVerdict::kUnusable:
      return ErrorKind::kAnswerUnusable;
    case ServerVerdict::kAnswered:
      break;
  }
  return std::nullopt;
}

net::HttpAnswer ForPeer(net::HttpAnswer answer, base::Duration server_time) {
  net::RemoveHopByHop(answer.headers);
  for (const char* name : kNodeAnswerHeaders)
    net::RemoveHeader(answer.headers, name);
  answer.headers.push_back(
      {wire::kOutcomeHeader, std::string(ToString(base::Outcome::kAnswered))});
  answer.headers.push_back(
      {wire::kServerTimeHeader, base::FormatDuration(server_time)});
  return answer;
}

}  // namespace chestnutport::node
