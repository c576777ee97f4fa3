// ShouldRead the head from the store while this node is one of its data
// centre's readers or hears of no other node, and writes a newer one back. Runs
// on the control thread.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_READER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_READER_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/random.h"
#include "configuration/current_watch.h"
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
  // Offers what was read to the keeper.
  using ApplyHandler = std::function<void(const configuration::Head& head,
                                          const configuration::Documents&)>;

  // How this node is in touch with the others.
  struct FleetCallbacks {
    // When another node was last heard; nothing: never.
    std::function<std::optional<base::Instant>()> heard_at;
    // Tells the others that this node has lost the store, or has it again.
    std::function<void(bool has_lost)> report_store_lost;
  };

  // The references must outlive the reader. `max_read_interval`: between two
  // tries while the store fails.
  ConfigurationReader(net::EventLoop& loop,
                      ConfigurationStore& store,
                      const configuration::LocalConfiguration& local,
                      base::Random& random,
                      base::Duration max_read_interval,
                      FleetCallbacks fleet,
                      ApplyHandler apply);
  ~ConfigurationReader();

  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);

  bool is_reader() const { return role_.is_reader(); }
  // When the store last said which head it holds; nothing if it never did.
  std::optional<base::Instant> last_store_contact() const {
    return last_store_contact_;
  }

 private:
  // Whether the store is to be read by this node.
  bool ShouldRead() const {
    return role_.is_reader() || isolation_.is_isolated();
  }
  void Schedule(base::Duration wait);
  // ShouldRead if this node is to; else finds out soon whether it is by then.
  void ReadIfDue();
  void Watch();
  void OnWatchEnded(
      const base::Result<ConfigurationStore::WatchResult>& watched);
  // After a head that is held: waits for the next one, or reads in a while.
  void ContinueRound();
  // The same after a change.
  void ContinueAfterChange();
  void Read();
  void OnHead(const base::Result<configuration::StoredHead>& stored);
  void ReadDocuments(const configuration::Head& head);
  void Repair(const configuration::StoredHead& stored,
              const configuration::Head& repaired);
  void FinishRound(bool failed);
  // Notes whether the store answers, and tells of a change.
  void UpdateStoreState(bool has_lost);
  // While this node does not read, nothing is known of its way to the store.
  void ResetStoreState();

  net::EventLoop& loop_;
  ConfigurationStore& store_;
  const configuration::LocalConfiguration& local_;
  base::Random& random_;
  FleetCallbacks fleet_;
  ApplyHandler apply_;
  configuration::ReadTiming timing_;
  configuration::IsolationDetector isolation_;
  configuration::ReaderRole role_;
  int64_t store_revision_ = 0;  // The store's revision as of which it was read.
  net::EventLoop::TimerId timer_ = 0;
  // Runs out when a reading takes longer than kSlowReadThreshold.
  net::EventLoop::TimerId slow_read_timer_ = 0;
  configuration::CurrentWatch watch_;
  base::Instant
      watch_deadline_;  // The open watch has lost its connection then.
  std::optional<base::Instant> last_store_contact_;
  bool has_read_ = false;    // Since the start.
  bool is_reading_ = false;  // Ends with a watch or a wait.
  bool must_read_once_ =
      false;  // NextReadDelay, whether or not it has the duty.
  bool has_lost_store_ = false;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_READER_H_
