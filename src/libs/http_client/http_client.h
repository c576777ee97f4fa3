// HTTP/1.1 requests over pooled connections on an event loop, with
// Boost.Beast's parser and serializer.
#ifndef HTTP_CLIENT_HTTP_CLIENT_H_
#define HTTP_CLIENT_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "sockets/tcp_options.h"

namespace chestnutport::http_client {

// How far a request got. Only kNotSent says that the other end cannot have
// seen any of it.
enum class TransferEnd {
  kComplete,  // The whole answer came.
  kNotSent,   // No connection could be opened, or the request is no HTTP.
  kLost,      // The connection failed after the request may have been sent.
  kTimedOut,  // No whole answer within the time given.
};

struct TransferResult {
  TransferEnd end = TransferEnd::kLost;
  // The head, and the body unless it was streamed; status zero: no head came.
  net::HttpAnswer answer{.status = 0, .headers = {}, .body = ""};
  bool is_streamed = false;  // The body was handed on.
  // Of kNotSent: nobody listens at the address.
  bool is_refused = false;
  // An earlier request had used the connection.
  bool on_kept_connection = false;
};

struct HttpClientOptions {
  size_t connections_per_host = 64;  // Kept and at work, to one address.
  std::chrono::milliseconds connect_timeout{500};
  // A kept connection idle for longer is not used again.
  std::chrono::seconds longest_idle{10};
  size_t largest_answer = 8 * 1024 * 1024;      // Bytes of a collected body.
  uint64_t largest_stream = 256 * 1024 * 1024;  // Bytes of one handed on.
  // A header that the other end echoes from the request: an answer in which it
  // differs is another request's, and is skipped. Empty: none.
  std::string answer_tag;
  // The other end answers a request only once it has read all of it. If not, a
  // connection is closed after the rejection of a request with a body: the next
  // request would wait until the other end has read the body.
  bool answers_after_reading = false;
  sockets::TcpOptions tcp;

  // Each request opens a connection, so that none can have gone silent before.
  static HttpClientOptions Fresh();
};

struct HttpTransfer;
class HttpClientConnection;

// For the loop's own thread; `loop` must outlive the client. A request is
// written to at most one connection. Every function may be called from within
// the callbacks.
class HttpClient {
 public:
  using TransferId = uint64_t;
  using Done = std::function<void(TransferResult)>;
  // Called with the head as soon as it is whole. Returns whether the body is to
  // be handed on; if not, it is collected into the answer.
  using OnHead = std::function<bool(const net::HttpAnswer& head)>;
  // Called with each part of the body. Returns false to have the same part
  // again once Continue() is called.
  using OnBody = std::function<bool(std::string_view bytes)>;

  HttpClient(net::EventLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` is called exactly once, never from inside this call, unless the
  // transfer is cancelled first.
  TransferId Send(const base::SocketAddress& to,
                  net::HttpRequest request,
                  base::Duration timeout,
                  Done done);
  // The same, with the body handed on as it comes if `on_head` wants that.
  TransferId Stream(const base::SocketAddress& to,
                    net::HttpRequest request,
                    base::Duration timeout,
                    OnHead on_head,
                    OnBody on_body,
                    Done done);
  // Adds a part to the body of a request that has
  // net::HttpRequest::unread_body. Returns false if no more is to be added
  // before the handler of OnBodyRoom() is called. Parts for a transfer that has
  // ended are dropped.
  bool AppendBody(TransferId transfer, std::string part);
  void OnBodyRoom(TransferId transfer, std::function<void()> handler);
  // Takes up a paused transfer; `on_body` may be called from inside.
  void Continue(TransferId transfer);
  // Closes the transfer's connection; `done` is not called.
  void Cancel(TransferId transfer);

  // Closes the connections to an address that carry no transfer. Call if they
  // may have been lost.
  void CloseIdle(const base::SocketAddress& to);

  // Whether the other end may have seen a part of the request; false for one
  // that waits for a connection, or is not there any more.
  bool IsSent(TransferId transfer) const;

  // Whether the whole request was written; the other end never handles one that
  // was not.
  bool IsSentWhole(TransferId transfer) const;

  // Whether an earlier request had used the transfer's connection; false if it
  // has none.
  bool IsOnKeptConnection(TransferId transfer) const;

  // Those begun and neither done nor cancelled.
  size_t transfers() const { return transfers_.size(); }
  // Connections opened, and answers to other requests skipped, so far.
  uint64_t connections_opened() const { return connections_opened_; }
  uint64_t answers_skipped() const { return answers_skipped_; }

  // The steps below are taken by HttpClientConnection.

  net::EventLoop& loop() { return loop_; }
  const HttpClientOptions& options() const { return options_; }
  void OnConnected(HttpClientConnection& connection);
  // The connection may carry another transfer.
  void OnIdle(HttpClientConnection& connection);
  // The connection is closed, and destroyed at the end of this round.
  void Retire(HttpClientConnection& connection);
  void Finish(HttpTransfer& transfer, TransferEnd end);
  void CountSkipped(bool is_others) { answers_skipped_ += is_others ? 1 : 0; }

 private:
  struct Idle {
    HttpClientConnection* connection = nullptr;
    base::Instant since;
  };
  // Of one address.
  struct Host {
    std::vector<Idle> idle;  // The one used last at the end.
    std::deque<TransferId> waiting;
    size_t connections = 0;
  };

  HttpTransfer* Find(TransferId transfer);
  void FailSoon(TransferId transfer);
  void Assign(HttpTransfer& transfer);
  HttpClientConnection* TakeIdle(Host& host);
  void OpenFor(HttpTransfer& transfer, Host& host);
  void AssignWaiting(const base::SocketAddress& to);
  void SetTimer(HttpTransfer& transfer, base::Instant when);
  void OnTimer(TransferId transfer);
  void DestroySoon();
  void SweepSoon();
  void Sweep();

  net::EventLoop& loop_;
  HttpClientOptions options_;
  TransferId last_transfer_ = 0;
  uint64_t connections_opened_ = 0;
  uint64_t answers_skipped_ = 0;
  absl::flat_hash_map<TransferId, std::unique_ptr<HttpTransfer>> transfers_;
  absl::flat_hash_map<uint64_t, Host> hosts_;  // By address.
  absl::flat_hash_map<HttpClientConnection*,
                      std::unique_ptr<HttpClientConnection>>
      connections_;
  // Ended in this round: a function of theirs may still be running.
  std::vector<std::unique_ptr<HttpTransfer>> ended_transfers_;
  std::vector<std::unique_ptr<HttpClientConnection>> ended_connections_;
  bool destroys_soon_ = false;
  net::EventLoop::TimerId sweep_timer_ = 0;
};

}  // namespace chestnutport::http_client

#endif  // HTTP_CLIENT_HTTP_CLIENT_H_
