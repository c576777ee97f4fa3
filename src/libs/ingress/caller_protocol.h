// How callers and the server beside an ingress speak to it: what a request says
// of itself, and how an error is told.
#ifndef INGRESS_CALLER_PROTOCOL_H_
#define INGRESS_CALLER_PROTOCOL_H_

#include <concepts>
#include <functional>
#include <string>

#include "base/error_kind.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "declarations/configuration.h"
#include "ingress/caller_request.h"
#include "net/http_message.h"

namespace chestnutport::ingress {

// What a caller is told when there is no answer of a server.
struct CallerError {
  base::ErrorKind kind = base::ErrorKind::kInternal;
  base::Duration retry_after{};  // Zero: coming back would not help.
  std::string request_id;        // As the caller named it; may be empty.
};

template <typename Protocol>
concept CallerProtocol =
    requires(const Protocol& protocol,
             const declarations::Configuration& configuration,
             net::HttpRequest request,
             base::Random& random,
             const CallerError& error) {
  // The error to answer with if the request is not to be run. A request is
  // given to one of its route's services here.
  {
    protocol.Read(configuration, request, random)
    } -> std::same_as<base::Result<CallerRequest>>;
  { protocol.RequestId(request) } -> std::same_as<std::string>;
  // Whether callers wait for parts of a second, so that it is worth telling
  // them the time that suits them best.
  { protocol.SupportsSubsecondRetryDelay() } -> std::same_as<bool>;
  { protocol.ErrorAnswer(error) } -> std::same_as<net::HttpAnswer>;
};

// Any CallerProtocol, by value.
struct AnyCallerProtocol {
  template <CallerProtocol Protocol>
  static AnyCallerProtocol Of(const Protocol& protocol) {
    return {.read =
                [protocol](const auto& configuration, net::HttpRequest request,
                           auto& random) {
                  return protocol.Read(configuration, std::move(request),
                                       random);
                },
            .request_id =
                [protocol](const auto& request) {
                  return protocol.RequestId(request);
                },
            .error_answer =
                [protocol](const auto& error) {
                  return protocol.ErrorAnswer(error);
                },
            .supports_subsecond_retry_delay =
                protocol.SupportsSubsecondRetryDelay()};
  }

  std::function<base::Result<CallerRequest>(const declarations::Configuration&,
                                            net::HttpRequest,
                                            base::Random&)>
      read;
  // How the caller names the request; empty: it does not.
  std::function<std::string(const net::HttpRequest&)> request_id;
  std::function<net::HttpAnswer(const CallerError&)> error_answer;
  bool supports_subsecond_retry_delay = false;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALLER_PROTOCOL_H_
