#include "support/load.h"

#include <future>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/wait.h"
#include "wire/header_names.h"

namespace chestnutport::test {
namespace {

http_client::HttpClientOptions ClientOptions() {
  http_client::HttpClientOptions options;
  options.connections_per_host = 1024;
  return options;
}

}  // namespace

Load::Load(LoadOptions options, std::vector<base::SocketAddress> nodes)
    : options_(std::move(options)),
      nodes_(std::move(nodes)),
      random_(options_.seed),
      client_(loop_, ClientOptions()) {
  active_callers_ = options_.callers;
  for (int i = 0; i < options_.callers; ++i)
    loop_.Post([this] { SendNext(); });
  thread_ = std::thread([this] { loop_.Run(); });
}

Load::~Load() {
  Stop();
}

void Load::SetNodes(std::vector<base::SocketAddress> nodes) {
  loop_.Post([this, nodes = std::move(nodes)] { nodes_ = nodes; });
}

bool Load::WaitForMore(size_t count) {
  const size_t wanted = completed_ + count;
  return WaitUntil([&] { return completed_ >= wanted; },
                   std::chrono::minutes(1));
}

bool Load::WaitForMoreAndPending(size_t count) {
  if (!WaitForMore(count))
    return false;
  std::promise<uint64_t> newest;
  loop_.Post([&] { newest.set_value(last_id_); });
  const uint64_t last = newest.get_future().get();
  return WaitUntil([&] { return oldest_pending_ > last; },
                   std::chrono::minutes(1));
}

std::vector<CallRecord> Load::Stop() {
  if (thread_.joinable()) {
    loop_.Post([this] { stopping_ = true; });
    thread_.join();
  }
  return std::exchange(records_, {});
}

void Load::SendNext() {
  if (stopping_) {
    if (--active_callers_ == 0)
      loop_.Stop();
    return;
  }
  const bool repeatable =
      random_() % 100 < static_cast<uint64_t>(options_.repeatable_share);
  pending_.insert(++last_id_);
  UpdateOldestPending();
  Send(last_id_, repeatable, 0);
}

std::string Load::RequestId(uint64_t number) const {
  return absl::StrCat(options_.prefix, "-", number);
}

void Load::UpdateOldestPending() {
  oldest_pending_ = pending_.empty() ? last_id_ + 1 : *pending_.begin();
}

void Load::Send(uint64_t number, bool repeatable, size_t tries) {
  const std::string id = RequestId(number);
  const base::SocketAddress& node = nodes_[random_() % nodes_.size()];
  net::HttpRequest request;
  request.method = repeatable ? "GET" : "POST";
  request.target =
      absl::StrCat(options_.path, id, "?ms=", options_.work.count(),
                   "&bytes=", options_.answer_bytes);
  request.headers = {{"X-Request-Id", id}};
  if (!repeatable)
    request.body = id;
  const CallRecord record{.id = id,
                          .repeatable = repeatable,
                          .node = node,
                          .sent_at = base::Clock::now()};
  client_.Send(
      node, std::move(request), options_.timeout,
      [this, number, record, tries](const http_client::TransferResult& r) {
        OnDone(number, record, tries, r);
      });
}

void Load::OnDone(uint64_t number,
                  CallRecord record,
                  size_t tries,
                  const http_client::TransferResult& result) {
  if (result.end == http_client::TransferEnd::kNotSent &&
      tries < 10 * nodes_.size()) {
    Send(number, record.repeatable, tries + 1);
    return;
  }
  const net::HttpAnswer& answer = result.answer;
  record.end = result.end;
  record.ended_at = base::Clock::now();
  record.leaving_server = net::FindHeader(answer.headers, "X-Leaving");
  record.status = answer.status;
  record.outcome = net::FindHeader(answer.headers, wire::kOutcomeHeader);
  record.error = net::FindHeader(answer.headers, wire::kErrorHeader);
  record.is_own_whole_answer = IsOwnWholeAnswer(record.id, answer.body);
  records_.push_back(std::move(record));
  ++completed_;
  pending_.erase(number);
  UpdateOldestPending();
  loop_.CallAfter(options_.pause, [this] { SendNext(); });
}

bool Load::IsOwnWholeAnswer(const std::string& id,
                            const std::string& body) const {
  const std::string mark = absl::StrCat("[", id, "]");
  const size_t size =
      2 * mark.size() + static_cast<size_t>(options_.answer_bytes);
  return body.size() == size && absl::StartsWith(body, mark) &&
         absl::EndsWith(body, mark);
}

}  // namespace chestnutport::test
