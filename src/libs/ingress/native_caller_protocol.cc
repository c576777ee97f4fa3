#include "ingress/native_caller_protocol.h"

#include <utility>

#include "net/error_answer.h"

namespace chestnutport::ingress {

base::Result<CallerRequest> NativeCallerProtocol::Read(
    const declarations::Configuration& configuration,
    net::HttpRequest request,
    base::Random& /*random*/) const {
  return ReadCallerRequest(configuration, std::move(request));
}

std::string NativeCallerProtocol::RequestId(
    const net::HttpRequest& /*request*/) const {
  return "";
}

net::HttpAnswer NativeCallerProtocol::ErrorAnswer(
    const CallerError& error) const {
  return net::MakeErrorAnswer(error.kind, error.retry_after);
}

}  // namespace chestnutport::ingress
