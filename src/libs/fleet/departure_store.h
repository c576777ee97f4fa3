// Keeps in the platform's store which servers have told this node that they
// leave, so that it survives the loss of any number of nodes. Runs on the
// control thread.
#ifndef FLEET_DEPARTURE_STORE_H_
#define FLEET_DEPARTURE_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/server_departure.h"
#include "net/event_loop.h"
#include "store/store_client.h"

namespace chestnutport::fleet {

// Costs one read for each start beside a server that may run, and one write for
// each server that leaves. Failed calls are repeated until they succeed.
class DepartureStore {
 public:
  using Departures = std::vector<base::ServerDeparture>;

  struct Outputs {
    // Called once, with what earlier runs of this node were told.
    std::function<void(const Departures&)> read;
    // The first read has failed, or takes long. read() is still called once one
    // succeeds.
    std::function<void()> unavailable;
    // IsStored() has become true.
    std::function<void()> stored;
  };

  // `loop` and `store` must outlive this object. The outputs are never called
  // from inside the functions below.
  DepartureStore(net::EventLoop& loop,
                 store::StoreClient& store,
                 base::Duration max_retry_delay,
                 Outputs outputs,
                 const base::Random& random);
  ~DepartureStore();

  // `key` names the entry: the same for each run of a node, and of no other
  // node. Reads it, if `has_earlier_runs`.
  void Start(std::string key, bool has_earlier_runs);

  // Sets what the entry is to hold, and writes it if it does not.
  void Keep(Departures departures);
  // Whether the store has acknowledged all that Keep() was called with last.
  bool IsStored() const;

 private:
  void Read();
  void ReportReadFailure();
  void Write();
  // Applies what the store holds.
  void OnEntry(const std::vector<store::StoreEntry>& entries);
  // Reads the entry, then writes it if that is still needed: another call may
  // have written it.
  void Reconcile();
  void OnWritten();
  base::Duration NextRetryDelay();

  net::EventLoop& loop_;
  store::StoreClient& store_;
  base::Duration max_retry_delay_;
  Outputs outputs_;
  base::Random random_;
  std::string key_;
  Departures wanted_;
  Departures stored_;
  int64_t revision_ = 0;  // Of the entry; zero if there is none.
  // Whether there are no earlier runs, or the entry was read.
  bool is_entry_known_ = false;
  bool is_read_failure_reported_ = false;
  bool is_writing_ = false;  // Until the write and its repetitions are over.
  base::Duration retry_delay_;
  net::EventLoop::TimerId read_timer_ = 0;
  net::EventLoop::TimerId read_wait_timer_ = 0;
  net::EventLoop::TimerId write_timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_DEPARTURE_STORE_H_
