// Finds the first members of the fleet through a few entries in the store, and
// keeps one of them if that is this node's duty. Runs on the control thread.
#ifndef FLEET_SEED_KEEPER_H_
#define FLEET_SEED_KEEPER_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "duties/seed_search.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::fleet {

// Calls to the store: one listing for each starting node, and two calls for
// each entry in each SeedSearch::kDutyInterval, whatever the size of the fleet.
class SeedKeeper {
 public:
  using ContactHandler = std::function<void(const base::SocketAddress&)>;
  // Entries below the prefix that are no seeds; `keeps_first`: this node keeps
  // the first entry of its data centre.
  using OthersHandler =
      std::function<void(const std::vector<store::StoreEntry>& others,
                         bool keeps_first)>;

  // `loop` and `store` must outlive the keeper.
  SeedKeeper(net::EventLoop& loop,
             store::StoreClient& store,
             const settings::NodeSettings& settings,
             const base::Random& random);
  ~SeedKeeper();

  // Where the entries of the fleet lie in the store.
  const std::string& prefix() const { return prefix_; }
  // Set before Start().
  void OnOthers(OthersHandler others) { others_ = std::move(others); }
  // Lists the entries now.
  void ListNow();

  // `contact` is called with the gossip address of each seed to greet.
  void Start(const membership::Member& self, ContactHandler contact);
  // All live members, this node included.
  void SetMembers(const std::vector<membership::Member>& members);

 private:
  bool IsAlone() const { return members_.size() <= 1; }
  // Greets those that were named, again and again until one is known.
  void Greet();
  void Run();
  void RunAfter(base::Duration delay);
  void OnEntries(duties::SeedSearch::Listing listing,
                 std::vector<store::StoreEntry> entries);
  // Tells of the entries that are no seeds, and takes them out.
  void TakeOthers(std::vector<store::StoreEntry>& entries);
  bool IsSeed(const store::StoreEntry& entry) const;
  void ContactUnknown(const std::vector<store::StoreEntry>& entries);
  void NoteUnreadable(const std::string& key);
  void KeepEntry(size_t place, const std::vector<store::StoreEntry>& entries);
  void WriteEntry(const std::string& key, int64_t revision);
  std::string EntryText() const;

  net::EventLoop& loop_;
  store::StoreClient& store_;
  std::string prefix_;
  duties::SeedSearch search_;
  // To be greeted: of the settings, then those that the store named.
  std::vector<base::SocketAddress> contacts_;
  base::Random random_;
  membership::Member self_;
  ContactHandler contact_;
  OthersHandler others_;
  std::vector<membership::Member> members_;
  store::LeaseId lease_ = 0;
  bool was_alone_ = false;            // Also after the seeds were greeted.
  std::set<std::string> unreadable_;  // Keys that were logged.
  net::EventLoop::TimerId timer_ = 0;
  net::EventLoop::TimerId greet_timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_SEED_KEEPER_H_
