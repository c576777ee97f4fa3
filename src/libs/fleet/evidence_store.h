// Persists the evidence on suspected and quarantined requests in the platform's
// store, so that it survives a restart of all nodes of a fleet at once. Runs on
// the control thread.
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

// There is one entry for the whole fleet, below the prefix that starting nodes
// list anyway, so reading it costs no additional call. It is written by the
// nodes that maintain the first seed entry of a data centre, with two calls for
// each change, and expires with its lease.
class EvidenceStore {
 public:
  // Requests a new listing of the entries.
  using ListHandler = std::function<void()>;

  // The references must outlive this object.
  EvidenceStore(net::EventLoop& loop,
                store::StoreClient& store,
                RequestQuarantine& quarantine,
                const std::string& prefix,
                ListHandler list_soon,
                const base::Random& random);
  ~EvidenceStore();

  // Called with the entries below the prefix; `writes` is whether this node is
  // one of the writers.
  void OnListed(const std::vector<store::StoreEntry>& entries, bool writes);
  // Called when the suspected and quarantined requests have changed.
  void OnChanged();

 private:
  // Returns the evidence in the entry; empty if it is malformed, which is
  // logged once.
  std::vector<quarantine::RequestEvidence> Read(const std::string& value);
  void Write(int64_t expected);

  net::EventLoop& loop_;
  store::StoreClient& store_;
  RequestQuarantine& quarantine_;
  std::string key_;
  ListHandler list_soon_;
  base::Random random_;
  // As of the last listing.
  bool writes_ = false;
  bool is_unreadable_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_EVIDENCE_STORE_H_
