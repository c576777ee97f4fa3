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
#include "client_limits/client_refusal.h"
#include "client_limits/listener_limits.h"
#include "memory/memory_budget.h"
#include "net/body_policy.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "sockets/listening_socket.h"

namespace chestnutport::net {

class HttpConnection;

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
      const client_limits::ListenerLimits& limits,
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
  void set_limits(const client_limits::ListenerLimits& limits);
  // Without one, requests wait for client_limits::ListenerLimits::body_wait,
  // and are refused with the answers of their error kinds.
  void set_body_policy(BodyPolicy policy) { policy_ = std::move(policy); }
  const client_limits::ListenerLimits& limits() const { return limits_; }

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
  uint64_t refused_clients(client_limits::ClientLimit limit) const {
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
  void NoteRefusal(const client_limits::ClientRefusal& refusal);
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
    return waits_.size() < limits_.waiting_requests;
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
             const client_limits::ListenerLimits& limits,
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
  client_limits::ListenerLimits limits_;
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
  absl::flat_hash_map<client_limits::ClientLimit, uint64_t> refused_clients_;
  size_t exchanges_ = 0;  // Requests that are answered.
  bool quiescing_ = false;
  bool check_idle_soon_ = false;
  std::function<void()> on_idle_;
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_SERVER_H_
