// An HTTP/1.1 listener on an event loop, with Boost.Beast's parser and
// serializer.
#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/error_kind.h"
#include "base/result.h"
#include "base/time.h"
#include "memory/memory_budget.h"
#include "net/body_policy.h"
#include "net/client_refusal.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "sockets/listening_socket.h"

namespace chestnutport::net {

class HttpConnection;

// Bytes that a connection may take for one request without its body.
inline constexpr size_t kFreeRequestBytes = 4 * 1024;

struct HttpServerLimits {
  size_t largest_headers = 32 * 1024;  // Bytes; larger ones are refused.
  size_t largest_body = 1024 * 1024;   // Bytes; a larger one is refused.
  // Bytes of the large bodies of all requests at hand, and of the small ones.
  // What does not fit is not read, for a time; then it is refused.
  size_t large_bodies = 2 * 1024 * 1024;
  size_t small_bodies = 1024 * 1024;
  // Bytes of the requests at hand without their bodies, beside
  // kFreeRequestBytes for one of each connection. Others wait behind the
  // answers of their connection, or as bodies do.
  size_t heads = 1024 * 1024;
  // Bytes received that are not part of a request yet. Beyond it the connection
  // with most of them is refused.
  size_t input = 2 * 1024 * 1024;
  // Requests that wait for memory; further ones are refused at once.
  size_t waiting_bodies = 64;
  // Bytes of answers that are kept for slow callers. Beyond it, a streamed one
  // may have kMinAnswerBuffer, and connections whose answers are not read are
  // closed.
  size_t answers = 8 * 1024 * 1024;
  // A request with a longer body, of a known length, is handed on before the
  // body is read; see Reply::ReadBody().
  size_t stream_above = std::numeric_limits<size_t>::max();
  // How long a request may wait for memory for its body.
  std::chrono::milliseconds body_wait{1000};
  // Beyond it, a connection that is kept without a request, or that does not
  // send its request or read its answer, is closed for each new one; if there
  // is none, new ones wait to be accepted.
  unsigned int connections = 1024;
  // A connection on which nothing moves, or that is kept without a request,
  // for this long is closed.
  std::chrono::seconds idle{60};
  // A caller that has not sent a whole request by then is cut off.
  std::chrono::seconds to_send_request{30};

  // For a listener that gets few and small requests.
  static HttpServerLimits Small();
  // Bytes that the listener takes at most, without the system's buffers of
  // connections that are read.
  size_t MaxMemory() const;
};

// Bytes of a streamed answer that are kept for a caller at least, and at most.
inline constexpr size_t kMinAnswerBuffer = 16 * 1024;
inline constexpr size_t kMaxAnswerBuffer = 256 * 1024;

// The handler is called on the loop's thread once a request is whole; requests
// of one connection are handed on without waiting for each other. If the caller
// has closed the connection by then, the reply is not open. For the loop's own
// thread; `loop` must outlive the server.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request, Reply reply)>;

