// A test double of the platform's key-value store: an in-memory subset of the
// etcd v3 JSON protocol. POST /standin switches faults with
// {"mode": "up" | "down" | "lose-answers", "delay_ms": N}, and saves or
// restores a snapshot with {"copy": "save" | "restore"}.
#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "client_limits/listener_limits.h"
#include "net/event_loop.h"
#include "net/http_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");

namespace {

using chestnutport::base::Instant;
using nlohmann::json;
namespace net = chestnutport::net;

struct Entry {
  std::string value;
  int64_t revision = 0;
  int64_t lease = 0;
};

struct Lease {
  std::chrono::seconds time_to_live;
  Instant expires_at;
};

int64_t Number(const json& object, const char* name) {
  const auto found = object.find(name);
  int64_t number = 0;
  if (found == object.end())
    return 0;
  if (found->is_string())
    return absl::SimpleAtoi(found->get<std::string>(), &number) ? number : 0;
  return found->get<int64_t>();
}

std::string DecodedText(const json& object, const char* name) {
  std::string plain;
  absl::Base64Unescape(object.value(name, ""), &plain);
  return plain;
}

class StoreStandin {
 public:
  explicit StoreStandin(net::EventLoop& loop) : loop_(loop) {}

  void OnRequest(const net::HttpRequest& request, net::Reply reply) {
    const json body = json::parse(request.body.ToString(), nullptr, false);
    if (request.target == "/standin") {
      OnCommand(body, std::move(reply));
      return;
    }
    ++calls_;
    if (mode_ == "down")
      return;  // Destroying the reply closes the connection.
    const json answer = Serve(request.target, body);
    if (mode_ == "lose-answers" && request.target == "/v3/kv/txn")
      return;
    auto pending_reply = std::make_shared<net::Reply>(std::move(reply));
    const auto send = [pending_reply, answer] {
      pending_reply->Send({.status = answer.is_null() ? 404 : 200,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = answer.dump()});
    };
    if (delay_.count() > 0)
      loop_.CallAfter(delay_, send);
    else
      send();
  }

 private:
  void OnCommand(const json& body, net::Reply reply) {
    if (body.is_object()) {
      mode_ = body.value("mode", mode_);
      delay_ = std::chrono::milliseconds(
          body.value("delay_ms", static_cast<int64_t>(delay_.count())));
      // As when operators of the platform restore a backup: the revision
      // counter goes back as well.
      const std::string snapshot_command = body.value("copy", "");
      if (snapshot_command == "save")
        snapshot_ = {entries_, revision_};
      else if (snapshot_command == "restore")
        std::tie(entries_, revision_) = snapshot_;
    }
    const json state = {{"mode", mode_}, {"calls", calls_}};
    reply.Send({.body = state.dump()});
  }

  json Serve(const std::string& target, const json& body) {
    ExpireLeases();
    if (target == "/v3/kv/range")
      return Range(body);
    if (target == "/v3/kv/txn")
      return Transact(body);
    if (target == "/v3/lease/grant")
      return Grant(body);
    if (target == "/v3/lease/keepalive")
      return KeepAlive(body);
    if (target == "/v3/lease/revoke")
      return Revoke(body);
    return nullptr;
  }

  json Range(const json& body) const {
    const std::string from = DecodedText(body, "key");
    const std::string to = DecodedText(body, "range_end");
    json kvs = json::array();
    for (const auto& [key, entry] : entries_) {
      const bool inside = to.empty() ? key == from : key >= from && key < to;
      if (inside) {
        kvs.push_back({{"key", absl::Base64Escape(key)},
                       {"value", absl::Base64Escape(entry.value)},
                       {"mod_revision", absl::StrCat(entry.revision)},
                       {"lease", absl::StrCat(entry.lease)}});
      }
    }
    return {{"header", {{"revision", absl::StrCat(revision_)}}},
            {"kvs", kvs},
            {"count", absl::StrCat(kvs.size())}};
  }

  json Transact(const json& body) {
    bool is_satisfied = true;
    for (const json& compare : body.value("compare", json::array())) {
      const auto found = entries_.find(DecodedText(compare, "key"));
      const int64_t now = found == entries_.end() ? 0 : found->second.revision;
      is_satisfied = is_satisfied && now == Number(compare, "mod_revision");
    }
    if (is_satisfied) {
      for (const json& operation : body.value("success", json::array()))
        Put(operation.at("request_put"));
    }
    return {{"header", {{"revision", absl::StrCat(revision_)}}},
            {"succeeded", is_satisfied}};
  }

  void Put(const json& put) {
    entries_[DecodedText(put, "key")] = {DecodedText(put, "value"), ++revision_,
                                         Number(put, "lease")};
  }

  json Grant(const json& body) {
    const int64_t id = ++last_lease_;
    const std::chrono::seconds ttl(Number(body, "TTL"));
    leases_[id] = {ttl, loop_.now() + ttl};
    return {{"ID", absl::StrCat(id)}, {"TTL", absl::StrCat(ttl.count())}};
  }

  json KeepAlive(const json& body) {
    const int64_t id = Number(body, "ID");
    const auto found = leases_.find(id);
    int64_t ttl = 0;
    if (found != leases_.end()) {
      ttl = found->second.time_to_live.count();
      found->second.expires_at = loop_.now() + found->second.time_to_live;
    }
    return {{"result", {{"ID", absl::StrCat(id)}, {"TTL", absl::StrCat(ttl)}}}};
  }

  // Returns null, which is sent with status 404, if there is no such lease.
  json Revoke(const json& body) {
    if (leases_.erase(Number(body, "ID")) == 0)
      return nullptr;
    ExpireLeases();
    return {{"header", {{"revision", absl::StrCat(revision_)}}}};
  }

  void ExpireLeases() {
    std::erase_if(leases_, [this](const auto& item) {
      return item.second.expires_at < loop_.now();
    });
    std::erase_if(entries_, [this](const auto& item) {
      return item.second.lease != 0 && !leases_.contains(item.second.lease);
    });
  }

  net::EventLoop& loop_;
  std::map<std::string, Entry> entries_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 0;
  std::pair<std::map<std::string, Entry>, int64_t> snapshot_;
  int64_t last_lease_ = 0;
  uint64_t calls_ = 0;
  std::string mode_ = "up";
  std::chrono::milliseconds delay_{0};
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  net::EventLoop loop;
  StoreStandin store(loop);
  const auto address =
      chestnutport::base::SocketAddress::Parse(absl::GetFlag(FLAGS_listen));
  auto server = net::HttpServer::Open(
      loop, address.value(), chestnutport::client_limits::ListenerLimits{},
      [&store](const net::HttpRequest& request, net::Reply reply) {
        store.OnRequest(request, std::move(reply));
      });
  if (!server)
    return 1;
  std::cout << "listening=" << server.value()->address().ToString()
            << std::endl;
  loop.Run();
  return 0;
}
