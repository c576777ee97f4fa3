#include "node/adapters.h"

#include "evacuation_store/own_evacuation_form.h"
#include "ingress/native_caller_protocol.h"
#include "node/own_configuration_form.h"
#include "server/own_server_protocol.h"
#include "store/etcd_form.h"

namespace chestnutport::node {

Adapters OwnAdapters(const std::string& fleet) {
  return {.callers =
              ingress::AnyCallerProtocol::Of(ingress::NativeCallerProtocol()),
          .servers = server::AnyServerProtocol::Of(server::OwnServerProtocol()),
          .store = store::AnyStoreForm::Of(store::EtcdForm()),
          .configuration = fleet_configuration::AnyConfigurationForm::Of(
              OwnConfigurationForm(fleet)),
          .evacuation = evacuation_store::AnyEvacuationForm::Of(
              evacuation_store::OwnEvacuationForm(fleet))};
}

}  // namespace chestnutport::node
