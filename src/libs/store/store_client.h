// Client of the platform's key-value store, independent of its protocol.
#ifndef STORE_STORE_CLIENT_H_
#define STORE_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/socket_address.h"
#include "http_client/http_client.h"
#include "store/etcd_protocol.h"
#include "store/hedged_reads.h"
#include "store/store_call_counts.h"
#include "store/store_entry.h"
#include "store/store_protocol.h"

namespace chestnutport::store {

// Calls one of the store's addresses, and switches to the next one after a
// failure. Used only on the thread of the HTTP client's event loop. Errors:
// kStoreUnavailable if nothing was done, kStoreOutcomeUnknown if a write may
// have taken effect.
class StoreClient {
 public:
  using EntriesHandler =
      std::function<void(base::Result<std::vector<StoreEntry>>)>;
  using PageHandler = std::function<void(base::Result<StorePage>)>;
  // True if the write took effect, false if the revision did not match.
  using SwapHandler = std::function<void(base::Result<bool>)>;
  // The revision of the entry written; nothing if the revision did not match.
  using WriteHandler =
      std::function<void(base::Result<std::optional<int64_t>>)>;
  using LeaseHandler = std::function<void(base::Result<LeaseId>)>;
  using ChangesHandler = std::function<void(base::Result<StoreChanges>)>;

  // The references must outlive the client.
  StoreClient(http_client::HttpClient& http,
              std::vector<base::SocketAddress> addresses,
              std::chrono::milliseconds timeout,
              AnyStoreProtocol form = AnyStoreProtocol::Of(EtcdProtocol()));

  // Lists all entries whose keys begin with `prefix`, in the order of the keys.
  void ListPrefix(const std::string& prefix,
                  Freshness freshness,
                  EntriesHandler handler);
  // Like ListPrefix(), with the store's revision at the first page.
  void ListPage(const std::string& prefix,
                Freshness freshness,
                PageHandler handler);
  // Reads the entry of `key`. The result is empty if there is none.
  void Read(const std::string& key, EntriesHandler handler);
  // Like Read(), with the store's revision.
  void ReadPage(const std::string& key,
                Freshness freshness,
                PageHandler handler);
  // Writes `value` if the key's revision is `expected`; zero if the key must
  // not exist.
  void CompareAndSwap(const std::string& key,
                      int64_t expected,
                      const std::string& value,
                      LeaseId lease,
                      SwapHandler handler);
  // Like CompareAndSwap(), with the revision of the entry that was written.
  void Write(const std::string& key,
             int64_t expected,
             const std::string& value,
             LeaseId lease,
             WriteHandler handler);
  // Grants a lease that expires `time_to_live` after the last KeepAlive().
  void GrantLease(std::chrono::milliseconds time_to_live, LeaseHandler handler);
  // The result is false if the lease has expired.
  void KeepAlive(LeaseId lease, SwapHandler handler);
  // Ends a lease before its time, which deletes the entries written with it.
  // The result is false if the lease had ended before.
  void EndLease(LeaseId lease, SwapHandler handler);
  // Whether the protocol supports watches. Otherwise changes are found by
  // polling.
  bool CanWatch() const { return form_.can_watch; }
  // Whether reads that may be stale count towards the store's rate limit. If
  // not, any number of nodes may request them at once.
  bool CountsStaleReads() const { return form_.counts_stale_reads; }
  // Waits up to `wait` for changes of keys that begin with `prefix` after the
  // revision `after`. The result has no changes if nothing changed in that
  // time. Fails if there is no response within `wait` and `grace`.
  void Watch(const std::string& prefix,
             int64_t after,
             std::chrono::milliseconds wait,
             std::chrono::milliseconds grace,
             ChangesHandler handler);

  // Returns the counts of the calls that have ended.
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
  void OnResult(http_client::TransferResult result,
                CallKind kind,
                const AnswerHandler& handler);

  http_client::HttpClient& http_;
  std::vector<base::SocketAddress> addresses_;
  std::chrono::milliseconds timeout_;
  AnyStoreProtocol form_;
  size_t current_ = 0;
  HedgedReads reads_;
  StoreCallCounts calls_;
};

}  // namespace chestnutport::store

#endif  // STORE_STORE_CLIENT_H_
