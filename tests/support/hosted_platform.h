// A small stand-in of the users' hosted platform, in the test's own process:
// its store, and servers that answer as a test wants. Met by the published form
// only.
#ifndef SUPPORT_HOSTED_PLATFORM_H_
#define SUPPORT_HOSTED_PLATFORM_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace chestnutport::test {

// A server beside a node. What it answers may be changed while it runs.
struct HostedServer {
  std::string service;
  std::string instance;
  std::string load = "0,0,12,100";  // As its load header says.
  int cold_ms = 0;                  // As its health answers say.
  // Replaces the usual answer, if set.
  std::function<net::HttpAnswer(const net::HttpRequest&)> answer;
  // The server ends when it has run such a request for a moment, with all that
  // it runs; unset: it never does.
  std::function<bool(const net::HttpRequest&)> crashes_on;
  int crash_count = 0;  // So far.
  base::SocketAddress address;
  std::vector<net::HttpRequest> requests;  // Without probes.
  std::unique_ptr<net::HttpServer> listener;
  // Takes a request that is answered later, on the platform's thread; returns
  // whether it did. Unset: it takes none.
  std::function<bool(const net::HttpRequest&, net::Reply&)> defer_response;
};

class HostedPlatform {
 public:
  HostedPlatform();
  ~HostedPlatform();
  HostedPlatform(const HostedPlatform&) = delete;
  HostedPlatform& operator=(const HostedPlatform&) = delete;

  base::SocketAddress store_address() const { return store_->address(); }
  // Writes as the operator does.
  void Put(const std::string& key, const std::string& value);
  // Deletes as the operator does.
  void Remove(const std::string& key);
  // From now on every call to the store is answered with this status; zero: as
  // usual.
  void set_failure(int status) { failure_ = status; }

  // The value of the entry whose key ends so; empty: there is none.
  std::string FindValue(const std::string& key_suffix);
  // The targets of the calls to the store so far, in order.
  std::vector<std::string> StoreCalls();

  HostedServer& AddServer(const std::string& service,
                          const std::string& instance);
  // Starts a server anew that has ended, at its address.
  void Restart(HostedServer& server, const std::string& instance);
  // Runs `task` on the thread of the store and the servers, and waits for it.
  void Run(const std::function<void()>& task);
  // What a server answers as a rule.
  static net::HttpAnswer DefaultAnswer(const HostedServer& server,
                                       const net::HttpRequest& request);
  // The requests that a server got so far.
  size_t RequestCount(HostedServer& server);

 private:
  // How long a server runs a request that ends it.
  static constexpr std::chrono::milliseconds kCrashDelay{20};

  struct Item {
    std::string value;  // In base64, as it travels.
    int64_t revision = 0;
    bool is_deleted = false;
  };
  struct Watcher {
    std::string prefix;
    int64_t after = 0;
    net::Reply reply;
  };

  void OnStoreCall(const net::HttpRequest& request, net::Reply reply);
  void OnTransaction(const net::HttpRequest& request, net::Reply reply);
  void OnServerRequest(HostedServer& server,
                       net::HttpRequest request,
                       net::Reply reply);
  void Listen(HostedServer& server, const base::SocketAddress& address);
  // Ends the server a moment from now; `reply` is never given.
  void ScheduleCrash(HostedServer& server, net::Reply reply);
  // Answers the watches that have news.
  void NotifyWatchers();
  std::string EventsAfter(const std::string& prefix, int64_t after) const;

  net::EventLoop loop_;
  std::unique_ptr<net::HttpServer> store_;
  std::vector<std::string> store_calls_;
  std::map<std::string, Item> items_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 0;
  std::atomic<int> failure_ = 0;
  std::vector<std::unique_ptr<Watcher>> watchers_;
  std::vector<std::unique_ptr<HostedServer>> servers_;
  std::thread thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_HOSTED_PLATFORM_H_
