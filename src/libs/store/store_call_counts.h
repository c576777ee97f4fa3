// Counts the calls to the store by kind and result, for the cost of the store
// and for operations.
#ifndef STORE_STORE_CALL_COUNTS_H_
#define STORE_STORE_CALL_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chestnutport::store {

enum class CallKind { kList, kRead, kWrite, kLease, kWatch };
inline constexpr std::array kCallKinds = {CallKind::kList, CallKind::kRead,
                                          CallKind::kWrite, CallKind::kLease,
                                          CallKind::kWatch};

enum class CallResult {
  kAnswered,
  kRefused,   // Status 429 or higher: the store is over its rate limit or
              // unavailable.
  kNoAnswer,  // A write that was sent may have taken effect.
};
inline constexpr std::array kCallResults = {
    CallResult::kAnswered, CallResult::kRefused, CallResult::kNoAnswer};

std::string_view ToString(CallKind kind);
std::string_view ToString(CallResult result);

class StoreCallCounts {
 public:
  void Add(CallKind kind, CallResult result, uint64_t count = 1) {
    At(kind, result) += count;
  }
  uint64_t Of(CallKind kind, CallResult result) const {
    return counts_[IndexOf(kind, result)];
  }

 private:
  static size_t IndexOf(CallKind kind, CallResult result) {
    return static_cast<size_t>(kind) * kCallResults.size() +
           static_cast<size_t>(result);
  }
  uint64_t& At(CallKind kind, CallResult result) {
    return counts_[IndexOf(kind, result)];
  }

  std::array<uint64_t, kCallKinds.size() * kCallResults.size()> counts_{};
};

}  // namespace chestnutport::store

#endif  // STORE_STORE_CALL_COUNTS_H_
