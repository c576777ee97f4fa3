// The protocols and formats by which a node communicates with callers, servers
// and the store. Each is an interface with several implementations.
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

// Returns the native protocols and formats, used if the setting `adapter` is
// `own`.
Adapters NativeAdapters(const std::string& fleet);

}  // namespace chestnutport::node

#endif  // NODE_ADAPTERS_H_
