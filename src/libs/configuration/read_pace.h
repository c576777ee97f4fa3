// How often a reader reads the head from the store.
#ifndef CONFIGURATION_READ_PACE_H_
#define CONFIGURATION_READ_PACE_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::configuration {

// Between two readings of one reader while all is well; with
// kReadersPerDataCentre it bounds the fleet's calls whatever its size.
inline constexpr base::Duration kReadInterval = std::chrono::seconds(1);
// The longest wait of a reader whose store fails, and of a node that knows of
// no other: three thousand of those must not be three thousand calls a second.
inline constexpr base::Duration kLongestReadInterval = std::chrono::seconds(15);
// The first reading is spread over this time, or over a part of the longest
// wait if that is shorter: a node without a configuration serves nobody.
inline constexpr base::Duration kFirstReadSpread =
    std::chrono::milliseconds(500);

// How long a watch waits, drawn anew for each: all readers begin one with each
// change, and if these are lost together, the first to end finds out for all.
inline constexpr std::chrono::milliseconds kShortestWatch(2000);
inline constexpr std::chrono::milliseconds kLongestWatch(10000);
// Readers whose watches were cut together read again spread over this time.
inline constexpr base::Duration kReadAgainSpread =
    std::chrono::milliseconds(200);

// Draws each wait between half and the whole of an interval that doubles after
// a failure, and while the node is alone.
class ReadPace {
 public:
  // `longest`: the longest wait after failures.
  explicit ReadPace(base::Duration longest = kLongestReadInterval)
      : longest_(longest) {}

  // A wait before the first reading, up to the spread: short for a few of the
  // nodes that start together, whose news the others hear before they would
  // read themselves. A node that starts beside a running fleet has its
  // configuration from a neighbour after some 70 ms, and seldom reads before.
  base::Duration First(base::Random& random) const;
  base::Duration Next(bool read_failed, bool is_alone, base::Random& random);
  static std::chrono::milliseconds WatchWait(base::Random& random);
  // A wait after a watch that was cut.
  static base::Duration Again(base::Random& random);

 private:
  base::Duration longest_;
  base::Duration interval_ = kReadInterval;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READ_PACE_H_
