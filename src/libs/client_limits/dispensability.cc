#include "client_limits/dispensability.h"

namespace chestnutport::client_limits {
namespace {

// A head comes in one piece, or in a few.
constexpr std::chrono::milliseconds kHeadTime(200);
constexpr std::chrono::seconds kTransferTime(1);

}  // namespace

bool Dispensability::IsDue(base::Instant now) const {
  switch (kind) {
    case Kind::kNeverUsed:
    case Kind::kKept:
      return true;
    case Kind::kUnfinishedHead:
      return now - since >= kHeadTime;
    case Kind::kUnfinishedBody:
    case Kind::kUnreadAnswer:
      return now - since >= kTransferTime;
  }
  return false;
}

}  // namespace chestnutport::client_limits
