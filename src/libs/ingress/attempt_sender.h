// Sends attempts to the gates of other nodes, and reports how they end. Feeds
// latencies and load reports to the service's chooser and timeouts.
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
#include "http_client/http_client.h"
#include "ingress/service_traffic.h"
#include "net/event_loop.h"
#include "net/reply.h"
#include "routing/server_candidate.h"
#include "traffic/answer_relay.h"
#include "traffic/known_server_notices.h"
#include "wire/peer_request_head.h"

namespace chestnutport::ingress {

class AttemptSender {
 public:
  // `answer`: the server's, if the verdict is kAnswered or kFailed. If the
  // answer is streamed, it has the head only, and Relay() forwards the body.
  using Handler =
      std::function<void(const calls::AttemptEnd& end, net::HttpAnswer answer)>;

  // `loop` must outlive the sender.
  AttemptSender(net::EventLoop& loop, control_calls::PeerKeys keys);

  // Calls `handler` once when the attempt ends, but not if it is dropped or
  // abandoned first. Never calls it from within Send(). `service` must outlive
  // the attempt.
  void Send(ServiceTraffic& service,
            const routing::ServerCandidate& server,
            const wire::PeerRequestHead& head,
            net::HttpRequest request,
            Handler handler);

  // Sends `answer`, with which the handler was called, to `reply`. For a
  // streamed answer this must be called from within the handler, otherwise the
  // stream is cancelled.
  void Relay(const base::AttemptId& attempt,
             net::HttpAnswer answer,
             net::Reply reply);

  // Closes the connection of an attempt that does not respond.
  void Drop(const base::AttemptId& attempt);
  // Discards the attempt's result when it ends, so that its connection can be
  // reused. An attempt that was not sent whole is not sent any more.
  void Abandon(const base::AttemptId& attempt);

 private:
  // A request whose body is sent once its gate has reported capacity for it.
  struct PendingRequest {
    wire::PeerRequestHead head;
    base::SocketAddress to;
    net::HttpRequest request;
  };
  struct InFlight {
    ServiceTraffic* service = nullptr;
    base::NodeId node;
    base::SocketAddress to;
    base::Instant sent_at;
    http_client::HttpClient::TransferId transfer = 0;
    std::string method;
    std::unique_ptr<PendingRequest> pending;  // Set during a capacity inquiry.
    Handler handler;                          // Empty once abandoned.
    bool is_streamed = false;
    std::unique_ptr<traffic::AnswerRelay>
        relay;  // Set while an answer is streamed.
  };

  void Transmit(InFlight& sent, PendingRequest pending);
  // Sends only the head, to query whether the gate has capacity.
  void InquireCapacity(InFlight& sent);
  void OnCapacityReply(const base::AttemptId& attempt,
                       http_client::TransferResult result);
  bool StartRelay(const base::AttemptId& attempt, const net::HttpAnswer& head);
  bool RelayPart(const base::AttemptId& attempt, std::string_view part);
  // Closes the connection of an attempt whose answer is not needed.
  void CancelTransfer(const base::AttemptId& attempt);

  void OnDone(const base::AttemptId& attempt,
              http_client::TransferResult result);

  net::EventLoop& loop_;
  control_calls::PeerKeys keys_;
  http_client::HttpClient client_;
  traffic::KnownServerNotices notices_;
  absl::flat_hash_map<base::AttemptId, InFlight> in_flight_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_SENDER_H_
