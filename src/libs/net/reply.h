// The one way to answer a request that an HttpServer received.
#ifndef NET_REPLY_H_
#define NET_REPLY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace chestnutport::net {

class HttpExchange;

// Movable, not copyable. Either Send() once, or Start(), any number of Write()
// and then Finish() or Abort(). Every call is harmless after the caller has
// gone. A reply that is destroyed unanswered aborts the connection. For the
// thread of the server's loop only.
class Reply {
 public:
  Reply() = default;
  explicit Reply(HttpExchange* exchange);
  Reply(Reply&& other) noexcept;
  Reply& operator=(Reply&& other) noexcept;
  ~Reply();

  // Sends a whole answer.
  void Send(HttpAnswer answer);

  // Sends the head; `length` is the body's size if it is known.
  void Start(int status, HttpHeaders headers, std::optional<uint64_t> length);
  void Write(std::string_view bytes);
  void Finish();
  // Closes the connection so that the caller sees that the answer is cut.
  void Abort();

  // Whether the connection has taken the head that Start() gave. Until then
  // Send() may still replace the answer.
  bool IsHeadTaken() const;

  // Bytes written and not yet taken by the connection.
  size_t buffered() const;
  // How many there may be, so that all slow callers of the listener share a
  // bounded memory.
  size_t BufferSize() const;

  // Called once if the caller goes away before the answer is complete.
  void OnGone(std::function<void()> handler);
  // Called each time the buffer has been emptied after a Write().
  void OnDrained(std::function<void()> handler);

  // Reads the rest of the request's body, of which HttpRequest::unread_body
  // tells the size. `handler` is called with each part, and returns false if it
  // wants no more before ContinueBody(). What is not wanted is not read from
  // the connection. Once the answer is complete the rest is discarded.
  void ReadBody(std::function<bool(std::string part)> handler);
  void ContinueBody();

  // False once the caller has gone or the answer is complete.
  bool IsOpen() const { return exchange_ != nullptr; }

 private:
  friend class HttpExchange;

  HttpExchange* exchange_ = nullptr;
};

}  // namespace chestnutport::net

#endif  // NET_REPLY_H_
