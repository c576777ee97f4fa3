// Keeps what is known of requests in quarantine in the platform's store, for a
// fleet of which all nodes are started anew at once. Runs on the control
// thread.
#ifndef FLEET_EVIDENCE_STORE_H_
#define FLEET_EVIDENCE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/request_quarantine.h"
#include "net/event_loop.h"
#include "store/store_client.h"

namespace chestnutport::fleet {

// One entry for the whole fleet, beside those that starting nodes list anyway:
// reading it costs no call. It is written by the nodes that keep the first
// entry of a data centre, two calls for each change of what is held, and ends
// by itself.
class EvidenceStore {
 public:
  // Lists the entries soon.
  using ListHandler = std::function<void()>;

  // The references must outlive this object.
  EvidenceStore(net::EventLoop& loop,
                store::StoreClient& store,
                RequestQuarantine& quarantine,
                const std::string& prefix,
                ListHandler list_soon,
                const base::Random& random);
  ~EvidenceStore();

  // Entries of the store below the prefix; `writes`: this node is one of those
  // that keep the entry.
  void OnListed(const std::vector<store::StoreEntry>& entries, bool writes);
  // What is held has changed.
  void OnChanged();

 private:
  // Nothing of an entry that cannot be read; it is logged once.
  std::vector<quarantine::RequestEvidence> Read(const std::string& value);
  void Write(int64_t expected);

  net::EventLoop& loop_;
  store::StoreClient& store_;
  RequestQuarantine& quarantine_;
  std::string key_;
  ListHandler list_soon_;
  base::Random random_;
  // At the last listing.
  bool writes_ = false;
  bool is_unreadable_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_EVIDENCE_STORE_H_
