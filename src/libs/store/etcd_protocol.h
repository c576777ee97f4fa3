// The etcd v3 protocol in JSON: /v3/kv/range, /v3/kv/txn, /v3/lease/grant,
// /v3/lease/keepalive and /v3/lease/revoke. Watches are not supported.
#ifndef STORE_ETCD_PROTOCOL_H_
#define STORE_ETCD_PROTOCOL_H_

#include "store/store_protocol.h"

namespace chestnutport::store {

class EtcdProtocol {
 public:
  net::HttpRequest List(const std::string& prefix,
                        const std::string& after,
                        store::Freshness freshness) const;
  base::Result<StorePage> ParsePage(const net::HttpAnswer& answer) const;
  net::HttpRequest Read(const std::string& key, Freshness freshness) const;
  base::Result<StorePage> ParseEntry(const net::HttpAnswer& answer) const;
  net::HttpRequest Swap(const StoreSwap& swap) const;
  base::Result<bool> ParseSwap(const net::HttpAnswer& answer) const;
  int64_t ParseWrittenRevision(const net::HttpAnswer& answer) const;
  net::HttpRequest Grant(std::chrono::milliseconds time_to_live) const;
  base::Result<LeaseId> ParseGrant(const net::HttpAnswer& answer) const;
  net::HttpRequest KeepAlive(LeaseId lease) const;
  base::Result<bool> ParseKeepAlive(const net::HttpAnswer& answer) const;
  net::HttpRequest EndLease(LeaseId lease) const;
  base::Result<bool> ParseEndLease(const net::HttpAnswer& answer) const;
  net::HttpRequest Watch(const std::string& prefix,
                         int64_t after,
                         std::chrono::milliseconds wait) const;
  base::Result<StoreChanges> ParseChanges(const net::HttpAnswer& answer) const;
  bool CanWatch() const { return false; }
  bool CountsStaleReads() const { return true; }
};

}  // namespace chestnutport::store

#endif  // STORE_ETCD_PROTOCOL_H_
