// Which connections of a listener are closed first to make room for new ones.
#ifndef CLIENT_LIMITS_DISPENSABILITY_H_
#define CLIENT_LIMITS_DISPENSABILITY_H_

#include <compare>

#include "base/time.h"

namespace chestnutport::client_limits {

struct Dispensability {
  // In the order in which connections are closed.
  enum class Kind {
    kNeverUsed,       // No request has come.
    kUnfinishedHead,  // The head of a request does not end.
    kKept,            // Between requests.
    kUnfinishedBody,  // A body does not end.
    kUnreadAnswer,    // An answer is not read.
  };

  Kind kind = Kind::kNeverUsed;
  // The earliest goes first.
  base::Instant since;

  // Whether it has lasted long enough: what is read at once is not given up.
  bool IsDue(base::Instant now) const;

  auto operator<=>(const Dispensability&) const = default;  // NOLINT: as NodeId
};

}  // namespace chestnutport::client_limits

#endif  // CLIENT_LIMITS_DISPENSABILITY_H_
