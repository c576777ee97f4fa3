// What a node tells the one that handed it a caller's request.
#ifndef WIRE_PEER_ANSWER_HEAD_H_
#define WIRE_PEER_ANSWER_HEAD_H_

#include <chrono>
#include <optional>

#include "base/error_kind.h"
#include "net/http_message.h"
#include "wire/load_report.h"

namespace chestnutport::wire {

struct PeerAnswerHead {
  base::Outcome outcome = base::Outcome::kUnknown;
  std::optional<base::ErrorKind> error;  // None if the server answered.
  base::Duration retry_after{};          // Zero: it was not said.
  std::optional<LoadReport> load;
  // What the server took, as its gate measured it; zero if it did not run.
  base::Duration server_time{};

  static PeerAnswerHead Read(const net::HttpHeaders& headers);
};

// The answer that tells another node of an error: as net::MakeErrorAnswer(),
// with the time to the millisecond.
net::HttpAnswer MakePeerErrorAnswer(base::ErrorKind kind,
                                    base::Duration retry_after);

}  // namespace chestnutport::wire

#endif  // WIRE_PEER_ANSWER_HEAD_H_
