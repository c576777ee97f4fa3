// Answers control calls of other nodes, by libjsonrpccpp.
#ifndef RPC_DISPATCHER_H_
#define RPC_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>

namespace chestnutport {
namespace rpc {

class Dispatcher {
 public:
  // Reads parameters and returns the result, both JSON as text. An empty
  // result means that the parameters were wrong.
  using Method = std::function<std::string(const std::string& params)>;

  Dispatcher();
  ~Dispatcher();

  void Add(const std::string& method, Method handler);

  // Takes one JSON-RPC message and returns the message that answers it.
  std::string Handle(const std::string& message);

 private:
  class Connector;
  class Methods;

  std::unique_ptr<Connector> connector_;
  std::unique_ptr<Methods> methods_;
};

}  // namespace rpc
}  // namespace chestnutport

#endif  // RPC_DISPATCHER_H_
