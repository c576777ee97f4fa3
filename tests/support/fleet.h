// A small fleet of real processes: the store stand-in, nodes, and servers.
#ifndef SUPPORT_FLEET_H_
#define SUPPORT_FLEET_H_

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/socket_address.h"
#include "net/http_message.h"
#include "support/execution_ledger.h"
#include "support/load.h"
#include "support/process.h"
#include "support/relay.h"

namespace chestnutport::test {

inline constexpr char kOperatorToken[] = "operator-token-0123456789";

// One VM: a node and the server beside it.
struct Vm {
  std::string name;
  std::string service;
  std::vector<std::string> server_flags;
  std::filesystem::path settings;
  std::filesystem::path ledger;  // Of its servers, one after the other.
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> server;
  base::SocketAddress caller_address;
  base::SocketAddress operator_address;
  base::SocketAddress announcement_address;  // Where the server announces.
  base::SocketAddress server_address;        // The server itself.
  std::unique_ptr<Relay> peer_relay;  // Between other nodes and the node.
  // Before the node's side to its server, which announces itself there: a node
  // that is started anew listens at another port.
  std::unique_ptr<Relay> announce_relay;
  std::unique_ptr<Relay> server_relay;  // Between the node and its server.
};

class Fleet {
 public:
  // `leave_notice`: of each node.
  explicit Fleet(
      std::chrono::milliseconds leave_notice = std::chrono::milliseconds(1500));
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts a node and, unless `service` is empty, a server beside it. Relays
  // lie before both.
  Vm& AddVm(const std::string& name,
            const std::string& data_centre,
            const std::string& service,
            const std::vector<std::string>& server_flags = {});

  // Starts the VM's node or server anew; what still runs is killed first.
  void StartNode(Vm& vm);
  void StartServer(Vm& vm);
  // A planned replacement of a VM: drains it, waits until all the others know,
  // stops the node and then the server once they have no work left, and starts
  // both anew. Whether each step came to its end.
  bool Replace(Vm& vm, const std::vector<Load*>& loads);

  // Plans and confirms declarations through `vm`; the confirmed revision, or
  // zero if it was refused.
  uint64_t Confirm(const Vm& vm,
                   const std::map<std::string, std::string>& declarations);

  // The operators' API of one node.
  net::HttpAnswer Operate(const Vm& vm,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body) const;

  // Sends a caller's request for `path` with an X-Request-Id.
  net::HttpAnswer Call(const Vm& vm,
                       const std::string& method,
                       const std::string& path,
                       const std::string& request_id,
                       net::HttpHeaders headers = {}) const;

  // Waits until `vm` knows `servers` serving servers and `revision`.
  bool WaitReady(const Vm& vm, size_t servers, uint64_t revision) const;

  // Waits until every node knows `servers` serving servers and `revision`.
  bool WaitAllReady(size_t servers, uint64_t revision) const;
  // Whether every other node that runs knows that `vm` takes no new work.
  bool IsLeavingEverywhere(const Vm& vm) const;
  // The same as seen by one of them.
  bool IsLeavingAt(const Vm& observer, const Vm& vm) const;
  // Whether the VM's node has heard of the server beside it.
  bool IsServerRegistered(const Vm& vm) const;

  // How often each request id was started, by any server at any time.
  std::map<std::string, int> Executions() const;
  ExecutionLedger Ledger() const;
  // The counts of a server stand-in, and a command to it.
  nlohmann::json CommandServer(const Vm& vm, const std::string& command) const;

  // Where callers reach the nodes, without that of `except`.
  std::vector<base::SocketAddress> CallerAddresses(
      const Vm* except = nullptr) const;

  // Waits until the store stand-in has had `count` more calls.
  bool WaitForStoreCalls(int count) const;
  // Gives the store stand-in a command, such as {"mode": "down"}.
  nlohmann::json CommandStore(const std::string& command) const;

  const std::vector<std::unique_ptr<Vm>>& vms() const { return vms_; }
  Process& store() { return *store_; }
  Relay& store_relay() { return *store_relay_; }  // Before the store.
  const std::filesystem::path& folder() const { return folder_; }
  const base::SocketAddress& store_address() const { return store_address_; }

  nlohmann::json Status(const Vm& vm) const;

 private:
  std::chrono::milliseconds leave_notice_;
  std::filesystem::path folder_;
  std::unique_ptr<Process> store_;
  base::SocketAddress store_address_;
  std::unique_ptr<Relay> store_relay_;
  std::vector<std::unique_ptr<Vm>> vms_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_FLEET_H_
