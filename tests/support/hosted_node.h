// A node process on the stand-in of the hosted platform.
#ifndef SUPPORT_HOSTED_NODE_H_
#define SUPPORT_HOSTED_NODE_H_

#include <filesystem>
#include <memory>
#include <string>

#include "base/socket_address.h"
#include "net/http_message.h"
#include "support/hosted_platform.h"
#include "support/process.h"

namespace chestnutport::test {

class HostedNode {
 public:
  // Starts the node. `folder` receives its settings file; `server_address` is
  // the address at which it looks for its local server. `more_settings` holds
  // whole sections in addition to the usual ones.
  HostedNode(const std::string& name,
             const base::SocketAddress& store,
             const std::filesystem::path& folder,
             const std::string& server_address = "127.0.0.1:0",
             const std::string& data_centre = "one",
             const std::string& more_settings = "");

  Process& process() { return *process_; }
  // Kills the node and starts it again. It serves other nodes at the same
  // address as before.
  void Restart();

  // Kills the node and starts it again. Other nodes send it their requests to
  // `peer_address`.
  void RestartBehind(const base::SocketAddress& peer_address);

  // Makes all addresses stay the same when the node is started again, as on a
  // VM whose settings have fixed ports.
  void KeepAddresses();
  void Kill();
  // Starts the node after Kill().
  void Start();

  bool IsReady() const;
  // Sends an announcement of the local server; `state` is ready or draining.
  // `born` is its start time; zero: not sent.
  void Announce(HostedServer& server,
                const std::string& state,
                int sequence,
                int born = 0);
  // Deregisters the local server.
  void Deregister(const HostedServer& server);
  // The same; returns whether the node acknowledged it.
  bool TryDeregister(const HostedServer& server);
  // Sends a caller's GET request for `path` with the request id `id`.
  net::HttpAnswer Call(const std::string& path, const std::string& id) const;
  // The address of the callers' listener.
  const base::SocketAddress& caller_address() const { return caller_address_; }
  // The address of the listener with this name in the settings.
  base::SocketAddress ListenAddress(const std::string& name);
  // Sends a request to the operators' API.
  net::HttpAnswer Operate(const std::string& method,
                          const std::string& path,
                          const std::string& body = "") const;

 private:
  std::filesystem::path path_;
  std::string settings_;
  std::unique_ptr<Process> process_;
  base::SocketAddress caller_address_;
  base::SocketAddress operator_address_;
  base::SocketAddress server_api_address_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_HOSTED_NODE_H_
