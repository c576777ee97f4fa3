// A stand-in of the users' hosted platform in the test's process: its store and
// servers with configurable responses. Follows the published protocol only.
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

// A server next to a node. Its responses may be changed while it runs.
struct HostedServer {
  std::string service;
  std::string instance;
  std::string load = "0,0,12,100";  // Value of the load header.
  int cold_ms = 0;                  // Cold time in health responses.
  net::HttpHeaders notices;         // Added to responses other than probes'.
  int health_status = 200;
  // Replaces the default answer, if set.
  std::function<net::HttpAnswer(const net::HttpRequest&)> answer;
  // Selects the requests that crash the server, with all other requests that it
  // runs, kCrashDelay after they arrive. If unset, the server never crashes.
  std::function<bool(const net::HttpRequest&)> crashes_on;
  int crash_count = 0;
  base::SocketAddress address;
  std::vector<net::HttpRequest> requests;  // Probes excluded.
  std::unique_ptr<net::HttpServer> listener;
  // Takes over a request to answer it later; called on the platform's thread.
  // Returns whether it took the request. If unset, no request is deferred.
  std::function<bool(const net::HttpRequest&, net::Reply&)> defer_response;
};

class HostedPlatform {
 public:
  HostedPlatform();
  ~HostedPlatform();
  HostedPlatform(const HostedPlatform&) = delete;
  HostedPlatform& operator=(const HostedPlatform&) = delete;

  base::SocketAddress store_address() const { return store_->address(); }
  // Writes an entry as an operator.
  void Put(const std::string& key, const std::string& value);
  // Deletes an entry as an operator.
  void Remove(const std::string& key);
  // Makes the store answer every further call with `status`; zero restores
  // normal operation.
  void set_failure(int status) { failure_ = status; }

  // Returns the value of the entry whose key ends with `key_suffix`, or an
  // empty string if there is none.
  std::string FindValue(const std::string& key_suffix);
  // Returns the targets of all calls to the store so far, in order.
  std::vector<std::string> StoreCalls();

  HostedServer& AddServer(const std::string& service,
                          const std::string& instance);
  // Restarts a crashed server at its address.
  void Restart(HostedServer& server, const std::string& instance);
  // Runs `task` on the thread of the store and the servers and waits until it
  // is done.
  void Run(const std::function<void()>& task);
  // Runs `task` after `delay` on the thread of the store and the servers. Call
  // on that thread.
  void CallAfter(base::Duration delay, std::function<void()> task) {
    loop_.CallAfter(delay, std::move(task));
  }
  // Returns a successful, signed answer.
  static net::HttpAnswer DefaultAnswer(const HostedServer& server,
                                       const net::HttpRequest& request);
  // Returns the number of requests that the server received, without probes.
  size_t RequestCount(HostedServer& server);

 private:
  static constexpr size_t kMaxBodyBytes = 64 * 1024 * 1024;
  // The servers keep their requests.
  static constexpr size_t kMaxHeldBodyBytes = 16 * kMaxBodyBytes;
  // Time between the arrival of a request that crashes its server and the
  // crash.
  static constexpr std::chrono::milliseconds kCrashDelay{20};

  struct Item {
    std::string value;  // In base64, as in the protocol.
    int64_t revision = 0;
    bool is_deleted = false;
    int64_t lease = 0;
  };
  struct Lease {
    base::Duration time_to_live;
    base::Instant expires_at;
  };
  struct Watcher {
    std::string prefix;
    int64_t after = 0;
    net::Reply reply;
  };

  void OnStoreCall(const net::HttpRequest& request, net::Reply reply);
  // Answers calls that grant, renew or end leases. Returns whether it did.
  bool OnLeaseCall(const net::HttpRequest& request, net::Reply& reply);
  // Ends a lease and deletes the entries written with it.
  void EndLease(int64_t lease);
  void ExpireLeases();
  void OnTransaction(const net::HttpRequest& request, net::Reply reply);
  void OnServerRequest(HostedServer& server,
                       net::HttpRequest request,
                       net::Reply reply);
  void Listen(HostedServer& server, const base::SocketAddress& address);
  // Crashes the server after kCrashDelay; `reply` is never sent.
  void ScheduleCrash(HostedServer& server, net::Reply reply);
  // Answers the watches for which there are changes.
  void NotifyWatchers();
  std::string EventsAfter(const std::string& prefix, int64_t after) const;

  net::EventLoop loop_;
  std::unique_ptr<net::HttpServer> store_;
  std::vector<std::string> store_calls_;
  std::map<std::string, Item> items_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 0;
  std::map<int64_t, Lease> leases_;
  std::atomic<int> failure_ = 0;
  std::vector<std::unique_ptr<Watcher>> watchers_;
  std::vector<std::unique_ptr<HostedServer>> servers_;
  std::thread thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_HOSTED_PLATFORM_H_
