// An instruction of the admission controller for one attempt.
#ifndef ADMISSION_ADMISSION_ACTION_H_
#define ADMISSION_ADMISSION_ACTION_H_

#include <vector>

#include "base/attempt_id.h"
#include "base/error_kind.h"
#include "base/time.h"

namespace chestnutport::admission {

enum class ActionKind {
  kStart,   // Hand the attempt to the server now.
  kRefuse,  // Answer with `error`; the attempt did not run and never will.
};

struct AdmissionAction {
  ActionKind kind = ActionKind::kRefuse;
  base::AttemptId attempt;
  base::ErrorKind error = base::ErrorKind::kInternal;  // Set for kRefuse.
  base::Duration retry_after{};
};

using AdmissionActions = std::vector<AdmissionAction>;

}  // namespace chestnutport::admission

#endif  // ADMISSION_ADMISSION_ACTION_H_
