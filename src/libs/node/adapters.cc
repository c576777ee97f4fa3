#include "node/adapters.h"

#include "evacuation_store/own_evacuation_form.h"
#include "ingress/own_caller_protocol.h"
#include "node/native_configuration_format.h"
#include "server/native_server_protocol.h"
#include "store/etcd_form.h"

namespace chestnutport::node {

Adapters NativeAdapters(const std::string& fleet) {
  return {
      .callers = ingress::AnyCallerProtocol::Of(ingress::OwnCallerProtocol()),
      .servers = server::AnyServerProtocol::Of(server::NativeServerProtocol()),
      .store = store::AnyStoreForm::Of(store::EtcdForm()),
      .configuration = fleet_configuration::AnyConfigurationForm::Of(
          NativeConfigurationFormat(fleet)),
      .evacuation = evacuation_store::AnyEvacuationForm::Of(
          evacuation_store::OwnEvacuationForm(fleet))};
}

}  // namespace chestnutport::node
