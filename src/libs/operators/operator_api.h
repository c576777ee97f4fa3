// The operators' API over HTTP and JSON: authenticates requests and routes them
// to their handlers.
#ifndef OPERATORS_OPERATOR_API_H_
#define OPERATORS_OPERATOR_API_H_

#include <string>

#include "net/body_policy.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "operators/managed_node.h"
#include "settings/node_settings.h"

namespace chestnutport::operators {

class OperatorApi {
 public:
  // The objects that `node` refers to, and `settings`, must outlive this
  // object.
  OperatorApi(ManagedNode node, const settings::NodeSettings& settings);

  void OnRequest(const net::HttpRequest& request, net::Reply reply);
  // Rejects a large body whose sender is not an operator.
  net::BodyAdmission AdmitBody(const net::HttpRequest& head) const;

 private:
  // Returns the name of the operator whose token the request carries, or an
  // empty string if no token matches.
  std::string Authenticate(const net::HttpRequest& request) const;

  const ManagedNode node_;
  const settings::NodeSettings& settings_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_OPERATOR_API_H_
