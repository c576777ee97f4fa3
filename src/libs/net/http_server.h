// An HTTP/1.1 listener on an event loop, with Boost.Beast's parser and
// serializer.
#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "sockets/listening_socket.h"

namespace chestnutport::net {

class HttpConnection;

struct HttpServerLimits {
  size_t largest_headers = 32 * 1024;  // Bytes; larger ones are refused.
  size_t largest_body = 1024 * 1024;   // Bytes; a larger one is refused.
  // Bytes of the bodies of all requests at hand; what does not fit is refused.
  size_t all_bodies = 64 * 1024 * 1024;
  unsigned int connections = 1024;  // More wait to be accepted.
  // A connection on which nothing moves, or that is kept without a request,
  // for this long is closed.
  std::chrono::seconds idle{60};
  // A caller that has not sent a whole request by then is cut off.
  std::chrono::seconds to_send_request{30};
};

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
  void set_limits(const HttpServerLimits& limits) { limits_ = limits; }
  const HttpServerLimits& limits() const { return limits_; }

  const base::SocketAddress& address() const { return socket_.address(); }
  EventLoop& loop() { return loop_; }

  // The steps below are taken by HttpConnection.

  void Handle(HttpRequest request, Reply reply);
  // Takes `size` bytes from the budget of bodies; false if it is used up.
  bool ChargeBody(size_t size);
  void ReleaseBody(size_t size) { bodies_ -= size; }
  void OnExchangeBegun() { ++exchanges_; }
  void OnExchangeEnded(size_t body_size);
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
  void CheckIdle();
  void SweepSoon();
  void Sweep();

  EventLoop& loop_;
  sockets::ListeningSocket socket_;
  HttpServerLimits limits_;
  Handler handler_;
  bool is_open_ = true;
  bool accepts_ = false;
  EventLoop::TimerId sweep_timer_ = 0;
  absl::flat_hash_map<HttpConnection*, std::unique_ptr<HttpConnection>>
      connections_;
  // Closed in this round: a function of theirs may still be running.
  std::vector<std::unique_ptr<HttpConnection>> closed_;
  size_t bodies_ = 0;     // Bytes taken from the budget.
  size_t exchanges_ = 0;  // Requests that are answered.
  bool quiescing_ = false;
  bool check_idle_soon_ = false;
  std::function<void()> on_idle_;
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_SERVER_H_
