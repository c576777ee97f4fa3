// Polls and watches the head in the store while this node is a reader of its
// data centre or is isolated. Writes a newer head back if the store holds an
// older one. Used on the control thread only.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_READER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_READER_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "base/random.h"
#include "configuration/current_watch.h"
#include "configuration/first_reads.h"
#include "configuration/isolation_detector.h"
#include "configuration/local_configuration.h"
#include "configuration/read_timing.h"
#include "configuration/reader_role.h"
#include "fleet_configuration/configuration_store.h"
#include "membership/member.h"
#include "net/event_loop.h"

namespace chestnutport::fleet_configuration {

class ConfigurationReader {
 public:
  // Called with a newer head that was read, and its documents.
  using ApplyHandler = std::function<void(const configuration::Head& head,
                                          const configuration::Documents&)>;

  // Called with each successful watch or current read of the head: the revision
  // that the store held, and when the read or watch was sent. A watch that ends
  // without a change counts with the revision that was found before it. Not
  // called if the head cannot be read.
  using StoreReadHandler =
      std::function<void(uint64_t revision, base::BootInstant asked_at)>;

  // This node's link to the rest of the fleet.
  struct FleetCallbacks {
    // Returns the time of the last message from any other node; nothing if
    // there was none.
    std::function<std::optional<base::Instant>()> last_contact;
    // Informs the other nodes that this node has lost the store, or can reach
    // it again.
    std::function<void(bool has_lost)> report_store_lost;
    // Which readers have short watches.
    configuration::ShortWatches short_watches =
        configuration::ShortWatches::kTwoInFleet;
    // Whether each read has to prove that the configuration is current.
    bool needs_proofs = false;
    // Limits the watches of these readers.
    std::chrono::milliseconds max_short_watch = configuration::kMaxShortWatch;
  };

  // The references must outlive the reader. `max_read_interval` limits the
  // delay between two reads while the store fails.
  ConfigurationReader(net::EventLoop& loop,
                      ConfigurationStore& store,
                      const configuration::LocalConfiguration& local,
                      base::Random& random,
                      base::Duration max_read_interval,
                      FleetCallbacks fleet,
                      ApplyHandler apply);
  ~ConfigurationReader();

  // Set before Start().
  void OnStoreRead(StoreReadHandler handler) {
    store_read_ = std::move(handler);
  }
  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);

  bool is_reader() const { return role_.is_reader(); }
  // Returns when the store last responded; nothing if it never did.
  std::optional<base::Instant> last_store_contact() const {
    return last_store_contact_;
  }

 private:
  // Whether this node has to read the store.
  bool ShouldRead() const {
    return role_.is_reader() || isolation_.is_isolated();
  }
  void Schedule(base::Duration wait);
  // Starts a read if this node has to read; otherwise checks again after a
  // short delay.
  void ReadIfDue();
  void Watch();
  void OnWatchEnded(
      const base::Result<ConfigurationStore::WatchResult>& watched,
      base::BootInstant asked_at);
  // Continues when this node has the stored head: starts a watch, or schedules
  // the next read.
  void ContinueRound();
  // Continues after a change was applied. A reader with long watches first
  // waits for kDelayAfterChange.
  void ContinueAfterChange();
  void Read();
  void OnHead(const base::Result<configuration::StoredHead>& stored,
              base::BootInstant asked_at);
  // Records that the store held `revision` when it was asked.
  void RecordStoreRead(uint64_t revision, base::BootInstant asked_at);
  void ReadDocuments(const configuration::Head& head);
  void Repair(const configuration::StoredHead& stored,
              const configuration::Head& repaired);
  void FinishRound(bool failed);
  // Records whether the store responds, and reports a change to the fleet.
  void UpdateStoreState(bool has_lost);
  // Clears the state of the store, which is unknown while this node does not
  // read it.
  void ResetStoreState();

  net::EventLoop& loop_;
  ConfigurationStore& store_;
  const configuration::LocalConfiguration& local_;
  base::Random& random_;
  FleetCallbacks fleet_;
  ApplyHandler apply_;
  StoreReadHandler store_read_;
  configuration::ReadTiming timing_;
  configuration::IsolationDetector isolation_;
  configuration::ReaderRole role_;
  int64_t store_revision_ = 0;   // The store's revision at the last read.
  uint64_t found_revision_ = 0;  // Of the head, at the last read or watch.
  net::EventLoop::TimerId timer_ = 0;
  // Expires when a read takes longer than kSlowReadThreshold.
  net::EventLoop::TimerId slow_read_timer_ = 0;
  configuration::CurrentWatch watch_;
  base::Instant watch_deadline_;  // When the current watch counts as lost.
  std::optional<base::Instant> last_store_contact_;
  bool has_read_ = false;  // Since the start of the node.
  configuration::FirstReads first_reads_;
  bool may_be_stale_ = false;  // The last read.
  bool is_reading_ = false;    // Until a watch or a delay begins.
  bool must_read_once_ =
      false;  // At the next ReadIfDue(), even if this node is not a reader.
  bool has_lost_store_ = false;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_READER_H_