  static base::Result<std::unique_ptr<HttpServer>> Open(
      EventLoop& loop,
      const base::SocketAddress& address,
      const HttpServerLimits& limits,
      Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Accepts no new connection, reads no further request, tells callers to
  // close theirs with each last answer, and calls `idle` once every answer is
  // written.
  void Quiesce(std::function<void()> idle);
  bool IsQuiescing() const { return quiescing_; }

  // Whether callers are let in, as they are at first; if not, they wait to be
  // accepted.
  void SetAccepting(bool accepting);

  // For the requests that begin from now on.
  void set_limits(const HttpServerLimits& limits);
  // Without one, requests wait for HttpServerLimits::body_wait, and are refused
  // with the answers of their error kinds.
  void set_body_policy(BodyPolicy policy) { policy_ = std::move(policy); }
  const HttpServerLimits& limits() const { return limits_; }

  // Bytes of bodies at hand and their limit, requests that wait for memory, and
  // requests refused for lack of it so far.
  size_t body_bytes() const {
    return large_bodies_->held() + small_bodies_->held();
  }
  size_t body_limit() const {
    return large_bodies_->limit() + small_bodies_->limit();
  }
  size_t waiting_requests() const { return waits_.size(); }
  uint64_t refused_bodies() const { return refused_bodies_; }

  // Bytes received that are not part of a request yet, and of answers that wait
  // to be written.
  size_t input_bytes() const { return input_bytes_; }
  size_t answer_bytes() const { return answer_bytes_; }
  // Clients refused by `limit` so far.
  uint64_t refused_clients(ClientLimit limit) const {
    const auto found = refused_clients_.find(limit);
    return found == refused_clients_.end() ? 0 : found->second;
  }

  const base::SocketAddress& address() const { return socket_.address(); }
  EventLoop& loop() { return loop_; }

  // The steps below are taken by HttpConnection.

  void Handle(HttpRequest request, Reply reply);
  BodyAdmission AdmitBody(const HttpRequest& head) const;
  HttpAnswer RefuseBody(const HttpRequest& head, const BodyRefusal& refusal);
  HttpAnswer Refuse(const HttpRequest& head, const BodyRefusal& refusal) const;
  void NoteRefusal(const ClientRefusal& refusal);
  // The memory for bodies of up to kLargestSmallBody bytes, or for larger ones.
  memory::MemoryBudget& BudgetFor(size_t bytes) {
    return bytes > kLargestSmallBody ? *large_bodies_ : *small_bodies_;
  }
  // The memory for requests without their bodies.
  memory::MemoryBudget& heads() { return *heads_; }
  // `connection` waits for `bytes`, and is told by
  // HttpConnection::GrantMemory().
  memory::MemoryBudget::TicketId WaitForMemory(
      HttpConnection& connection,
      memory::MemoryBudget& budget,
      memory::MemoryBudget::CallerId caller,
      size_t bytes);
  void CancelWait(memory::MemoryBudget::TicketId ticket);
  // Whether another request may wait for memory.
  bool MayWaitForMemory() const {
    return waits_.size() < limits_.waiting_bodies;
  }
  void AddInputBytes(size_t bytes);
  void RemoveInputBytes(size_t bytes) { input_bytes_ -= bytes; }
  // Looks from now on what the system holds for connections that are not read.
  void CheckUnreadSoon();
  void AddAnswerBytes(size_t bytes);
  void RemoveAnswerBytes(size_t bytes) { answer_bytes_ -= bytes; }
  // Bytes that one more streamed answer may keep for its caller.
  size_t AnswerBufferSize() const;
  void OnExchangeBegun() { ++exchanges_; }
  void OnExchangesEnded(size_t count);
  void OnConnectionClosed(HttpConnection* connection);
  // Looks, at the end of this round, whether all is answered.
  void CheckIdleSoon();

 private:
  HttpServer(EventLoop& loop,
             sockets::ListeningSocket socket,
             const HttpServerLimits& limits,
             Handler handler);
  void AcceptAll();
  void WatchListener();
  // Closes connections if new ones wait to be accepted.
  void MakeRoomSoon();
  void MakeRoom();
  // Whether a connection waits to be accepted.
  bool IsCallerWaiting() const;
  void CheckIdle();
  void SweepSoon();
  void Sweep();
  // Gives up bodies that do not come while other requests wait for memory.
  void CheckStallsSoon();
  void CheckStalls();
  void GrantMemorySoon();
  void GrantMemory(memory::MemoryBudget& budget);
  void CheckUnread();
  void ReclaimOutputSoon();
  // Closes connections until the answers are within their limit.
  void ReclaimOutput();
  // Refuses connections until the input is within its limit.
  void ReclaimInput();

  EventLoop& loop_;
  sockets::ListeningSocket socket_;
  HttpServerLimits limits_;
  Handler handler_;
  bool is_open_ = true;
  bool accepts_ = false;
  EventLoop::TimerId sweep_timer_ = 0;
  EventLoop::TimerId room_timer_ = 0;
  size_t answer_bytes_ = 0;  // Buffered for callers.
  absl::flat_hash_map<HttpConnection*, std::unique_ptr<HttpConnection>>
      connections_;
  // Closed in this round: a function of theirs may still be running.
  std::vector<std::unique_ptr<HttpConnection>> closed_;
  BodyPolicy policy_;
  std::shared_ptr<memory::MemoryBudget> large_bodies_;
  std::shared_ptr<memory::MemoryBudget> small_bodies_;
  std::shared_ptr<memory::MemoryBudget> heads_;
  memory::MemoryBudget::TicketId last_ticket_ = 0;
  absl::flat_hash_map<memory::MemoryBudget::TicketId, HttpConnection*> waits_;
  bool grants_soon_ = false;
  EventLoop::TimerId stall_timer_ = 0;
  uint64_t refused_bodies_ = 0;
  size_t input_bytes_ = 0;
  bool is_reclaiming_ = false;
  EventLoop::TimerId unread_timer_ = 0;
  EventLoop::TimerId output_timer_ = 0;
  absl::flat_hash_map<ClientLimit, uint64_t> refused_clients_;
  size_t exchanges_ = 0;  // Requests that are answered.
  bool quiescing_ = false;
  bool check_idle_soon_ = false;
  std::function<void()> on_idle_;
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_SERVER_H_
