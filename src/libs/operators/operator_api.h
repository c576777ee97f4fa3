// The operators' API, as HTTP and JSON: who may call, and which call it is.
#ifndef OPERATORS_OPERATOR_API_H_
#define OPERATORS_OPERATOR_API_H_

#include <string>

#include "net/http_message.h"
#include "net/reply.h"
#include "operators/managed_node.h"
#include "settings/node_settings.h"

namespace chestnutport::operators {

class OperatorApi {
 public:
  // Both must outlive the API.
  OperatorApi(ManagedNode node, const settings::NodeSettings& settings);

  void OnRequest(const net::HttpRequest& request, net::Reply reply);

 private:
  // The name of the operator whose token is shown; empty: nobody's.
  std::string Authenticate(const net::HttpRequest& request) const;

  const ManagedNode node_;
  const settings::NodeSettings& settings_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_OPERATOR_API_H_
