#include "support/hosted_platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kConditionFailed = 412;

base::SocketAddress EphemeralAddress() {
  return base::SocketAddress::Parse("127.0.0.1:0").value();
}

// Returns the value of a query parameter without unescaping it.
std::string QueryParameter(const std::string& target, const std::string& name) {
  const std::string mark = name + "=";
  const size_t start = target.find(mark);
  if (start == std::string::npos)
    return "";
  const size_t from = start + mark.size();
  return target.substr(from, target.find('&', from) - from);
}

net::HttpAnswer Json(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump()};
}

net::HttpHeaders InstanceHeaders(const HostedServer& server) {
  return {{"Instance-Id", server.instance}, {"Instance-Load", server.load}};
}

}  // namespace

HostedPlatform::HostedPlatform()
    : store_(net::HttpServer::Open(
                 loop_,
                 EphemeralAddress(),
                 {},
                 [this](const net::HttpRequest& request, net::Reply reply) {
                   OnStoreCall(request, std::move(reply));
                 })
                 .value()),
      thread_([this] { loop_.Run(); }) {}

HostedPlatform::~HostedPlatform() {
  loop_.Stop();
  thread_.join();
  watchers_.clear();
}

void HostedPlatform::Run(const std::function<void()>& task) {
  std::atomic<bool> done = false;
  loop_.Post([&] {
    task();
    done = true;
  });
  WaitUntil([&] { return done.load(); });
}

void HostedPlatform::Put(const std::string& key, const std::string& value) {
  Run([&] {
    items_[key] = {absl::Base64Escape(value), ++revision_};
    NotifyWatchers();
  });
}

void HostedPlatform::Remove(const std::string& key) {
  Run([&] {
    items_[key] = {"", ++revision_, true};
    NotifyWatchers();
  });
}

HostedServer& HostedPlatform::AddServer(const std::string& service,
                                        const std::string& instance) {
  auto created = std::make_unique<HostedServer>();
  HostedServer* server = created.get();
  server->service = service;
  server->instance = instance;
  Run([&] {
    Listen(*server, EphemeralAddress());
    server->address = server->listener->address();
    servers_.push_back(std::move(created));
  });
  return *server;
}

void HostedPlatform::Restart(HostedServer& server,
                             const std::string& instance) {
  Run([&] {
    server.instance = instance;
    Listen(server, server.address);
  });
}

void HostedPlatform::Listen(HostedServer& server,
                            const base::SocketAddress& address) {
  server.listener =
      net::HttpServer::Open(
          loop_, address,
          {.largest_body = kMaxBodyBytes,
           .large_bodies = kMaxHeldBodyBytes,
           .small_bodies = kMaxHeldBodyBytes,
           .answers = kMaxHeldBodyBytes},
          [this, &server](net::HttpRequest request, net::Reply reply) {
            OnServerRequest(server, std::move(request), std::move(reply));
          })
          .value();
}

void HostedPlatform::ScheduleCrash(HostedServer& server, net::Reply reply) {
  const auto held = std::make_shared<net::Reply>(std::move(reply));
  loop_.CallAfter(kCrashDelay, [&server, held] {
    if (!server.listener)
      return;
    server.listener.reset();
    ++server.crash_count;
  });
}

size_t HostedPlatform::RequestCount(HostedServer& server) {
  size_t count = 0;
  Run([&] { count = server.requests.size(); });
  return count;
}

std::string HostedPlatform::FindValue(const std::string& key_suffix) {
  std::string value;
  Run([&] {
    for (const auto& [key, item] : items_) {
      if (key.ends_with(key_suffix))
        absl::Base64Unescape(item.value, &value);
    }
  });
  return value;
}

std::vector<std::string> HostedPlatform::StoreCalls() {
  std::vector<std::string> calls;
  Run([&] { calls = store_calls_; });
  return calls;
}

void HostedPlatform::OnServerRequest(HostedServer& server,
                                     net::HttpRequest request,
                                     net::Reply reply) {
  if (request.target == "/healthz") {
    net::HttpHeaders headers = InstanceHeaders(server);
    if (server.cold_ms > 0)
      headers.push_back({"Cold-Start-Ms", std::to_string(server.cold_ms)});
    reply.Send({.status = server.health_status,
                .headers = std::move(headers),
                .body = ""});
    return;
  }
  server.requests.push_back(request);
  if (server.crashes_on && server.crashes_on(request)) {
    ScheduleCrash(server, std::move(reply));
    return;
  }
  if (server.defer_response && server.defer_response(request, reply))
    return;
  reply.Send(server.answer ? server.answer(request)
                           : DefaultAnswer(server, request));
}

net::HttpAnswer HostedPlatform::DefaultAnswer(const HostedServer& server,
                                              const net::HttpRequest& request) {
  net::HttpAnswer answer{
      .status = 200, .headers = InstanceHeaders(server), .body = "whole"};
  answer.headers.push_back({"Request-Id", std::string(net::FindHeader(
                                              request.headers, "Request-Id"))});
  answer.headers.push_back({"Response-Signature", "proof"});
  answer.headers.insert(answer.headers.end(), server.notices.begin(),
                        server.notices.end());
  return answer;
}

