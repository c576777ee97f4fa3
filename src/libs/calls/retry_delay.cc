#include "calls/retry_delay.h"

#include <algorithm>
#include <random>

namespace chestnutport::calls {
namespace {

// Callers shorten a longer delay to a third of the time they have left, which
// would remove the jitter: they would all retry at the same time.
constexpr double kMaxShareOfRemaining = 0.3;
// Minimum before the jitter: time within which a full queue has been replaced
// by other requests.
constexpr base::Duration kMinDelay = std::chrono::milliseconds(20);
// The jitter: the delay is multiplied by a random factor from this to 1.
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
