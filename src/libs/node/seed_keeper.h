// Finds the first members of the fleet through a few entries in the store, and
// keeps one of them if that is this node's duty. Runs on the control thread.
#ifndef NODE_SEED_KEEPER_H_
#define NODE_SEED_KEEPER_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::node {

// Calls to the store: one read for each starting node, and two calls for each
// entry in each kDutyInterval, whatever the size of the fleet.
class SeedKeeper {
 public:
  static constexpr std::chrono::seconds kDutyInterval{5};
  // Nodes that start together spread their first reads over this time, or over
  // the longest wait of the settings if that is shorter.
  static constexpr std::chrono::seconds kStartSpread{2};

  using ContactHandler = std::function<void(const base::SocketAddress&)>;

  // `loop` and `store` must outlive the keeper.
  SeedKeeper(net::EventLoop& loop,
             store::StoreClient& store,
             const settings::NodeSettings& settings,
             const base::Random& random);
  ~SeedKeeper();

  // `contact` is called with the gossip address of each seed to greet.
  void Start(const membership::Member& self, ContactHandler contact);
  // All live members, this node included.
  void SetMembers(const std::vector<membership::Member>& members);

 private:
  bool IsAlone() const { return members_.size() <= 1; }
  void Run();
  void RunAfter(base::Duration delay);
  void RunAgain();
  void OnEntries(const std::vector<store::StoreEntry>& entries);
  void ContactUnknown(const std::vector<store::StoreEntry>& entries);
  void NoteUnreadable(const std::string& key);
  void KeepEntry(size_t place, const std::vector<store::StoreEntry>& entries);
  void WriteEntry(const std::string& key, int64_t revision);
  std::string EntryText() const;

  net::EventLoop& loop_;
  store::StoreClient& store_;
  std::string prefix_;
  base::Duration longest_backoff_;
  std::vector<base::SocketAddress> first_contacts_;
  base::Random random_;
  membership::Member self_;
  ContactHandler contact_;
  std::vector<membership::Member> members_;
  store::LeaseId lease_ = 0;
  bool was_alone_ = false;  // Also after the seeds were greeted.
  base::Duration backoff_;
  std::set<std::string> unreadable_;  // Keys that were logged.
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::node

#endif  // NODE_SEED_KEEPER_H_
