#include "store/store_client.h"

#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"

namespace chestnutport::store {
namespace {

using base::ErrorKind;
using base::make_error_code;

constexpr int kTooManyRequests = 429;

}  // namespace

StoreClient::StoreClient(http_client::HttpClient& http,
                         std::vector<base::SocketAddress> addresses,
                         std::chrono::milliseconds timeout,
                         AnyStoreProtocol form)
    : http_(http),
      addresses_(std::move(addresses)),
      timeout_(timeout),
      form_(std::move(form)),
      reads_(http) {}

void StoreClient::ListPrefix(const std::string& prefix,
                             Freshness freshness,
                             EntriesHandler handler) {
  ListFrom(prefix, freshness, {},
           [handler = std::move(handler)](base::Result<StorePage> page) {
             if (!page)
               handler(page.error());
             else
               handler(std::move(page.value().entries));
           });
}

void StoreClient::ListPage(const std::string& prefix,
                           Freshness freshness,
                           PageHandler handler) {
  ListFrom(prefix, freshness, {}, std::move(handler));
}

void StoreClient::ListFrom(const std::string& prefix,
                           Freshness freshness,
                           StorePage listed,
                           PageHandler handler) {
  const std::string after =
      listed.entries.empty() ? "" : listed.entries.back().key;
  Call(form_.list(prefix, after, freshness), timeout_, CallKind::kList,
       [this, prefix, freshness, listed = std::move(listed),
        handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) mutable {
         if (!answer) {
           handler(answer.error());
           return;
         }
         auto page = form_.parse_page(answer.value());
         if (!page) {
           handler(page.error());
           return;
         }
         if (page.value().without_key > 0) {
           telemetry::LogEvent(
               telemetry::Event::kStoreEntryUnreadable,
               {{"key", absl::StrCat(prefix, " (not said)")},
                {"entries", absl::StrCat(page.value().without_key)}});
         }
         const bool has_more =
             page.value().has_more && !page.value().entries.empty();
         if (listed.as_of == 0)
           listed.as_of = page.value().as_of;
         std::ranges::move(page.value().entries,
                           std::back_inserter(listed.entries));
         if (has_more)
           ListFrom(prefix, freshness, std::move(listed), std::move(handler));
         else
           handler(std::move(listed));
       });
}

void StoreClient::Read(const std::string& key, EntriesHandler handler) {
  ReadPage(key, Freshness::kLatest,
           [handler = std::move(handler)](base::Result<StorePage> page) {
             if (!page)
               handler(page.error());
             else
               handler(std::move(page.value().entries));
           });
}

void StoreClient::ReadPage(const std::string& key,
                           Freshness freshness,
                           PageHandler handler) {
  Call(form_.read(key, freshness), timeout_, CallKind::kRead,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_entry(answer.value()) : answer.error());
       });
}

void StoreClient::CompareAndSwap(const std::string& key,
                                 int64_t expected,
                                 const std::string& value,
                                 LeaseId lease,
                                 SwapHandler handler) {
  Call(form_.swap({key, expected, value, lease}), timeout_, CallKind::kWrite,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_swap(answer.value()) : answer.error());
       });
}

void StoreClient::Write(const std::string& key,
                        int64_t expected,
                        const std::string& value,
                        LeaseId lease,
                        WriteHandler handler) {
  Call(form_.swap({key, expected, value, lease}), timeout_, CallKind::kWrite,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         const auto written =
             answer ? form_.parse_swap(answer.value()) : answer.error();
         if (!written) {
           handler(written.error());
           return;
         }
         if (!written.value()) {
           handler(std::optional<int64_t>());
           return;
         }
         const int64_t revision = form_.parse_written_revision(answer.value());
         if (revision == 0)
           handler(make_error_code(ErrorKind::kStoreOutcomeUnknown));
         else
           handler(std::optional<int64_t>(revision));
       });
}

void StoreClient::GrantLease(std::chrono::milliseconds time_to_live,
                             LeaseHandler handler) {
  Call(form_.grant(time_to_live), timeout_, CallKind::kLease,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_grant(answer.value()) : answer.error());
       });
}

void StoreClient::KeepAlive(LeaseId lease, SwapHandler handler) {
  Call(form_.keep_alive(lease), timeout_, CallKind::kLease,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_keep_alive(answer.value())
                        : answer.error());
       });
}

void StoreClient::EndLease(LeaseId lease, SwapHandler handler) {
  Call(form_.end_lease(lease), timeout_, CallKind::kLease,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_end_lease(answer.value())
                        : answer.error());
       });
}

void StoreClient::Watch(const std::string& prefix,
                        int64_t after,
                        std::chrono::milliseconds wait,
                        std::chrono::milliseconds grace,
                        ChangesHandler handler) {
  Call(form_.watch(prefix, after, wait), wait + grace, CallKind::kWatch,
       [this, handler = std::move(handler)](
           const base::Result<net::HttpAnswer>& answer) {
         handler(answer ? form_.parse_changes(answer.value()) : answer.error());
       });
}

void StoreClient::Call(net::HttpRequest request,
                       std::chrono::milliseconds timeout,
                       CallKind kind,
                       AnswerHandler handler) {
  const base::SocketAddress& to = addresses_[current_];
  if (kind != CallKind::kRead && kind != CallKind::kList) {
    http_.Send(to, std::move(request), timeout,
               [this, kind, handler = std::move(handler)](
                   http_client::TransferResult result) {
                 if (result.end != http_client::TransferEnd::kComplete)
                   calls_.Add(kind, CallResult::kNoAnswer);
                 OnResult(std::move(result), kind, handler);
               });
    return;
  }
  const base::SocketAddress& second =
      addresses_[(current_ + 1) % addresses_.size()];
  reads_.Send(to, second, std::move(request), timeout,
              [this, kind, handler = std::move(handler)](
                  http_client::TransferResult result, int unanswered) {
                calls_.Add(kind, CallResult::kNoAnswer, unanswered);
                OnResult(std::move(result), kind, handler);
              });
}

void StoreClient::OnResult(http_client::TransferResult result,
                           CallKind kind,
                           const AnswerHandler& handler) {
  if (result.end == http_client::TransferEnd::kComplete) {
    // The next call goes to another address if this one refuses calls.
    const bool is_refused = result.answer.status >= kTooManyRequests;
    calls_.Add(kind, is_refused ? CallResult::kRefused : CallResult::kAnswered);
    if (is_refused)
      current_ = (current_ + 1) % addresses_.size();
    handler(std::move(result.answer));
    return;
  }
  // The idle connections may have been lost with the one of this call.
  http_.CloseIdle(addresses_[current_]);
  current_ = (current_ + 1) % addresses_.size();
  const bool is_write = kind == CallKind::kWrite || kind == CallKind::kLease;
  const bool may_have_run =
      is_write && result.end != http_client::TransferEnd::kNotSent;
  handler(make_error_code(may_have_run ? ErrorKind::kStoreOutcomeUnknown
                                       : ErrorKind::kStoreUnavailable));
}

}  // namespace chestnutport::store
