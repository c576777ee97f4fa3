// The protocols and formats by which a node communicates with callers, servers
// and the store. Each is an interface with several implementations.
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

// Returns the native protocols and formats, used if the setting `adapter` is
// `own`.
Adapters NativeAdapters(const std::string& fleet);

}  // namespace chestnutport::node

#endif  // NODE_ADAPTERS_H_
