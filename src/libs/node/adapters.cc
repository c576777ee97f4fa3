#include "node/adapters.h"

#include "evacuation_store/own_evacuation_form.h"
#include "node/own_caller_protocol.h"
#include "node/own_configuration_form.h"
#include "node/own_server_protocol.h"
#include "store/etcd_form.h"

namespace chestnutport::node {

Adapters OwnAdapters(const std::string& fleet) {
  return {.callers = AnyCallerProtocol::Of(OwnCallerProtocol()),
          .servers = AnyServerProtocol::Of(OwnServerProtocol()),
          .store = store::AnyStoreForm::Of(store::EtcdForm()),
          .configuration = fleet_configuration::AnyConfigurationForm::Of(
              OwnConfigurationForm(fleet)),
          .evacuation = evacuation_store::AnyEvacuationForm::Of(
              evacuation_store::OwnEvacuationForm(fleet))};
}

}  // namespace chestnutport::node
