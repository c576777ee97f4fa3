// How often a reader reads the head from the store.
#ifndef CONFIGURATION_READ_TIMING_H_
#define CONFIGURATION_READ_TIMING_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::configuration {

// Between two readings of one reader while all is well; with
// kReadersPerDataCentre it bounds the fleet's calls whatever its size.
inline constexpr base::Duration kReadInterval = std::chrono::seconds(1);
// The longest wait of a reader whose store fails, and of a node that knows of
// no other: three thousand of those must not be three thousand calls a second.
inline constexpr base::Duration kMaxReadInterval = std::chrono::seconds(15);
// All nodes that have lost the store together try it once in this time: it has
// room for others when it is back, and whoever finds it back tells the rest.
inline constexpr base::Duration kFleetRetryInterval =
    std::chrono::milliseconds(100);
// The first reading is spread over this time, or over a part of the longest
// wait if that is shorter: a node without a configuration serves nobody.
inline constexpr base::Duration kFirstReadJitter =
    std::chrono::milliseconds(500);

// How long a watch waits at the store, drawn anew for each, as all readers
// begin one with each change. A connection that goes silent is found out when
// the watch ends, so it is short for the alert readers: what these find out
// they tell all others, and a change has to be in force within two seconds.
inline constexpr std::chrono::milliseconds kMaxShortWatch(800);
inline constexpr std::chrono::milliseconds kMinLongWatch(2000);
inline constexpr std::chrono::milliseconds kMaxLongWatch(10000);
// The same where there are five seconds.
inline constexpr std::chrono::milliseconds kMaxShortEvacuationWatch(2000);
// How much later its answer may come before the connection counts as lost. A
// store that takes longer than the alert readers' has to be asked more often.
inline constexpr std::chrono::milliseconds kShortWatchGrace(500);
inline constexpr std::chrono::milliseconds kLongWatchGrace(1000);
// The same of a reading. The longest that a slow store takes as a rule.
inline constexpr base::Duration kSlowReadThreshold =
    std::chrono::milliseconds(500);
// How long readers that are not alert leave it to those and to the gossip to
// hear of a next change, when changes come in quick succession; half of the
// time in which one has to be in force.
inline constexpr base::Duration kDelayAfterChange = std::chrono::seconds(1);
// Readers whose watches were cut together read again spread over this time.
inline constexpr base::Duration kRereadJitter = std::chrono::milliseconds(200);

// How long a watch waits at the store, and how much longer for its answer.
struct WatchDurations {
  std::chrono::milliseconds wait;
  std::chrono::milliseconds grace;
};

// Draws each wait between half and the whole of an interval that doubles after
// a failure, and while the node is alone.
class ReadTiming {
 public:
  // `longest`: the longest wait after failures. `max_short_watch`: the longest
  // watch of an alert reader.
  explicit ReadTiming(
      base::Duration max_interval = kMaxReadInterval,
      std::chrono::milliseconds max_short_watch = kMaxShortWatch)
      : max_interval_(max_interval), max_short_watch_(max_short_watch) {}

  // A wait before the first reading, up to the spread: short for a few of the
  // nodes that start together, whose news the others hear before they would
  // read themselves. A node that starts beside a running fleet has its
  // configuration from a neighbour after some 70 ms, and seldom reads before.
  base::Duration FirstReadDelay(base::Random& random) const;
  // `failing`: nodes whose readings fail, as far as this one knows.
  base::Duration NextReadDelay(bool read_failed,
                               bool is_alone,
                               size_t failing_nodes,
                               base::Random& random);
  WatchDurations DrawWatch(bool has_short_watches, base::Random& random) const;
  // A wait after a watch that was cut.
  static base::Duration RereadDelay(base::Random& random);

 private:
  base::Duration max_interval_;
  std::chrono::milliseconds max_short_watch_;
  base::Duration interval_ = kReadInterval;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READ_TIMING_H_
