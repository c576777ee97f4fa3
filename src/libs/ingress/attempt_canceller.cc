#include "ingress/attempt_canceller.h"

namespace chestnutport::ingress {
namespace {

// Another node replies within a round trip of a few milliseconds. The time-outs
// of all requests add up to less than half a second, the time within which work
// for a caller that disconnected has to stop.
constexpr std::chrono::milliseconds kTimeout(150);
constexpr int kMaxRequests = 3;

}  // namespace

AttemptCanceller::AttemptCanceller(AttemptSender& sender,
                                   AttemptControlClient& control_client)
    : sender_(sender), control_client_(control_client) {}

void AttemptCanceller::Cancel(const routing::ServerCandidate& server,
                              const base::AttemptId& attempt,
                              AttemptCommand command) {
  sender_.Abandon(attempt);
  SendWithRetries(server, attempt, command, 0);
}

void AttemptCanceller::SendWithRetries(const routing::ServerCandidate& server,
                                       const base::AttemptId& attempt,
                                       AttemptCommand command,
                                       int sent_count) {
  control_client_.SendCommand(server, attempt, command, kTimeout,
                              [this, server, attempt, command,
                               sent_count](calls::AttemptStatus answer) {
                                if (answer != calls::AttemptStatus::kNoAnswer)
                                  return;
                                sender_.Drop(attempt);
                                if (sent_count + 1 < kMaxRequests)
                                  SendWithRetries(server, attempt, command,
                                                  sent_count + 1);
                              });
}

}  // namespace chestnutport::ingress
