// Names one attempt to run a caller's request on one server.
#ifndef BASE_ATTEMPT_ID_H_
#define BASE_ATTEMPT_ID_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutport::base {

// A retry or a hedge is a new attempt. Never used twice: `origin` is drawn at
// random by each ingress thread at its start, `sequence` counts up from there.
struct AttemptId {
  uint64_t origin = 0;
  uint64_t sequence = 0;

  static std::optional<AttemptId> Parse(std::string_view text);
  std::string ToString() const;  // "origin-sequence", both in hexadecimal.

  auto operator<=>(const AttemptId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.origin, id.sequence);
  }
};

}  // namespace chestnutport::base

#endif  // BASE_ATTEMPT_ID_H_