void HostedPlatform::OnStoreCall(const net::HttpRequest& request,
                                 net::Reply reply) {
  store_calls_.push_back(request.target);
  ExpireLeases();
  if (const int status = failure_) {
    reply.Send({.status = status});
    return;
  }
  const std::string& target = request.target;
  if (OnLeaseCall(request, reply))
    return;
  if (target.starts_with("/chestnutport/kv-key?")) {
    const auto found = items_.find(QueryParameter(target, "key"));
    if (found == items_.end() || found->second.is_deleted) {
      reply.Send(Json(kNotFound, {{"asOf", revision_}}));
      return;
    }
    reply.Send(Json(200, {{"key", found->first},
                          {"value", found->second.value},
                          {"revision", found->second.revision},
                          {"lease", found->second.lease},
                          {"asOf", revision_}}));
  } else if (target.starts_with("/chestnutport/kv-range?")) {
    json items = json::array();
    for (const json& item :
         json::parse(EventsAfter(QueryParameter(target, "prefix"), 0))) {
      if (!item.contains("deleted"))
        items.push_back(item);
    }
    reply.Send(
        Json(200, {{"items", items}, {"hasMore", false}, {"asOf", revision_}}));
  } else if (target.starts_with("/chestnutport/kv-watch?")) {
    auto watcher = std::make_unique<Watcher>();
    watcher->prefix = QueryParameter(target, "prefix");
    watcher->after = std::stoll(QueryParameter(target, "after"));
    watcher->reply = std::move(reply);
    watchers_.push_back(std::move(watcher));
    NotifyWatchers();
  } else if (target == "/chestnutport/kv-txn") {
    OnTransaction(request, std::move(reply));
  } else {
    reply.Send({.status = kNotFound});
  }
}

bool HostedPlatform::OnLeaseCall(const net::HttpRequest& request,
                                 net::Reply& reply) {
  const std::string& target = request.target;
  if (target == "/chestnutport/kv-lease") {
    const std::string ttl = json::parse(request.body.ToString())["ttl_time"];
    const base::Duration time_to_live =
        std::chrono::milliseconds(std::stoll(ttl));
    leases_[++last_lease_] = {time_to_live, loop_.now() + time_to_live};
    reply.Send(Json(200, {{"lease", last_lease_}, {"ttl_time", ttl}}));
    return true;
  }
  const bool is_renewal = target.starts_with("/chestnutport/kv-keep/");
  const bool is_end = request.method == "DELETE" &&
                      target.starts_with("/chestnutport/kv-lease-end/");
  if (!is_renewal && !is_end)
    return false;
  const auto found =
      leases_.find(std::stoll(target.substr(target.rfind('/') + 1)));
  if (found == leases_.end()) {
    reply.Send(Json(kNotFound, json::object()));
    return true;
  }
  if (is_end)
    EndLease(found->first);
  else
    found->second.expires_at = loop_.now() + found->second.time_to_live;
  reply.Send(Json(200, json::object()));
  return true;
}

void HostedPlatform::EndLease(int64_t lease) {
  leases_.erase(lease);
  for (auto& [key, item] : items_) {
    if (!item.is_deleted && item.lease == lease)
      item = {"", ++revision_, true};
  }
  NotifyWatchers();
}

void HostedPlatform::ExpireLeases() {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at < loop_.now())
      expired.push_back(id);
  }
  for (const int64_t id : expired)
    EndLease(id);
}

void HostedPlatform::OnTransaction(const net::HttpRequest& request,
                                   net::Reply reply) {
  const json body = json::parse(request.body.ToString());
  for (const json& row : body["expected"]) {
    const auto found = items_.find(row["key"].get<std::string>());
    const bool is_missing = found == items_.end() || found->second.is_deleted;
    const int64_t revision = is_missing ? 0 : found->second.revision;
    if (revision != row["revision"].get<int64_t>()) {
      reply.Send(Json(kConditionFailed, {{"items", json::array()}}));
      return;
    }
  }
  ++revision_;
  for (const json& put : body["puts"]) {
    items_[put["key"].get<std::string>()] = {put["value"].get<std::string>(),
                                             revision_, false,
                                             put.value("lease", int64_t{0})};
  }
  reply.Send(Json(200, {{"revision", revision_}}));
  NotifyWatchers();
}

std::string HostedPlatform::EventsAfter(const std::string& prefix,
                                        int64_t after) const {
  json events = json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || item.revision <= after)
      continue;
    if (item.is_deleted) {
      events.push_back(
          {{"key", key}, {"revision", item.revision}, {"deleted", true}});
    } else {
      events.push_back({{"key", key},
                        {"value", item.value},
                        {"revision", item.revision},
                        {"lease", item.lease}});
    }
  }
  return events.dump();
}

void HostedPlatform::NotifyWatchers() {
  std::erase_if(watchers_, [this](const std::unique_ptr<Watcher>& watcher) {
    if (!watcher->reply.IsOpen())
      return true;
    const json events =
        json::parse(EventsAfter(watcher->prefix, watcher->after));
    if (events.empty())
      return false;
    watcher->reply.Send(Json(200, {{"events", events}, {"asOf", revision_}}));
    return true;
  });
}

}  // namespace chestnutport::test
