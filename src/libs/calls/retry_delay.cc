#include "calls/retry_delay.h"

#include <algorithm>
#include <random>

namespace chestnutport::calls {
namespace {

// Callers wait a third of what is left to them at max_delay; a later return
// would be taken for that, all at one moment.
constexpr double kMaxShareOfRemaining = 0.3;
// A queue that is full now is another one after about this.
constexpr base::Duration kMinDelay = std::chrono::milliseconds(20);
// The spread: from half of the time to all of it.
constexpr double kMinSpreadFactor = 0.5;

}  // namespace

base::Duration RetryDelay(base::Duration expected,
                          base::Duration remaining,
                          base::Random& random) {
  const std::chrono::duration<double> left =
      std::max(remaining, base::Duration::zero());
  const auto max_delay =
      std::chrono::duration_cast<base::Duration>(left * kMaxShareOfRemaining);
  const std::chrono::duration<double> chosen =
      std::min(std::max(expected, kMinDelay), max_delay);
  const double factor =
      std::uniform_real_distribution<double>(kMinSpreadFactor, 1)(random);
  return std::chrono::duration_cast<base::Duration>(chosen * factor);
}

}  // namespace chestnutport::calls
