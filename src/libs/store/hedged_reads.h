// Sends reads to the store, and a second copy of one that gets no response in
// time. The first response counts.
#ifndef STORE_HEDGED_READS_H_
#define STORE_HEDGED_READS_H_

#include <array>
#include <cstdint>
#include <functional>

#include "absl/container/flat_hash_map.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "http_client/http_client.h"

namespace chestnutport::store {

// After this time a read is sent once more, on a new connection: the first one
// may have been lost without notice. A slow store responds earlier as a rule.
inline constexpr std::chrono::milliseconds kReadHedgeDelay(300);

class HedgedReads {
 public:
  // Receives the result, and how many copies got no response.
  using Handler =
      std::function<void(http_client::TransferResult result, int unanswered)>;

  // `http` must outlive this object.
  explicit HedgedReads(http_client::HttpClient& http) : http_(http) {}
  ~HedgedReads();
  HedgedReads(const HedgedReads&) = delete;
  HedgedReads& operator=(const HedgedReads&) = delete;

  // Sends the request to `to` and, if needed, to `second`. `handler` is called
  // exactly once, `timeout` after this call at the latest.
  void Send(const base::SocketAddress& to,
            const base::SocketAddress& second,
            net::HttpRequest request,
            base::Duration timeout,
            Handler handler);

 private:
  using TransferId = http_client::HttpClient::TransferId;
  static constexpr TransferId kNone = 0;

  struct Read {
    std::array<base::SocketAddress, 2> addresses;
    net::HttpRequest request;
    base::Instant deadline;
    Handler handler;
    std::array<TransferId, 2> transfers{};  // kNone if not under way.
    net::EventLoop::TimerId timer = 0;
    int unanswered = 0;
  };

  void SendCopy(uint64_t id, size_t copy);
  void OnResult(uint64_t id, size_t copy, http_client::TransferResult result);

  http_client::HttpClient& http_;
  uint64_t last_id_ = 0;
  absl::flat_hash_map<uint64_t, Read> reads_;
};

}  // namespace chestnutport::store

#endif  // STORE_HEDGED_READS_H_
