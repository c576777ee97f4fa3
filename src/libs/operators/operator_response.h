// Responses of the operators' API.
#ifndef OPERATORS_OPERATOR_RESPONSE_H_
#define OPERATORS_OPERATOR_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "base/error_kind.h"
#include "net/reply.h"

namespace chestnutport::operators {

void SendJson(net::Reply& reply, const nlohmann::json& body);

// Sends `details` with the error's name, outcome, text and retry delay added.
void SendError(net::Reply& reply,
               base::ErrorKind kind,
               nlohmann::json details = nlohmann::json::object());

}  // namespace chestnutport::operators

#endif  // OPERATORS_OPERATOR_RESPONSE_H_
