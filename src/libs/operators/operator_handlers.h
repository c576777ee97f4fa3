// The calls of the operators' API, one source file each.
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

// POST /v1/confirm {"plan": id, "services": {name: text}}. `who` is the
// operator's name.
void HandleConfirm(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& who,
                   net::Reply reply);

// GET /v1/ready: 200 while callers should be directed to this node: it has a
// configuration and is not being stopped; else 503.
void HandleReady(const ManagedNode& node, net::Reply reply);

// GET /v1/status: this node, and the members that it knows.
void HandleStatus(const ManagedNode& node, net::Reply reply);

// GET /v1/revisions: which node holds which revision; each is asked.
void HandleRevisions(const ManagedNode& node, net::Reply reply);

// GET /v1/history: the confirmations, the newest first.
void HandleHistory(const ManagedNode& node, net::Reply reply);

// POST /v1/drain and /v1/undrain {"node": name or id}; without a body: this
// node.
void HandleDrain(const ManagedNode& node,
                 const net::HttpRequest& request,
                 bool draining,
                 net::Reply reply);

// GET /v1/evacuations: the data centres that are evacuated.
void HandleEvacuations(const ManagedNode& node, net::Reply reply);

// POST /v1/evacuate {"data_centre": name, "evacuated": bool, "plan": id}.
// Without a plan: shows one, and changes nothing. `who` is the operator's name.
void HandleEvacuate(const ManagedNode& node,
                    const net::HttpRequest& request,
                    const std::string& who,
                    net::Reply reply);

// GET /v1/quarantine: the requests that are suspected or in quarantine, and the
// ends of servers that speak against them.
void HandleQuarantine(const ManagedNode& node, net::Reply reply);

// POST /v1/release {"fingerprint": text}: on all nodes the request runs like
// any other again. `who` is the operator's name.
void HandleRelease(const ManagedNode& node,
                   const net::HttpRequest& request,
                   const std::string& who,
                   net::Reply reply);

// Reads "services" of a body and checks the declarations strictly. If they are
// malformed or wrong, `reply` is answered and nothing is returned.
std::optional<declarations::DeclarationTexts> ReadDeclarations(
    const net::HttpRequest& request,
    net::Reply& reply);

}  // namespace chestnutport::operators

#endif  // OPERATORS_OPERATOR_HANDLERS_H_
