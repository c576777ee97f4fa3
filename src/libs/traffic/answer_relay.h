// Hands a large answer on as it comes, from a transfer to a reply, with a
// bound on the bytes kept on the way.
#ifndef TRAFFIC_ANSWER_RELAY_H_
#define TRAFFIC_ANSWER_RELAY_H_

#include <functional>
#include <string_view>

#include "net/http_client.h"
#include "net/http_message.h"
#include "net/reply.h"

namespace chestnutport::traffic {

// Whether an answer to `method` is handed on as it comes: it is larger than
// 64 KB, or of unknown length. Others are collected and sent whole, so that
// one that is cut can still be replaced.
bool ShouldRelay(std::string_view method, const net::HttpAnswer& head);

// Belongs to the transfer's callbacks. If the transfer is cut, so is the
// reply's connection: the caller never takes a part for the whole.
class AnswerRelay {
 public:
  // Bytes kept for a receiver that reads slowly, plus one part of the body.
  static constexpr size_t kMaxBufferedBytes = 256 * 1024;

  // Sends the head at once. `on_gone` is called if the receiver goes away;
  // from then on what comes is dropped. `client` must outlive the relay.
  AnswerRelay(net::HttpClient& client,
              net::HttpClient::TransferId transfer,
              net::HttpAnswer head,
              net::Reply reply,
              std::function<void()> on_gone);

  // As HttpClient::OnBody.
  bool Write(std::string_view part);
  // A transfer that was cut ends the receiver's connection, or gives it an
  // error while nothing of the answer has been taken yet.
  void End(net::TransferEnd end);

 private:
  net::Reply reply_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_ANSWER_RELAY_H_
