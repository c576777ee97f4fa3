#include "support/hosted_node.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/fleet_name.h"
#include "support/raw_socket.h"

namespace chestnutport::test {
namespace {

constexpr int kOk = 200;
constexpr char kToken[] = "operator-token-0123456789";

std::string Settings(const std::string& name,
                     const base::SocketAddress& store,
                     const std::string& server_address,
                     const std::string& data_centre) {
  return absl::StrCat(
      "[node]\nname = ", name, "\ndata_centre = ", data_centre,
      "\nregion = south\nfleet = ", FleetName(),
      "\n"
      "adapter = hosted\nservice = dossie\nfirst_contacts =\n"
      "server_address = ",
      server_address,
      "\n"
      "stop_grace = 6s\nleave_notice = 200ms\n[listen]\n"
      "caller = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n"
      "server = 127.0.0.1:0\ncontrol = 127.0.0.1:0\ngossip = 127.0.0.1:0\n"
      "[store]\naddresses = ",
      store.ToString(),
      "\nlongest_wait = 300ms\n[retries]\nshare = 0.2\nburst = 64\n"
      "[keys]\npeer = 0123456789abcdef0123\n[operators]\nalice = ",
      kToken, "\n");
}

net::HttpAnswer ReadAnswer(RawSocket& socket) {
  const std::string text = socket.ReadMessage();
  net::HttpAnswer answer{.status = 0};
  if (text.size() > 12)
    answer.status = std::stoi(text.substr(9, 3));
  answer.body = text.substr(text.find("\r\n\r\n") + 4);
  const size_t wait = text.find("Retry-After: ");
  if (wait != std::string::npos)
    answer.headers.push_back({"Retry-After", text.substr(wait + 13, 5)});
  return answer;
}

net::HttpAnswer SendRequest(const base::SocketAddress& to,
                            const std::string& method,
                            const std::string& path,
                            const std::string& body = "") {
  RawSocket socket(to);
  socket.Send(absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: x\r\n",
                           "Authorization: Bearer ", kToken, "\r\n",
                           "Content-Length: ", body.size(), "\r\n\r\n", body));
  return ReadAnswer(socket);
}

}  // namespace

HostedNode::HostedNode(const std::string& name,
                       const base::SocketAddress& store,
                       const std::filesystem::path& folder,
                       const std::string& server_address,
                       const std::string& data_centre,
                       const std::string& more_settings)
    : path_(folder / (name + ".ini")),
      settings_(Settings(name, store, server_address, data_centre) +
                more_settings) {
  Start();
}

void HostedNode::Restart() {
  const std::string peer = ListenAddress("peer").ToString();
  Kill();
  const std::string any = "peer = 127.0.0.1:0";
  if (const size_t at = settings_.find(any); at != std::string::npos)
    settings_.replace(at, any.size(), "peer = " + peer);
  Start();
}

void HostedNode::RestartBehind(const base::SocketAddress& peer_address) {
  Kill();
  const std::string any = "peer = 127.0.0.1:0\n";
  settings_.replace(
      settings_.find(any), any.size(),
      absl::StrCat(any, "peer_advertised = ", peer_address.ToString(), "\n"));
  Start();
}

void HostedNode::KeepAddresses() {
  for (const std::string name :
       {"caller", "peer", "operator", "server", "control", "gossip"}) {
    const std::string any = name + " = 127.0.0.1:0";
    const size_t at = settings_.find(any);
    if (at != std::string::npos)
      settings_.replace(at, any.size(),
                        name + " = " + ListenAddress(name).ToString());
  }
}

void HostedNode::Kill() {
  process_->Signal(SIGKILL);
  process_->WaitForExit(std::chrono::seconds(10));
}

void HostedNode::Start() {
  std::ofstream(path_) << settings_;
  process_ = std::make_unique<Process>(
      "chestnutportd",
      std::vector<std::string>{"--settings=" + path_.string()});
  caller_address_ = ListenAddress("caller");
  operator_address_ = ListenAddress("operator");
  server_api_address_ = ListenAddress("server");
}

bool HostedNode::IsReady() const {
  return SendRequest(operator_address_, "GET", "/v1/ready").status == kOk;
}

void HostedNode::Announce(HostedServer& server,
                          const std::string& state,
                          int sequence,
                          int born) {
  const std::string body =
      absl::StrCat(R"({"service":")", server.service, R"(","address":")",
                   server.address.ToString(),
                   R"(","zone":"z","version":"v1","slots":12,"state":")", state,
                   R"(","cold_for":"0ms","sequence":)", sequence,
                   born > 0 ? absl::StrCat(R"(,"born":)", born) : "", "}");
  const auto answer = SendRequest(server_api_address_, "POST",
                                  "/v1/server/" + server.instance, body);
  if (answer.status != kOk)
    throw std::runtime_error("announcement refused: " + answer.body);
}

void HostedNode::Deregister(const HostedServer& server) {
  if (!TryDeregister(server))
    throw std::runtime_error("deregistration refused");
}

bool HostedNode::TryDeregister(const HostedServer& server) {
  const auto answer = SendRequest(server_api_address_, "DELETE",
                                  "/v1/server/" + server.instance);
  return answer.status == kOk;
}

net::HttpAnswer HostedNode::Call(const std::string& path,
                                 const std::string& id) const {
  RawSocket socket(caller_address_);
  socket.Send(absl::StrCat("GET ", path,
                           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ", id,
                           "\r\nDeadline-Ms: 1500\r\n\r\n"));
  return ReadAnswer(socket);
}

net::HttpAnswer HostedNode::Operate(const std::string& method,
                                    const std::string& path,
                                    const std::string& body) const {
  return SendRequest(operator_address_, method, path, body);
}

base::SocketAddress HostedNode::ListenAddress(const std::string& name) {
  return *base::SocketAddress::Parse(process_->WaitForField(name));
}

}  // namespace chestnutport::test
