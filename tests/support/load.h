// A closed-loop load generator: many concurrent callers on one thread, each of
// which waits for its answer before it sends the next request.
#ifndef SUPPORT_LOAD_H_
#define SUPPORT_LOAD_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"

namespace chestnutport::test {

// The result of one request as seen by its caller.
struct CallRecord {
  std::string id;
  bool repeatable = false;
  http_client::TransferEnd end = http_client::TransferEnd::kLost;
  int status = 0;
  std::string outcome;  // From the Chestnutport-Outcome header.
  std::string error;
  bool is_own_whole_answer = false;
  base::SocketAddress node;  // That it was sent to.
  base::Instant sent_at;
  base::Instant ended_at;
  // The process of the server that answered, if it stated that it is leaving.
  std::string leaving_server;
};

struct LoadOptions {
  std::string prefix = "r";  // Prefix of the request ids.
  std::string path = "/dossie/";
  int callers = 32;
  std::chrono::milliseconds work{5};   // Processing time of a request.
  std::chrono::milliseconds pause{5};  // Between two requests of a caller.
  int repeatable_share = 50;           // Percent of the requests.
  int answer_bytes = 2000;
  std::chrono::seconds timeout{20};  // Longer than any declared deadline.
  uint64_t seed = 1;
};

class Load {
 public:
  // Starts at once. `nodes` are the nodes' caller addresses. Each request goes
  // to a random one, and is sent again to a random one if it was not sent.
  Load(LoadOptions options, std::vector<base::SocketAddress> nodes);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Sends later requests to these nodes. Requests in flight are not affected.
  void SetNodes(std::vector<base::SocketAddress> nodes);
  // Waits until `count` more requests have completed. Returns false on timeout.
  bool WaitForMore(size_t count);
  // Same, then also waits for all requests that are pending at that time.
  // Requests blocked by a fault complete at their deadline.
  bool WaitForMoreAndPending(size_t count);
  // Waits for the requests in flight, stops, and returns all results.
  std::vector<CallRecord> Stop();

 private:
  void SendNext();
  void Send(uint64_t number, bool repeatable, size_t tries);
  void OnDone(uint64_t number,
              CallRecord record,
              size_t tries,
              const http_client::TransferResult& result);
  std::string RequestId(uint64_t number) const;
  // Must be called after each change of pending_.
  void UpdateOldestPending();
  bool IsOwnWholeAnswer(const std::string& id, const std::string& body) const;

  const LoadOptions options_;
  std::vector<base::SocketAddress> nodes_;
  base::Random random_;
  net::EventLoop loop_;
  http_client::HttpClient client_;
  std::vector<CallRecord> records_;
  uint64_t last_id_ = 0;
  std::set<uint64_t> pending_;  // Numbers of the requests in flight.
  std::atomic<uint64_t> oldest_pending_{0};
  int active_callers_ = 0;
  bool stopping_ = false;
  std::atomic<size_t> completed_{0};
  std::thread thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_LOAD_H_
