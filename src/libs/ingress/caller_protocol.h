// Protocol between an ingress and its callers, including the local server: how
// requests are read and errors are reported.
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

// The error sent to a caller when there is no answer from a server.
struct CallerError {
  base::ErrorKind kind = base::ErrorKind::kInternal;
  base::Duration retry_after{};  // Zero if a retry would not help.
  std::string request_id;        // As given by the caller; may be empty.
};

template <typename Protocol>
concept CallerProtocol =
    requires(const Protocol& protocol,
             const declarations::Configuration& configuration,
             net::HttpRequest request,
             base::Random& random,
             const CallerError& error) {
  // Returns the checked request, assigned to one of its route's services, or
  // the error to answer with.
  {
    protocol.Read(configuration, request, random)
    } -> std::same_as<base::Result<CallerRequest>>;
  { protocol.RequestId(request) } -> std::same_as<std::string>;
  // Whether callers support retry delays of less than a second, so that a delay
  // adapted to their deadline is useful.
  { protocol.SupportsSubsecondRetryDelay() } -> std::same_as<bool>;
  { protocol.ErrorAnswer(error) } -> std::same_as<net::HttpAnswer>;
};

// Type-erased CallerProtocol.
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
  // Returns the request id given by the caller, or an empty string.
  std::function<std::string(const net::HttpRequest&)> request_id;
  std::function<net::HttpAnswer(const CallerError&)> error_answer;
  bool supports_subsecond_retry_delay = false;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALLER_PROTOCOL_H_
