// Translates the result of a transfer to this node's own server for admission,
// and for the node that sent the request.
#ifndef GATE_SERVER_ANSWER_H_
#define GATE_SERVER_ANSWER_H_

#include <optional>

#include "admission/server_result.h"
#include "base/error_kind.h"
#include "base/time.h"
#include "http_client/http_client.h"
#include "net/http_message.h"
#include "server/server_protocol.h"

namespace chestnutport::gate {

// Returns the result of a transfer; `verdict` applies to a complete answer.
admission::ServerResult ToServerResult(http_client::TransferEnd end,
                                       server::ServerVerdict verdict);

// Returns nothing if the server answered.
std::optional<base::ErrorKind> ErrorOf(http_client::TransferEnd end,
                                       server::ServerVerdict verdict);

// Returns the server's answer, or its head, with the headers for another node,
// which include the server time.
net::HttpAnswer MakePeerAnswer(net::HttpAnswer answer,
                               base::Duration server_time);

}  // namespace chestnutport::gate

#endif  // GATE_SERVER_ANSWER_H_
