// One connection of an HttpClient. Internal to the library.
#ifndef HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
#define HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "base/socket_address.h"
#include "base/time.h"
#include "http_client/http_client.h"
#include "net/beast_messages.h"
#include "net/part_body.h"

namespace chestnutport::http_client {

struct HttpTransfer;

// Carries one transfer at a time. An answer whose tag is another request's is
// skipped, as the right one follows it; bytes behind a whole answer end the
// connection.
class HttpClientConnection {
 public:
  HttpClientConnection(HttpClient& client, const base::SocketAddress& to);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  // Begins to connect; false if that failed at once.
  bool Open();
  // Whether the other end still keeps the connection, as far as can be seen.
  bool IsUsable(base::Instant now) const;
  void Begin(HttpTransfer& transfer);
  // Reads on for a paused transfer.
  void Resume();
  // Writes, in the next round, what was added to the transfer's request.
  void WriteSoon() { Watch(); }
  // Ends the connection without telling anybody.
  void Close();

  const base::SocketAddress& to() const { return to_; }
  HttpTransfer* transfer() const { return transfer_; }
  bool IsConnecting() const { return connecting_; }
  // Whether the whole request of the transfer was written.
  bool IsRequestSent() const;
  bool IsClosed() const { return closed_; }

 private:
  using Parser = net::http::response_parser<net::PartBody>;

  void OnReady(uint32_t epoll_events);
  void OnConnected();
  void Write();
  // Returns false if the connection has failed.
  bool TryWrite();
  void Read();
  // Each returns whether there may be more to parse.
  bool Parse();
  bool Feed();
  bool ParseHead();
  bool ParseBody();
  // False if the transfer is paused or gone.
  bool HandOn();
  bool TakePart(std::string part);
  // Whether the other end has read the whole request, as far as its answer with
  // `status` shows.
  bool IsRequestRead(unsigned status) const;
  void OnAnswerWhole();
  // The other end closed, or the connection failed.
  void OnEnd(bool orderly);
  // Ends the transfer and this connection.
  void Fail(TransferEnd end);
  void Watch();

  HttpClient& client_;
  base::SocketAddress to_;
  int fd_ = -1;
  uint32_t watched_ = 0;
  bool connecting_ = true;
  bool closed_ = false;
  HttpTransfer* transfer_ = nullptr;
  std::string in_;
  std::optional<Parser> parser_;
  bool skips_answer_ = false;
  bool head_done_ = false;
  base::Instant usable_until_ = base::Instant::max();
};

}  // namespace chestnutport::http_client

#endif  // HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
