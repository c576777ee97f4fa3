// The client of the platform's key-value service, whatever its form.
#ifndef STORE_STORE_CLIENT_H_
#define STORE_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/socket_address.h"
#include "net/http_client.h"
#include "store/etcd_protocol.h"
#include "store/store_call_counts.h"
#include "store/store_entry.h"
#include "store/store_protocol.h"

namespace chestnutport::store {

// Calls one of the store's addresses, the next after a failure. For the
// thread of the client's loop only. Errors: kStoreUnavailable if nothing was
// done, kStoreOutcomeUnknown if a write may have taken effect.
class StoreClient {
 public:
  using EntriesHandler =
      std::function<void(base::Result<std::vector<StoreEntry>>)>;
  using PageHandler = std::function<void(base::Result<StorePage>)>;
  // True if the write took place, false if the revision was another.
  using SwapHandler = std::function<void(base::Result<bool>)>;
  using LeaseHandler = std::function<void(base::Result<LeaseId>)>;
  using ChangesHandler = std::function<void(base::Result<StoreChanges>)>;

  // The references must outlive the client.
  StoreClient(net::HttpClient& http,
              std::vector<base::SocketAddress> addresses,
              std::chrono::milliseconds timeout,
              AnyStoreProtocol form = AnyStoreProtocol::Of(EtcdProtocol()));

  // All entries whose key begins with `prefix`, in the order of the keys.
  void ListPrefix(const std::string& prefix,
                  Freshness freshness,
                  EntriesHandler handler);
  // The same of now, with the store's revision of the first part of it.
  void ListPage(const std::string& prefix, PageHandler handler);
  // The entry of `key`: one, or none.
  void Read(const std::string& key, EntriesHandler handler);
  // The same, with the store's revision.
  void ReadPage(const std::string& key, PageHandler handler);
  // Writes `value` if the key's revision is `expected`; zero: no such key.
  void CompareAndSwap(const std::string& key,
                      int64_t expected,
                      const std::string& value,
                      LeaseId lease,
                      SwapHandler handler);
  // A lease that ends `time_to_live` after it was last kept alive.
  void GrantLease(std::chrono::milliseconds time_to_live, LeaseHandler handler);
  // False if the lease has ended.
  void KeepAlive(LeaseId lease, SwapHandler handler);
  // Whether the form knows of watches; if not, changes are found by reading.
  bool CanWatch() const { return form_.can_watch; }
  // Whether listings that may be old count toward the store's rate; if not,
  // any number of nodes may ask for them at once.
  bool CountsStaleListings() const { return form_.counts_stale_listings; }
  // Changes of keys that begin with `prefix` after the revision `after`, as
  // soon as there are any; none after `wait`. An error if no answer came
  // `patience` later.
  void Watch(const std::string& prefix,
             int64_t after,
             std::chrono::milliseconds wait,
             std::chrono::milliseconds grace,
             ChangesHandler handler);

  // Calls that have ended.
  const StoreCallCounts& calls() const { return calls_; }

 private:
  using AnswerHandler = std::function<void(base::Result<net::HttpAnswer>)>;

  void ListFrom(const std::string& prefix,
                Freshness freshness,
                StorePage listed,
                PageHandler handler);
  void Call(net::HttpRequest request,
            std::chrono::milliseconds timeout,
            CallKind kind,
            AnswerHandler handler);

  net::HttpClient& http_;
  std::vector<base::SocketAddress> addresses_;
  std::chrono::milliseconds timeout_;
  AnyStoreProtocol form_;
  size_t current_ = 0;
  StoreCallCounts calls_;
};

}  // namespace chestnutport::store

#endif  // STORE_STORE_CLIENT_H_
