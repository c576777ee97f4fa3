// The class and the tenant under which a request waits for servers.
#ifndef INGRESS_REQUEST_PRIORITY_H_
#define INGRESS_REQUEST_PRIORITY_H_

#include <optional>

#include "declarations/configuration.h"
#include "ingress/caller_request.h"
#include "traffic/running_request.h"

namespace chestnutport::ingress {

// Sets the class and the tenant of `request`. The urgency of its tenant's
// account takes precedence over that of its route. A nested call without an
// account takes both from `parent`, the request that it is made for, if tenants
// are declared; otherwise only a class that is less urgent than its own.
void SetPriority(const declarations::Configuration& configuration,
                 const std::optional<traffic::RunningRequest>& parent,
                 CallerRequest& request);

}  // namespace chestnutport::ingress

#endif  // INGRESS_REQUEST_PRIORITY_H_
