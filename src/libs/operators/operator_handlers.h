// Request handlers of the operators' API. `operator_name` is the name of the
// authenticated operator.
#ifndef OPERATORS_OPERATOR_HANDLERS_H_
#define OPERATORS_OPERATOR_HANDLERS_H_

#include <optional>
#include <string>

#include "declarations/configuration.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "operators/managed_node.h"

namespace chestnutport::operators {

// POST /v1/plan {"services": {name: text}}
void HandlePlan(const ManagedNode& node,
                const net::HttpRequest& request,
                net::Reply reply);

// POST /v1/confirm {"plan": id, "services": {name: text}}
void HandleConfirm(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& operator_name,
                   net::Reply reply);

// GET /v1/ready: 200 if this node has a configuration and is not stopping, so
// that callers may send requests to it; otherwise 503.
void HandleReady(const ManagedNode& node, net::Reply reply);

// GET /v1/status: this node and the members known to it.
void HandleStatus(const ManagedNode& node, net::Reply reply);

// GET /v1/revisions: queries every member that is not gone for the
// revision that it holds.
void HandleRevisions(const ManagedNode& node, net::Reply reply);

// GET /v1/history: the confirmations, newest first.
void HandleHistory(const ManagedNode& node, net::Reply reply);

// POST /v1/drain and /v1/undrain {"node": name or id}. Applies to this node if
// the body or the field is missing.
void HandleDrain(const ManagedNode& node,
                 const net::HttpRequest& request,
                 bool draining,
                 net::Reply reply);

// GET /v1/evacuations: the evacuated data centres.
void HandleEvacuations(const ManagedNode& node, net::Reply reply);

// POST /v1/evacuate {"data_centre": name, "evacuated": bool, "plan": id}.
// Without "plan", returns a plan and changes nothing.
void HandleEvacuate(const ManagedNode& node,
                    const net::HttpRequest& request,
                    const std::string& operator_name,
                    net::Reply reply);

// GET /v1/quarantine: the requests that are suspected or quarantined, and the
// server crashes that are the evidence against them.
void HandleQuarantine(const ManagedNode& node, net::Reply reply);

// POST /v1/release {"fingerprint": text}: ends the suspicion or quarantine of
// the request on all nodes.
void HandleRelease(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& operator_name,
                   net::Reply reply);

// GET /v1/tenants: the tenants, how their limits are divided, and what the
// ingress of this node admitted and refused. Asks the allocator if this node is
// not it.
void HandleTenants(const ManagedNode& node, net::Reply reply);

// Reads "services" from the body and checks the declarations strictly. If the
// body is malformed or a declaration is invalid, sends an error to `reply` and
// returns nothing.
std::optional<declarations::DeclarationTexts> ReadDeclarations(
    const net::HttpRequest& request,
    net::Reply& reply);

}  // namespace chestnutport::operators

#endif  // OPERATORS_OPERATOR_HANDLERS_H_
