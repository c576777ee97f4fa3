// The JSON form of the etcd v3 protocol: /v3/kv/range, /v3/kv/txn,
// /v3/lease/grant and /v3/lease/keepalive. Its watches are not used.
#ifndef STORE_ETCD_FORM_H_
#define STORE_ETCD_FORM_H_

#include "store/store_form.h"

namespace chestnutport::store {

class EtcdForm {
 public:
  net::HttpRequest List(const std::string& prefix,
                        const std::string& after,
                        store::Freshness freshness) const;
  base::Result<StorePage> ReadPage(const net::HttpAnswer& answer) const;
  net::HttpRequest Read(const std::string& key) const;
  base::Result<StorePage> ReadEntry(const net::HttpAnswer& answer) const;
  net::HttpRequest Swap(const StoreSwap& swap) const;
  base::Result<bool> ReadSwapped(const net::HttpAnswer& answer) const;
  net::HttpRequest Grant(std::chrono::milliseconds time_to_live) const;
  base::Result<LeaseId> ReadGranted(const net::HttpAnswer& answer) const;
  net::HttpRequest KeepAlive(LeaseId lease) const;
  base::Result<bool> ReadKept(const net::HttpAnswer& answer) const;
  net::HttpRequest Watch(const std::string& prefix,
                         int64_t after,
                         std::chrono::milliseconds wait) const;
  base::Result<StoreNews> ReadNews(const net::HttpAnswer& answer) const;
  bool CanWatch() const { return false; }
  bool CountsOldListings() const { return true; }
};

}  // namespace chestnutport::store

#endif  // STORE_ETCD_FORM_H_
