// Streams a large answer from a transfer to a reply, with bounded buffering.
#ifndef TRAFFIC_ANSWER_RELAY_H_
#define TRAFFIC_ANSWER_RELAY_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include "http_client/http_client.h"
#include "net/http_message.h"
#include "net/reply.h"

namespace chestnutport::traffic {

// The largest body of an answer that is not streamed.
inline constexpr size_t kMaxCollectedBytes = 64 * 1024;

// Returns whether an answer to `method` is streamed: it is larger than that or
// of unknown length. Other answers are collected and sent whole, so that an
// incomplete one can still be replaced.
bool ShouldRelay(std::string_view method, const net::HttpAnswer& head);

// Owned by the callbacks of the transfer. If the transfer is interrupted, the
// reply's connection is closed, so that the caller never takes a partial answer
// for a complete one.
class AnswerRelay {
 public:
  // Sends the head at once. `on_gone` is called if the receiver disconnects;
  // the rest of the answer is then discarded. `client` must outlive the relay.
  AnswerRelay(http_client::HttpClient& client,
              http_client::HttpClient::TransferId transfer,
              net::HttpAnswer head,
              net::Reply reply,
              std::function<void()> on_gone);

  // See HttpClient::OnBody.
  bool Write(std::string_view part);
  // An incomplete transfer closes the receiver's connection, or sends an error
  // if no part of the answer has been taken yet.
  void End(http_client::TransferEnd end);

  net::Reply& reply() { return reply_; }

 private:
  net::Reply reply_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_ANSWER_RELAY_H_
