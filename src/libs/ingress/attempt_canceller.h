// Cancels attempts whose answers are no longer needed.
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

  // `command`: kCancel or kStop. Sends it up to three times until the server's
  // node replies. After a time-out the attempt's connection is closed as well,
  // which the node treats as a cancellation.
  void Cancel(const routing::ServerCandidate& server,
              const base::AttemptId& attempt,
              AttemptCommand command);

 private:
  void SendWithRetries(const routing::ServerCandidate& server,
                       const base::AttemptId& attempt,
                       AttemptCommand command,
                       int sent_count);

  AttemptSender& sender_;
  AttemptControlClient& control_client_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_CANCELLER_H_
