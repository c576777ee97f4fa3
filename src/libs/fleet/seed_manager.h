// Discovers the first members of the fleet through seed entries in the store,
// and maintains one of the entries if that is this node's duty. Runs on the
// control thread.
#ifndef FLEET_SEED_MANAGER_H_
#define FLEET_SEED_MANAGER_H_

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

// Costs one listing for each starting node, and two store calls for each entry
// in each SeedSearch::kListingInterval, whatever the size of the fleet.
class SeedManager {
 public:
  using ContactHandler = std::function<void(const base::SocketAddress&)>;
  // Called with the entries below the prefix that are not seeds.
  // `maintains_first` is whether this node maintains the first entry of its
  // data centre.
  using OtherEntriesHandler =
      std::function<void(const std::vector<store::StoreEntry>& others,
                         bool maintains_first)>;

  // `loop` and `store` must outlive this object.
  SeedManager(net::EventLoop& loop,
              store::StoreClient& store,
              const settings::NodeSettings& settings,
              const base::Random& random);
  ~SeedManager();

  // Key prefix of the fleet's entries in the store.
  const std::string& prefix() const { return prefix_; }
  // Set before Start().
  void OnOtherEntries(OtherEntriesHandler others) {
    on_other_entries_ = std::move(others);
  }
  // Lists the entries now.
  void ListNow();

  // Calls `contact` with the gossip address of each seed to ping.
  void Start(const membership::Member& self, ContactHandler contact);
  // Sets the live members, including this node.
  void SetMembers(const std::vector<membership::Member>& members);

 private:
  bool IsAlone() const { return members_.size() <= 1; }
  // Pings the known contacts repeatedly until a member is found.
  void PingContacts();
  void Run();
  void RunAfter(base::Duration delay);
  void OnEntries(duties::SeedSearch::Listing listing,
                 std::vector<store::StoreEntry> entries);
  // Reports the entries that are not seeds and removes them from `entries`.
  void ExtractOtherEntries(std::vector<store::StoreEntry>& entries);
  bool IsSeed(const store::StoreEntry& entry) const;
  void ContactUnknown(const std::vector<store::StoreEntry>& entries);
  void LogUnreadable(const std::string& key);
  void MaintainEntry(size_t place,
                     const std::vector<store::StoreEntry>& entries);
  void WriteEntry(const std::string& key, int64_t revision);
  std::string EntryText() const;

  net::EventLoop& loop_;
  store::StoreClient& store_;
  std::string prefix_;
  duties::SeedSearch search_;
  // Contacts to ping: those in the settings, then those found in the store.
  std::vector<base::SocketAddress> contacts_;
  base::Random random_;
  membership::Member self_;
  ContactHandler contact_;
  OtherEntriesHandler on_other_entries_;
  std::vector<membership::Member> members_;
  store::LeaseId lease_ = 0;
  // Whether the node was alone at the last listing with seeds, after which it
  // pinged them.
  bool was_alone_ = false;
  bool has_listed_ = false;
  std::set<std::string> unreadable_;  // Keys already logged.
  net::EventLoop::TimerId timer_ = 0;
  net::EventLoop::TimerId ping_timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_SEED_MANAGER_H_
