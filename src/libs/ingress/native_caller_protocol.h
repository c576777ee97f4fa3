// Protocol of callers that use chestnutport's own headers.
#ifndef INGRESS_NATIVE_CALLER_PROTOCOL_H_
#define INGRESS_NATIVE_CALLER_PROTOCOL_H_

#include "ingress/caller_protocol.h"

namespace chestnutport::ingress {

class NativeCallerProtocol {
 public:
  base::Result<CallerRequest> Read(
      const declarations::Configuration& configuration,
      net::HttpRequest request,
      base::Random& random) const;
  std::string RequestId(const net::HttpRequest& request) const;
  bool SupportsSubsecondRetryDelay() const { return false; }
  net::HttpAnswer ErrorAnswer(const CallerError& error) const;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_NATIVE_CALLER_PROTOCOL_H_
