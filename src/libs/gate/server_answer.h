// What a transfer to this node's own server means for admission, and for the
// node that handed over the request.
#ifndef GATE_SERVER_ANSWER_H_
#define GATE_SERVER_ANSWER_H_

#include <optional>

#include "admission/server_result.h"
#include "base/error_kind.h"
#include "base/time.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "server/server_protocol.h"

namespace chestnutport::gate {

// What the end of a transfer says, with the verdict on its answer if it has a
// whole one.
admission::ServerResult ToServerResult(net::TransferEnd end,
                                       server::ServerVerdict verdict);

// Nothing if the server answered.
std::optional<base::ErrorKind> ErrorOf(net::TransferEnd end,
                                       server::ServerVerdict verdict);

// The server's answer, or its head, marked as such and with the time that the
// server took.
net::HttpAnswer MakePeerAnswer(net::HttpAnswer answer,
                               base::Duration server_time);

}  // namespace chestnutport::gate

#endif  // GATE_SERVER_ANSWER_H_
