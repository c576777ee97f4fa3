#include "node/adapters.h"

#include "evacuation_store/native_evacuation_format.h"
#include "ingress/native_caller_protocol.h"
#include "node/native_configuration_format.h"
#include "server/native_server_protocol.h"
#include "store/etcd_protocol.h"

namespace chestnutport::node {

Adapters NativeAdapters(const std::string& fleet) {
  return {
      .callers =
          ingress::AnyCallerProtocol::Of(ingress::NativeCallerProtocol()),
      .servers = server::AnyServerProtocol::Of(server::NativeServerProtocol()),
      .store = store::AnyStoreProtocol::Of(store::EtcdProtocol()),
      .configuration = fleet_configuration::AnyConfigurationFormat::Of(
          NativeConfigurationFormat(fleet)),
      .evacuation = evacuation_store::AnyEvacuationFormat::Of(
          evacuation_store::NativeEvacuationFormat(fleet))};
}

}  // namespace chestnutport::node
