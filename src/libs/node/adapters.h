// What a node meets outside of itself, each in a form that may vary: callers,
// servers, the store, and the configuration in it.
#ifndef NODE_ADAPTERS_H_
#define NODE_ADAPTERS_H_

#include "evacuation_store/evacuation_form.h"
#include "fleet_configuration/configuration_form.h"
#include "ingress/caller_protocol.h"
#include "server/server_protocol.h"
#include "store/store_form.h"

namespace chestnutport::node {

struct Adapters {
  ingress::AnyCallerProtocol callers;
  server::AnyServerProtocol servers;
  store::AnyStoreForm store;
  fleet_configuration::AnyConfigurationForm configuration;
  evacuation_store::AnyEvacuationForm evacuation;
};

// The product's own forms, for the fleet of that name.
Adapters OwnAdapters(const std::string& fleet);

}  // namespace chestnutport::node

#endif  // NODE_ADAPTERS_H_
