// What a node meets outside of itself, each in a form that may vary: callers,
// servers, the store, and the configuration in it.
#ifndef NODE_ADAPTERS_H_
#define NODE_ADAPTERS_H_

#include "evacuation_store/evacuation_format.h"
#include "fleet_configuration/configuration_format.h"
#include "ingress/caller_protocol.h"
#include "server/server_protocol.h"
#include "store/store_protocol.h"

namespace chestnutport::node {

struct Adapters {
  ingress::AnyCallerProtocol callers;
  server::AnyServerProtocol servers;
  store::AnyStoreProtocol store;
  fleet_configuration::AnyConfigurationFormat configuration;
  evacuation_store::AnyEvacuationFormat evacuation;
};

// The product's own forms, for the fleet of that name.
Adapters OwnAdapters(const std::string& fleet);

}  // namespace chestnutport::node

#endif  // NODE_ADAPTERS_H_
