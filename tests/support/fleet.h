// A small fleet of real processes: the store stand-in, nodes and servers.
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
  std::filesystem::path ledger;  // Of all its successive servers.
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> server;
  base::SocketAddress caller_address;
  base::SocketAddress operator_address;
  base::SocketAddress announcement_address;  // For server announcements.
  base::SocketAddress server_address;        // Bypasses server_relay.
  std::unique_ptr<Relay> peer_relay;  // Between other nodes and the node.
  // Between the server and the announcement_address of its node, which changes
  // when the node is restarted.
  std::unique_ptr<Relay> announce_relay;
  std::unique_ptr<Relay> server_relay;  // Between the node and its server.
};

class Fleet {
 public:
  // `leave_notice` is the setting of this name on each node.
  explicit Fleet(
      std::chrono::milliseconds leave_notice = std::chrono::milliseconds(1500));
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts a node and, unless `service` is empty, a server on the same VM, both
  // behind relays.
  Vm& AddVm(const std::string& name,
            const std::string& data_centre,
            const std::string& service,
            const std::vector<std::string>& server_flags = {});

  // Restarts the VM's node or server. A running one is killed first.
  void StartNode(Vm& vm);
  void StartServer(Vm& vm);
  // Performs a planned replacement of a VM: drains it, waits until all other
  // nodes see the drain, stops the node and then the server gracefully, and
  // starts both again. Returns whether each step succeeded.
  bool Replace(Vm& vm, const std::vector<Load*>& loads);

  // Plans and confirms declarations through `vm`. Returns the confirmed
  // revision, or zero if it was refused.
  uint64_t Confirm(const Vm& vm,
                   const std::map<std::string, std::string>& declarations);

  // Sends a request to the operators' API of the VM's node.
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

  // Waits until the node of `vm` lists exactly `servers` serving servers and
  // has `revision` or a later one.
  bool WaitReady(const Vm& vm, size_t servers, uint64_t revision) const;

  // Same, for every node in turn.
  bool WaitAllReady(size_t servers, uint64_t revision) const;
  // Returns whether no other node lists the server of `vm` as serving.
  bool IsLeavingEverywhere(const Vm& vm) const;
  // Same, as seen by one node. False if the node does not answer.
  bool IsLeavingAt(const Vm& observer, const Vm& vm) const;
  // Returns whether the VM's node lists its local server.
  bool IsServerRegistered(const Vm& vm) const;

  // Returns how often each request id was started, over all servers.
  std::map<std::string, int> Executions() const;
  ExecutionLedger Ledger() const;
  // Sends a command to the server stand-in. Returns its counters.
  nlohmann::json CommandServer(const Vm& vm, const std::string& command) const;

  // Returns the caller addresses of all nodes but that of `except`.
  std::vector<base::SocketAddress> CallerAddresses(
      const Vm* except = nullptr) const;

  // Waits until the store stand-in has received `count` more calls.
  bool WaitForStoreCalls(int count) const;
  // Sends the store stand-in a command, such as {"mode": "down"}. Returns its
  // state.
  nlohmann::json CommandStore(const std::string& command) const;

  const std::vector<std::unique_ptr<Vm>>& vms() const { return vms_; }
  Process& store() { return *store_; }
  Relay& store_relay() { return *store_relay_; }  // Between nodes and store.
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
