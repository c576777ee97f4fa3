#include "support/fleet.h"

#include <stdlib.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "support/fleet_name.h"
#include "support/http_caller.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr std::chrono::seconds kStopLimit(40);

bool IsServing(const json& member) {
  return member.contains("service") && !member.value("draining", false);
}

std::filesystem::path MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "chestnutport-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("mkdtemp");
  return pattern;
}

base::SocketAddress Address(Process& process, const std::string& field) {
  const std::string text = process.WaitForField(field);
  const auto address = base::SocketAddress::Parse(text);
  if (!address)
    throw std::runtime_error("no " + field + " in: " + process.Output());
  return *address;
}

std::string SettingsText(const std::string& name,
                         const std::string& data_centre,
                         const std::string& store,
                         const std::string& peer,
                         std::chrono::milliseconds leave_notice) {
  std::string text = "[node]\nname = " + name +
                     "\ndata_centre = " + data_centre +
                     "\nregion = south\nfleet = " + FleetName() +
                     "\nstop_grace = 20s\nleave_notice = " +
                     std::to_string(leave_notice.count()) + "ms\n[listen]\n";
  for (const char* listener :
       {"caller", "peer", "control", "operator", "server", "gossip"}) {
    text += std::string(listener) + " = 127.0.0.1:0\n";
  }
  text += "peer_advertised = " + peer + "\n[store]\naddresses = " + store +
          "\n[keys]\npeer = 0123456789abcdef0123456789abcdef\n[operators]\n"
          "alice = " +
          kOperatorToken + "\n";
  return text;
}

}  // namespace

Fleet::Fleet(std::chrono::milliseconds leave_notice)
    : leave_notice_(leave_notice),
      folder_(MakeFolder()),
      store_(std::make_unique<Process>("store_standin",
                                       std::vector<std::string>{})),
      store_address_(Address(*store_, "listening")),
      store_relay_(std::make_unique<Relay>(store_address_)) {}

Fleet::~Fleet() {
  vms_.clear();
  store_.reset();
  std::filesystem::remove_all(folder_);
}

Vm& Fleet::AddVm(const std::string& name,
                 const std::string& data_centre,
                 const std::string& service,
                 const std::vector<std::string>& server_flags) {
  auto vm = std::make_unique<Vm>();
  vm->name = name;
  vm->service = service;
  vm->server_flags = server_flags;
  vm->settings = folder_ / (name + ".ini");
  vm->ledger = folder_ / (name + ".ledger");
  vm->peer_relay = std::make_unique<Relay>(base::SocketAddress{});
  vm->server_relay = std::make_unique<Relay>(base::SocketAddress{});
  vm->announce_relay = std::make_unique<Relay>(base::SocketAddress{});
  std::ofstream(vm->settings)
      << SettingsText(name, data_centre, store_relay_->address().ToString(),
                      vm->peer_relay->address().ToString(), leave_notice_);
  StartNode(*vm);
  StartServer(*vm);
  vms_.push_back(std::move(vm));
  return *vms_.back();
}

void Fleet::StartNode(Vm& vm) {
  vm.node.reset();
  vm.node = std::make_unique<Process>(
      "chestnutportd",
      std::vector<std::string>{"--settings=" + vm.settings.string()});
  vm.caller_address = Address(*vm.node, "caller");
  vm.operator_address = Address(*vm.node, "operator");
  vm.announcement_address = Address(*vm.node, "server");
  vm.announce_relay->SetTarget(vm.announcement_address);
  vm.peer_relay->SetTarget(Address(*vm.node, "peer"));
}

void Fleet::StartServer(Vm& vm) {
  vm.server.reset();
  if (vm.service.empty())
    return;
  std::vector<std::string> flags = {
      "--node=" + vm.announce_relay->address().ToString(),
      "--service=" + vm.service,
      "--announce_as=" + vm.server_relay->address().ToString(),
      "--name=" + vm.name, "--ledger=" + vm.ledger.string()};
  flags.insert(flags.end(), vm.server_flags.begin(), vm.server_flags.end());
  vm.server = std::make_unique<Process>("server_standin", flags);
  vm.server_address = Address(*vm.server, "listening");
  vm.server_relay->SetTarget(vm.server_address);
}

