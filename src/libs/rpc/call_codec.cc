#include "rpc/call_codec.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace chestnutport {
namespace rpc {
namespace {

// Takes the request that libjsonrpccpp wrote, or gives it the answer to read:
// the library's own connectors block, ours are two halves of one exchange.
class HalfConnector : public jsonrpc::IClientConnector {
 public:
  explicit HalfConnector(const std::string& answer) : answer_(answer) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    request_ = message;
    result = answer_;
  }

  const std::string& request() const { return request_; }

 private:
  std::string answer_;
  std::string request_;
};

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

std::string EncodeCall(const std::string& method, const std::string& params) {
  Json::Value value;
  Json::Reader().parse(params, value);
  HalfConnector connector("");
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    client.CallMethod(method, value);
  } catch (const jsonrpc::JsonRpcException&) {
    // There is no answer yet; the request has been written.
  }
  return connector.request();
}

bool DecodeAnswer(const std::string& method,
                  const std::string& message,
                  std::string* result,
                  std::string* error) {
  HalfConnector connector(message);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    *result = Write(client.CallMethod(method, Json::Value()));
    return true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    *error = exception.what();
    return false;
  }
}

}  // namespace rpc
}  // namespace chestnutport
