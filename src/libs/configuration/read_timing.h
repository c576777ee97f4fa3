// Intervals and time-outs of the nodes that read the store.
#ifndef CONFIGURATION_READ_TIMING_H_
#define CONFIGURATION_READ_TIMING_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::configuration {

// Interval between two reads by one reader in normal operation. Together with
// kReadersPerDataCentre it bounds the fleet's calls regardless of its size.
inline constexpr base::Duration kReadInterval = std::chrono::seconds(1);
// Longest interval of a reader whose reads fail, and of a node without known
// peers: 3000 such nodes must not make 3000 calls a second.
inline constexpr base::Duration kMaxReadInterval = std::chrono::seconds(15);
// Nominal interval between two retries in the whole fleet, by all nodes
// together that have lost the store. It leaves capacity for other clients when
// the store recovers; the first node that reaches it informs the others.
inline constexpr base::Duration kFleetRetryInterval =
    std::chrono::milliseconds(100);
// The first read is delayed by up to this time, or by a fraction of the longest
// interval if that is shorter. Short, because a node without a configuration
// cannot serve requests.
inline constexpr base::Duration kFirstReadJitter =
    std::chrono::milliseconds(500);

// Duration of a watch. It is randomised for each watch, because all readers
// start one at each change. A lost connection is detected only when the watch
// ends. The watches of a few readers are therefore short: these inform all
// other nodes, and a change has to be in force within two seconds.
inline constexpr std::chrono::milliseconds kMaxShortWatch(800);
inline constexpr std::chrono::milliseconds kMinLongWatch(2000);
inline constexpr std::chrono::milliseconds kMaxLongWatch(10000);
// Replaces kMaxShortWatch in watches of evacuations, which have to be in force
// within five seconds.
inline constexpr std::chrono::milliseconds kMaxShortEvacuationWatch(2000);
// How long after its end the response to a watch may arrive before the
// connection counts as lost. If the store is slower than the grace of the short
// watches, it has to be read more often instead.
inline constexpr std::chrono::milliseconds kShortWatchGrace(500);
inline constexpr std::chrono::milliseconds kLongWatchGrace(1000);
// How long a read may take before the store counts as lost. Even a slow store
// usually responds within this time.
inline constexpr base::Duration kSlowReadThreshold =
    std::chrono::milliseconds(500);
// Delay of a reader with long watches before its next watch after a change. If
// changes come in quick succession, the short-watch readers announce the next
// one to it by gossip. Half of the time within which a change has to be in
// force.
inline constexpr base::Duration kDelayAfterChange = std::chrono::seconds(1);
// Readers whose watches ended at the same time spread their next reads over
// this time.
inline constexpr base::Duration kRereadJitter = std::chrono::milliseconds(200);

// Duration of a watch, and the additional time within which its response may
// arrive.
struct WatchDurations {
  std::chrono::milliseconds wait;
  std::chrono::milliseconds grace;
};

// Draws the delays between reads. After a failure, and while the node is alone,
// the interval doubles and the delay is drawn between half of it and all of it.
class ReadTiming {
 public:
  // `max_interval` limits the interval after failures, `max_short_watch` the
  // watches of short-watch readers.
  explicit ReadTiming(
      base::Duration max_interval = kMaxReadInterval,
      std::chrono::milliseconds max_short_watch = kMaxShortWatch)
      : max_interval_(max_interval), max_short_watch_(max_short_watch) {}

  // Returns the delay before the first read, at most kFirstReadJitter. It is
  // short for only a few of the nodes that start together; the others receive
  // the configuration from these before they would read it. A node that joins a
  // running fleet receives it from a peer after about 70 ms, and seldom reads
  // before that.
  base::Duration FirstReadDelay(base::Random& random) const;
  // Returns the delay before the next read. `failing_nodes` is the number of
  // nodes known to this one whose reads fail, including this one.
  base::Duration NextReadDelay(bool read_failed,
                               bool is_alone,
                               size_t failing_nodes,
                               base::Random& random);
  WatchDurations DrawWatch(bool has_short_watches, base::Random& random) const;
  // Returns the delay before the read after a watch that ended early.
  static base::Duration RereadDelay(base::Random& random);

 private:
  base::Duration max_interval_;
  std::chrono::milliseconds max_short_watch_;
  base::Duration interval_ = kReadInterval;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READ_TIMING_H_
