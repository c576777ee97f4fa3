// An attempt at the gate, from its admission to its answer.
#ifndef GATE_GATE_ATTEMPT_H_
#define GATE_GATE_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/attempt_id.h"
#include "base/time.h"
#include "http_client/http_client.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "quarantine/quarantine_filter.h"
#include "traffic/answer_relay.h"

namespace chestnutport::gate {

struct GateAttempt {
  base::AttemptId id;
  base::Instant deadline;
  bool may_stop = false;
  std::string name;  // The request name given by the caller.
  quarantine::IncomingRequest guarded;
  // Incarnation number and instance id of the server that it was sent to.
  uint64_t life = 0;
  std::string instance;
  std::string service;
  std::string tenant;
  std::string traffic_class;
  base::Instant arrived_at;
  std::optional<base::Instant> started_at;  // When it was sent to the server.
  std::optional<base::Instant> target;      // The answer loses value after it.
  // The server's slowness known at admission, and the age of its report.
  double slowness = 1;
  std::optional<base::Duration> slowness_age;
  std::string method;
  net::HttpRequest request;
  net::Reply reply;
  uint64_t unread_body = 0;  // Bytes that the sender still has to transmit.
  http_client::HttpClient::TransferId transfer = 0;
  // An earlier request had used the connection to the server.
  bool on_kept_connection = false;
  // Of an answer that is streamed.
  std::unique_ptr<traffic::AnswerRelay> relay;
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_ATTEMPT_H_
