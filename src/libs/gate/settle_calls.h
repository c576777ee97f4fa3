// The control call by which another node asks what became of an attempt, or
// cancels it. Reads the question and words the answer; what is done is up to
// the handler.
#ifndef GATE_SETTLE_CALLS_H_
#define GATE_SETTLE_CALLS_H_

#include <functional>
#include <string>

#include "admission/attempt_state.h"
#include "base/attempt_id.h"
#include "net/http_message.h"
#include "rpc/dispatcher.h"

namespace chestnutport::gate {

struct SettleRequest {
  base::AttemptId attempt;
  bool cancel = true;        // Makes sure that it does not start any more.
  bool stop_running = true;  // One that runs is cut off, if it is cancelled.
};

class SettleCalls {
 public:
  // Returns the state after it was done as asked.
  using Handler =
      std::function<admission::AttemptState(const SettleRequest& request)>;

  explicit SettleCalls(Handler handler);

  // The answer to a call; one that is no question is answered with an error.
  net::HttpAnswer Answer(const std::string& body);

 private:
  // The result; empty: the parameters are none.
  std::string Settle(const std::string& params) const;

  Handler handler_;
  rpc::Dispatcher dispatcher_;
};

}  // namespace chestnutport::gate

#endif  // GATE_SETTLE_CALLS_H_
