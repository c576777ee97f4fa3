// Many callers at once, on one thread, each waiting for its answer before it
// asks again.
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
#include "net/event_loop.h"
#include "net/http_client.h"

namespace chestnutport::test {

// The end of one request as its caller saw it.
struct CallRecord {
  std::string id;
  bool repeatable = false;
  net::TransferEnd end = net::TransferEnd::kLost;
  int status = 0;
  std::string outcome;  // As the answer's header says.
  std::string error;
  bool is_own_whole_answer = false;
};

struct LoadOptions {
  std::string prefix = "r";  // Of the request ids.
  std::string path = "/dossie/";
  int callers = 32;
  std::chrono::milliseconds work{5};   // A server's time for a request.
  std::chrono::milliseconds pause{5};  // Of a caller between two requests.
  int repeatable_share = 50;           // Percent of the requests.
  int answer_bytes = 2000;
  std::chrono::seconds timeout{20};  // Longer than any deadline declared.
  uint64_t seed = 1;
};

class Load {
 public:
  // Starts at once; each request goes to one of `nodes`, the callers'
  // addresses of nodes, and to the next one if no connection can be opened.
  Load(LoadOptions options, std::vector<base::SocketAddress> nodes);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // From now on callers turn to these nodes; what is in flight goes on.
  void SetNodes(std::vector<base::SocketAddress> nodes);
  // Waits until `count` more requests have come to their end.
  bool WaitForMore(size_t count);
  // The same, and then for the end of all that are under way by then: those
  // that a fault holds up end at their deadline.
  bool WaitForMoreAndPending(size_t count);
  // Waits for all that is in flight, and ends.
  std::vector<CallRecord> Stop();

 private:
  void SendNext();
  void Send(uint64_t number, bool repeatable, size_t tries);
  void OnDone(uint64_t number,
              bool repeatable,
              size_t tries,
              const net::TransferResult& result);
  std::string RequestId(uint64_t number) const;
  // After each change of what is under way.
  void UpdateOldestPending();
  bool IsOwnWholeAnswer(const std::string& id, const std::string& body) const;

  const LoadOptions options_;
  std::vector<base::SocketAddress> nodes_;
  base::Random random_;
  net::EventLoop loop_;
  net::HttpClient client_;
  std::vector<CallRecord> records_;
  uint64_t last_id_ = 0;
  std::set<uint64_t> pending_;  // Requests under way.
  std::atomic<uint64_t> oldest_pending_{0};
  int active_callers_ = 0;
  bool stopping_ = false;
  std::atomic<size_t> completed_{0};
  std::thread thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_LOAD_H_
