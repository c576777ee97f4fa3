// The answer of a simulated server and its node to an attempt.
#ifndef DECISIONS_SERVER_ANSWER_H_
#define DECISIONS_SERVER_ANSWER_H_

#include "base/error_kind.h"
#include "base/time.h"
#include "routing/attempt_result.h"
#include "wire/load_report.h"

namespace chestnutport::bench {

struct ServerAnswer {
  routing::AttemptResultKind kind = routing::AttemptResultKind::kAnswered;
  base::ErrorKind error = base::ErrorKind::kInternal;  // For a refusal.
  base::Duration retry_after{};
  wire::LoadReport load;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SERVER_ANSWER_H_
