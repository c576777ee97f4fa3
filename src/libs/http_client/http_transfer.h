// One request of an HttpClient and its answer. Internal to the library.
#ifndef HTTP_CLIENT_HTTP_TRANSFER_H_
#define HTTP_CLIENT_HTTP_TRANSFER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "absl/strings/cord.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace chestnutport::http_client {

class HttpClientConnection;

struct HttpTransfer {
  HttpClient::TransferId id = 0;
  base::SocketAddress to;
  // The request as it goes over the connection: what is still to be written.
  absl::Cord unsent;
  size_t sent = 0;
  // Bytes of the body that are still to come by HttpClient::AppendBody().
  uint64_t unread_body = 0;
  std::function<void()> on_body_room;
  bool is_head = false;
  bool has_body = false;
  // Bytes read so far up to the end of the answer's head: answers that were
  // skipped included.
  size_t read_before_body = 0;
  uint64_t streamed = 0;  // Bytes of the body that were handed on.
  std::string tag;  // What the answer's tag must be; empty: any answer will do.
  net::HttpAnswer answer{.status = 0, .headers = {}, .body = ""};
  HttpClient::OnHead on_head;
  HttpClient::OnBody on_body;
  HttpClient::Done done;
  base::Instant deadline;  // Later it is not sent any more.
  bool is_streamed = false;
  bool is_refused = false;
  bool on_kept_connection = false;
  std::string held_part;  // Of a paused transfer, to be handed on again.
  bool is_paused = false;
  HttpClientConnection* connection = nullptr;  // Null: waits for one.
  net::EventLoop::TimerId timer = 0;
};

}  // namespace chestnutport::http_client

#endif  // HTTP_CLIENT_HTTP_TRANSFER_H_
