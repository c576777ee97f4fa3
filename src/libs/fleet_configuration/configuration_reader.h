// Reads the head from the store while this node is one of its data centre's
// readers or hears of no other node, and writes a newer one back. Runs on the
// control thread.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_READER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_READER_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/random.h"
#include "configuration/fleet_contact.h"
#include "configuration/held_configuration.h"
#include "configuration/read_pace.h"
#include "configuration/reader_role.h"
#include "configuration/watch_round.h"
#include "fleet_configuration/configuration_store.h"
#include "membership/member.h"
#include "net/event_loop.h"

namespace chestnutport::fleet_configuration {

class ConfigurationReader {
 public:
  // Offers what was read to the keeper.
  using OfferHandler = std::function<void(const configuration::Head& head,
                                          const configuration::Documents&)>;

  // How this node is in touch with the others.
  struct FleetLink {
    // When another node was last heard; nothing: never.
    std::function<std::optional<base::Instant>()> heard_at;
    // Tells the others that this node has lost the store, or has it again.
    std::function<void(bool has_lost)> tell_store_lost;
  };

  // The references must outlive the reader. `longest_wait`: between two tries
  // while the store fails.
  ConfigurationReader(net::EventLoop& loop,
                      ConfigurationStore& store,
                      const configuration::HeldConfiguration& held,
                      base::Random& random,
                      base::Duration longest_wait,
                      FleetLink fleet,
                      OfferHandler offer);
  ~ConfigurationReader();

  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);

  bool is_reader() const { return role_.is_reader(); }
  // When the store last said which head it holds; nothing if it never did.
  std::optional<base::Instant> heard_at() const { return heard_at_; }

 private:
  // Whether the store is to be read by this node.
  bool Reads() const { return role_.is_reader() || contact_.is_cut_off(); }
  void Schedule(base::Duration wait);
  // Reads if this node is to; else finds out soon whether it is by then.
  void CheckRole();
  void Watch();
  void OnWatched(const base::Result<ConfigurationStore::Watched>& watched);
  // After a head that is held: waits for the next one, or reads in a while.
  void GoOn();
  // The same after a change.
  void GoOnAfterChange();
  void Read();
  void OnHead(const base::Result<configuration::StoredHead>& stored);
  void ReadDocuments(const configuration::Head& head);
  void Repair(const configuration::StoredHead& stored,
              const configuration::Head& repaired);
  void EndRound(bool failed);
  // Notes whether the store answers, and tells of a change.
  void NoteStore(bool has_lost);
  // While this node does not read, nothing is known of its way to the store.
  void ForgetStore();

  net::EventLoop& loop_;
  ConfigurationStore& store_;
  const configuration::HeldConfiguration& held_;
  base::Random& random_;
  FleetLink fleet_;
  OfferHandler offer_;
  configuration::ReadPace pace_;
  configuration::FleetContact contact_;
  configuration::ReaderRole role_;
  int64_t as_of_ = 0;  // The store's revision as of which it was read.
  net::EventLoop::TimerId timer_ = 0;
  // Runs out when a reading takes longer than kReadPatience.
  net::EventLoop::TimerId patience_timer_ = 0;
  configuration::WatchRound watch_;
  base::Instant watch_due_;  // The open watch has lost its connection then.
  std::optional<base::Instant> heard_at_;
  bool has_read_ = false;    // Since the start.
  bool is_reading_ = false;  // Ends with a watch or a wait.
  bool reads_once_ = false;  // Next, whether or not it has the duty.
  bool has_lost_store_ = false;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_READER_H_
