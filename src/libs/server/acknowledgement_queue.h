// Holds the responses to messages of the local server that are acknowledged
// once the platform's store keeps what they have changed. Reads no clock.
#ifndef SERVER_ACKNOWLEDGEMENT_QUEUE_H_
#define SERVER_ACKNOWLEDGEMENT_QUEUE_H_

#include <deque>

#include "base/time.h"
#include "net/reply.h"

namespace chestnutport::server {

class AcknowledgementQueue {
 public:
  // Acknowledges a message now.
  static void Acknowledge(net::Reply reply);

  void Add(net::Reply reply, base::Instant now);
  // Acknowledges all messages.
  void OnStored();
  // Responds with 503 to messages that have waited too long. Their senders may
  // repeat them. Returns how many there were.
  size_t RejectExpired(base::Instant now);

 private:
  struct Waiting {
    net::Reply reply;
    base::Instant until;
  };

  std::deque<Waiting> waiting_;
};

}  // namespace chestnutport::server

#endif  // SERVER_ACKNOWLEDGEMENT_QUEUE_H_
