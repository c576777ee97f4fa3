#include "rpc/dispatcher.h"

#include <json/json.h>
#include <jsonrpccpp/server.h>

#include <map>

namespace chestnutport {
namespace rpc {
namespace {

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

// Stands where the library's own listener would: messages are handed in.
class Dispatcher::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* to) override {
    *static_cast<std::string*>(to) = response;
    return true;
  }
};

class Dispatcher::Methods : public jsonrpc::AbstractServer<Methods> {
 public:
  explicit Methods(Connector& connector)
      : jsonrpc::AbstractServer<Methods>(connector,
                                         jsonrpc::JSONRPC_SERVER_V2) {}

  void Add(const std::string& method, Method handler) {
    handlers_[method] = std::move(handler);
    jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, NULL);
    bindAndAddMethod(procedure, &Methods::Unused);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const std::string text =
        handlers_[procedure.GetProcedureName()](Write(input));
    if (!Json::Reader().parse(text, output)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      "wrong parameters");
    }
  }

 private:
  void Unused(const Json::Value&, Json::Value&) {}

  std::map<std::string, Method> handlers_;
};

Dispatcher::Dispatcher()
    : connector_(new Connector), methods_(new Methods(*connector_)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::Add(const std::string& method, Method handler) {
  methods_->Add(method, std::move(handler));
}

std::string Dispatcher::Handle(const std::string& message) {
  std::string answer;
  connector_->OnRequest(message, &answer);
  return answer;
}

}  // namespace rpc
}  // namespace chestnutport
