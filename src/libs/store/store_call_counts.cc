#include "store/store_call_counts.h"

namespace chestnutport::store {

std::string_view ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kList:
      return "list";
    case CallKind::kRead:
      return "read";
    case CallKind::kWrite:
      return "write";
    case CallKind::kLease:
      return "lease";
    case CallKind::kWatch:
      return "watch";
  }
  return "unknown";
}

std::string_view ToString(CallResult result) {
  switch (result) {
    case CallResult::kAnswered:
      return "answered";
    case CallResult::kRefused:
      return "refused";
    case CallResult::kNoAnswer:
      return "no-answer";
  }
  return "unknown";
}

}  // namespace chestnutport::store
