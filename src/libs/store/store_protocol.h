// The protocol of a key-value store: encodes requests and parses responses.
#ifndef STORE_STORE_PROTOCOL_H_
#define STORE_STORE_PROTOCOL_H_

#include <chrono>
#include <concepts>
#include <functional>
#include <string>

#include "base/result.h"
#include "net/http_message.h"
#include "store/store_entry.h"

namespace chestnutport::store {

// A conditional write of one key: takes effect if the key's revision is
// `expected`, or if the key does not exist and `expected` is zero.
struct StoreSwap {
  std::string key;
  int64_t expected = 0;
  std::string value;
  LeaseId lease = 0;
};

// The Parse functions are called with complete responses of any status. They
// return kStoreUnavailable if nothing was done, and kStoreOutcomeUnknown if a
// write may have taken effect.
template <typename Form>
concept StoreProtocol = requires(const Form& form,
                                 const std::string& text,
                                 const StoreSwap& swap,
                                 LeaseId lease,
                                 std::chrono::milliseconds time,
                                 int64_t revision,
                                 const net::HttpAnswer& answer) {
  // Lists the entries whose keys begin with a prefix and follow a key. An empty
  // key starts with the first entry.
  {
    form.List(text, text, Freshness::kLatest)
    } -> std::same_as<net::HttpRequest>;
  { form.ParsePage(answer) } -> std::same_as<base::Result<StorePage>>;
  // Reads the entry of one key. The page is empty if there is none.
  { form.Read(text, Freshness::kLatest) } -> std::same_as<net::HttpRequest>;
  { form.ParseEntry(answer) } -> std::same_as<base::Result<StorePage>>;
  { form.Swap(swap) } -> std::same_as<net::HttpRequest>;
  { form.ParseSwap(answer) } -> std::same_as<base::Result<bool>>;
  // Returns the revision of the entry written by a swap that took effect; zero
  // if the response does not tell it.
  { form.ParseWrittenRevision(answer) } -> std::same_as<int64_t>;
  { form.Grant(time) } -> std::same_as<net::HttpRequest>;
  { form.ParseGrant(answer) } -> std::same_as<base::Result<LeaseId>>;
  { form.KeepAlive(lease) } -> std::same_as<net::HttpRequest>;
  { form.ParseKeepAlive(answer) } -> std::same_as<base::Result<bool>>;
  { form.EndLease(lease) } -> std::same_as<net::HttpRequest>;
  { form.ParseEndLease(answer) } -> std::same_as<base::Result<bool>>;
  // Waits up to a time for changes after a revision.
  { form.Watch(text, revision, time) } -> std::same_as<net::HttpRequest>;
  { form.ParseChanges(answer) } -> std::same_as<base::Result<StoreChanges>>;
  { form.CanWatch() } -> std::same_as<bool>;
  // Whether reads that may be stale count towards the store's rate limit.
  { form.CountsStaleReads() } -> std::same_as<bool>;
};

// Type-erased StoreProtocol.
struct AnyStoreProtocol {
  template <StoreProtocol Form>
  static AnyStoreProtocol Of(const Form& form) {
    return {
        .list =
            [form](const auto& prefix, const auto& after, Freshness freshness) {
              return form.List(prefix, after, freshness);
            },
        .parse_page = [form](const auto& a) { return form.ParsePage(a); },
        .read = [form](
                    const auto& key,
                    Freshness freshness) { return form.Read(key, freshness); },
        .parse_entry = [form](const auto& a) { return form.ParseEntry(a); },
        .swap = [form](const auto& swap) { return form.Swap(swap); },
        .parse_swap = [form](const auto& a) { return form.ParseSwap(a); },
        .parse_written_revision =
            [form](const auto& a) { return form.ParseWrittenRevision(a); },
        .grant = [form](auto time) { return form.Grant(time); },
        .parse_grant = [form](const auto& a) { return form.ParseGrant(a); },
        .keep_alive = [form](LeaseId lease) { return form.KeepAlive(lease); },
        .parse_keep_alive =
            [form](const auto& a) { return form.ParseKeepAlive(a); },
        .end_lease = [form](LeaseId lease) { return form.EndLease(lease); },
        .parse_end_lease =
            [form](const auto& a) { return form.ParseEndLease(a); },
        .watch = [form](const auto& prefix, int64_t after,
                        auto wait) { return form.Watch(prefix, after, wait); },
        .parse_changes = [form](const auto& a) { return form.ParseChanges(a); },
        .can_watch = form.CanWatch(),
        .counts_stale_reads = form.CountsStaleReads()};
  }

  std::function<
      net::HttpRequest(const std::string&, const std::string&, Freshness)>
      list;
  std::function<base::Result<StorePage>(const net::HttpAnswer&)> parse_page;
  std::function<net::HttpRequest(const std::string&, Freshness)> read;
  std::function<base::Result<StorePage>(const net::HttpAnswer&)> parse_entry;
  std::function<net::HttpRequest(const StoreSwap&)> swap;
  std::function<base::Result<bool>(const net::HttpAnswer&)> parse_swap;
  std::function<int64_t(const net::HttpAnswer&)> parse_written_revision;
  std::function<net::HttpRequest(std::chrono::milliseconds)> grant;
  std::function<base::Result<LeaseId>(const net::HttpAnswer&)> parse_grant;
  std::function<net::HttpRequest(LeaseId)> keep_alive;
  std::function<base::Result<bool>(const net::HttpAnswer&)> parse_keep_alive;
  std::function<net::HttpRequest(LeaseId)> end_lease;
  std::function<base::Result<bool>(const net::HttpAnswer&)> parse_end_lease;
  std::function<
      net::HttpRequest(const std::string&, int64_t, std::chrono::milliseconds)>
      watch;
  std::function<base::Result<StoreChanges>(const net::HttpAnswer&)>
      parse_changes;
  bool can_watch = false;
  bool counts_stale_reads = true;
};

}  // namespace chestnutport::store

#endif  // STORE_STORE_PROTOCOL_H_