bool Fleet::Replace(Vm& vm, const std::vector<Load*>& loads) {
  for (Load* load : loads)
    load->SetNodes(CallerAddresses(&vm));
  if (Operate(vm, "POST", "/v1/drain", "").status != kOk)
    return false;
  if (!WaitUntil([&] { return IsLeavingEverywhere(vm); }))
    return false;
  vm.node->Signal(SIGTERM);
  if (vm.node->WaitForExit(kStopLimit) != 0)
    return false;
  if (vm.server) {
    vm.server->Signal(SIGTERM);
    if (vm.server->WaitForExit(kStopLimit) != 0)
      return false;
  }
  StartNode(vm);
  StartServer(vm);
  for (Load* load : loads)
    load->SetNodes(CallerAddresses());
  return true;
}

uint64_t Fleet::Confirm(const Vm& vm,
                        const std::map<std::string, std::string>& texts) {
  const json wanted = {{"services", texts}};
  const auto planned = Operate(vm, "POST", "/v1/plan", wanted.dump());
  json plan = json::parse(planned.body, nullptr, false);
  if (planned.status != 200)
    return 0;
  plan["services"] = texts;
  const auto confirmed = Operate(vm, "POST", "/v1/confirm", plan.dump());
  if (confirmed.status != 200)
    return 0;
  return json::parse(confirmed.body).value("revision", uint64_t{0});
}

net::HttpAnswer Fleet::Operate(const Vm& vm,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body) const {
  const std::string token = kOperatorToken;
  return SendAndWait(vm.operator_address,
                     {.method = method,
                      .target = target,
                      .headers = {{"Authorization", "Bearer " + token}},
                      .body = body})
      .answer;
}

net::HttpAnswer Fleet::Call(const Vm& vm,
                            const std::string& method,
                            const std::string& path,
                            const std::string& request_id,
                            net::HttpHeaders headers) const {
  headers.push_back({"X-Request-Id", request_id});
  return SendAndWait(
             vm.caller_address,
             {.method = method, .target = path, .headers = std::move(headers)})
      .answer;
}

bool Fleet::WaitReady(const Vm& vm, size_t servers, uint64_t revision) const {
  return WaitUntil([&] {
    const json status = Status(vm);
    if (!status.is_object() || status.value("revision", 0U) < revision)
      return false;
    size_t serving = 0;
    for (const json& member : status["members"])
      serving += IsServing(member);
    return serving == servers;
  });
}

bool Fleet::WaitAllReady(size_t servers, uint64_t revision) const {
  return std::ranges::all_of(
      vms_, [&](const auto& vm) { return WaitReady(*vm, servers, revision); });
}

bool Fleet::IsLeavingEverywhere(const Vm& vm) const {
  return std::ranges::all_of(vms_, [&](const auto& other) {
    return other.get() == &vm || IsLeavingAt(*other, vm);
  });
}

bool Fleet::IsServerRegistered(const Vm& vm) const {
  const json status = Status(vm);
  return status.is_object() &&
         std::ranges::any_of(status["members"], [&](const json& member) {
           return member.value("name", "") == vm.name &&
                  member.contains("service");
         });
}

bool Fleet::IsLeavingAt(const Vm& observer, const Vm& vm) const {
  const json status = Status(observer);
  if (!status.is_object())
    return false;
  return std::ranges::none_of(status["members"], [&](const json& member) {
    return member.value("name", "") == vm.name && IsServing(member);
  });
}

std::map<std::string, int> Fleet::Executions() const {
  std::map<std::string, int> all;
  for (const auto& [id, executions] : Ledger())
    all[id] = executions.started;
  return all;
}

ExecutionLedger Fleet::Ledger() const {
  return ReadLedger(folder_);
}

json Fleet::CommandServer(const Vm& vm, const std::string& command) const {
  const auto result =
      SendAndWait(vm.server_address,
                  {.method = "POST", .target = "/standin", .body = command});
  return json::parse(result.answer.body, nullptr, false);
}

std::vector<base::SocketAddress> Fleet::CallerAddresses(
    const Vm* except) const {
  std::vector<base::SocketAddress> addresses;
  for (const auto& vm : vms_) {
    if (vm.get() != except)
      addresses.push_back(vm->caller_address);
  }
  return addresses;
}

bool Fleet::WaitForStoreCalls(int count) const {
  const auto calls = [this] { return CommandStore("{}").value("calls", 0); };
  const int before = calls();
  return WaitUntil([&] { return calls() >= before + count; });
}

json Fleet::CommandStore(const std::string& command) const {
  const auto result =
      SendAndWait(store_address_,
                  {.method = "POST", .target = "/standin", .body = command});
  return json::parse(result.answer.body, nullptr, false);
}

json Fleet::Status(const Vm& vm) const {
  const auto answer = Operate(vm, "GET", "/v1/status", "");
  return json::parse(answer.body, nullptr, false);
}

}  // namespace chestnutport::test
