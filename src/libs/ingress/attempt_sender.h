// Hands attempts to other nodes' gates, and reports their ends. What is seen
// on the way is told to the service's chooser and timing.
#ifndef INGRESS_ATTEMPT_SENDER_H_
#define INGRESS_ATTEMPT_SENDER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "base/attempt_id.h"
#include "calls/attempt_end.h"
#include "control_calls/peer_keys.h"
#include "ingress/service_traffic.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/reply.h"
#include "routing/server_candidate.h"
#include "traffic/answer_relay.h"
#include "wire/peer_request_head.h"

namespace chestnutport::ingress {

class AttemptSender {
 public:
  // The answer is the server's, if the verdict says that there is one; of a
  // large one it is the head, and Relay() hands on the rest.
  using Handler =
      std::function<void(const calls::AttemptEnd& end, net::HttpAnswer answer)>;

  // `loop` must outlive the sender.
  AttemptSender(net::EventLoop& loop, control_calls::PeerKeys keys);

  // `handler` is called once, never from inside, unless the attempt is dropped
  // or abandoned first. `service` must outlive the attempt.
  void Send(ServiceTraffic& service,
            const routing::ServerCandidate& server,
            const wire::PeerRequestHead& head,
            net::HttpRequest request,
            Handler handler);

  // Gives `reply` the answer that the handler was called with, as `answer`. Of
  // a large one this must happen inside the handler: else it is given up.
  void Relay(const base::AttemptId& attempt,
             net::HttpAnswer answer,
             net::Reply reply);

  // Closes the attempt's connection, which has gone silent.
  void Drop(const base::AttemptId& attempt);
  // Lets the attempt end unheard, so that its connection can be used again.
  void Abandon(const base::AttemptId& attempt);

 private:
  // A request whose body is sent once its gate has a place for it.
  struct PendingRequest {
    wire::PeerRequestHead head;
    base::SocketAddress to;
    net::HttpRequest request;
  };
  struct InFlight {
    ServiceTraffic* service = nullptr;
    base::NodeId node;
    base::Instant sent_at;
    net::HttpClient::TransferId transfer = 0;
    std::string method;
    std::unique_ptr<PendingRequest> pending;  // Until the place is found free.
    Handler handler;                          // Empty once abandoned.
    bool is_streamed = false;
    std::unique_ptr<traffic::AnswerRelay>
        relay;  // Of an answer that is streamed.
  };

  void Transmit(InFlight& sent, PendingRequest pending);
  // Asks the gate, with the head alone, whether it has a place.
  void InquireCapacity(InFlight& sent);
  void OnCapacityReply(const base::AttemptId& attempt,
                       net::TransferResult result);
  bool StartRelay(const base::AttemptId& attempt, const net::HttpAnswer& head);
  bool RelayPart(const base::AttemptId& attempt, std::string_view part);
  // Ends a streamed answer that nobody takes.
  void CancelStream(const base::AttemptId& attempt);

  void OnDone(const base::AttemptId& attempt, net::TransferResult result);

  net::EventLoop& loop_;
  control_calls::PeerKeys keys_;
  net::HttpClient client_;
  absl::flat_hash_map<base::AttemptId, InFlight> in_flight_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_SENDER_H_
