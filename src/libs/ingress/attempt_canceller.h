// Cancels attempts for whose answer nobody waits any more.
#ifndef INGRESS_ATTEMPT_CANCELLER_H_
#define INGRESS_ATTEMPT_CANCELLER_H_

#include "base/attempt_id.h"
#include "ingress/attempt_control_client.h"
#include "ingress/attempt_sender.h"
#include "routing/server_candidate.h"

namespace chestnutport::ingress {

class AttemptCanceller {
 public:
  // Both must outlive the canceller.
  AttemptCanceller(AttemptSender& sender, AttemptControlClient& control_client);

  // `question` is kCancel or kStop. Asks again until the server's node answers,
  // a few times at most. An attempt whose node does not answer at once loses
  // its connection, which tells the node the same.
  void Cancel(const routing::ServerCandidate& server,
              const base::AttemptId& attempt,
              AttemptCommand command);

 private:
  void Ask(const routing::ServerCandidate& server,
           const base::AttemptId& attempt,
           AttemptCommand command,
           int sent_count);

  AttemptSender& sender_;
  AttemptControlClient& control_client_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_CANCELLER_H_
