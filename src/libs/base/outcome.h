// What a caller may conclude about the execution of its request.
#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <string_view>

namespace chestnutport::base {

enum class Outcome {
  kAnswered,  // The server's own answer.
  kNotRun,    // Nothing was executed and nothing will be.
  kUnknown,   // It may have run.
};

// The text carried in the Chestnutport-Outcome header.
constexpr std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace chestnutport::base

#endif  // BASE_OUTCOME_H_
