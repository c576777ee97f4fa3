// Reading an answer on a connection to a server or another node.
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include "base/text.h"
#include "http_client/http_client_connection.h"
#include "http_client/http_transfer.h"

namespace chestnutport::http_client {
namespace {

// Bytes of a head, and of what else the parser takes as a whole: the length and
// the extensions of a chunk, the trailer.
constexpr uint32_t kLargestHead = 64 * 1024;
// Of interim answers and those to other requests, before the one to a request:
// their bytes, and what each counts for at least.
constexpr size_t kMaxSkippedBytes = 4 * 1024 * 1024;
constexpr size_t kMinSkippedBytes = 64 * 1024;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kFirstStatusAfterSuccess = 300;
// Of the time for which the other end says that it keeps a connection, what is
// relied on: it counts from when it sent, and its clock may round down.
constexpr double kKeptShare = 0.8;

// The time a kept connection may stay idle, by its Keep-Alive header.
std::optional<base::Duration> KeptFor(const net::HttpHeaders& headers) {
  for (const auto part :
       base::Split(net::FindHeader(headers, "Keep-Alive"), ',')) {
    std::string_view word = base::Trim(part);
    constexpr std::string_view kTimeout = "timeout=";
    if (!word.starts_with(kTimeout))
      continue;
    word.remove_prefix(kTimeout.size());
    int64_t seconds = 0;
    if (base::ParseNumber(word, &seconds) && seconds >= 0) {
      return std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(static_cast<double>(seconds) *
                                        kKeptShare));
    }
  }
  return std::nullopt;
}

}  // namespace

bool HttpClientConnection::Parse() {
  if (closed_ || !transfer_ || transfer_->is_paused)
    return false;
  if (!parser_) {
    if (in_.empty())
      return false;
    parser_.emplace();
    parser_->header_limit(kLargestHead);
    parser_->body_limit(std::numeric_limits<uint64_t>::max());
    parser_->eager(false);
    parser_->skip(transfer_->is_head);
    head_done_ = false;
    skips_answer_ = false;
  }
  return head_done_ ? ParseBody() : ParseHead();
}

// Gives the parser what was read; false if it wants more, or failed.
bool HttpClientConnection::Feed() {
  if (in_.empty())
    return false;
  boost::system::error_code error;
  const size_t before = in_.size();
  const bool goes_on = net::FeedParser(*parser_, in_, error);
  if (transfer_->answer.status == 0)
    transfer_->read_before_body += before - in_.size();
  const bool is_too_large = (!goes_on && in_.size() > kLargestHead) ||
                            transfer_->read_before_body > kMaxSkippedBytes;
  if (error || is_too_large) {
    Fail(TransferEnd::kLost);
    return false;
  }
  return goes_on;
}

bool HttpClientConnection::ParseHead() {
  if (!Feed())
    return false;
  if (!parser_->is_header_done())
    return true;
  head_done_ = true;
  parser_->eager(true);
  const unsigned status = parser_->get().result_int();
  // Neither an interim answer nor one that a caller could make use of: RFC 9110
  // section 15.
  if (status < kFirstStatus || status > kLastStatus) {
    Fail(TransferEnd::kLost);
    return false;
  }
  net::HttpAnswer head{.status = static_cast<int>(status),
                       .headers = net::ToHeaders(parser_->get().base()),
                       .body = ""};
  const std::string_view tag =
      client_.options().answer_tag.empty()
          ? std::string_view()
          : net::FindHeader(head.headers, client_.options().answer_tag);
  const bool is_interim = status < kFirstFinalStatus;
  const bool is_others = !tag.empty() && tag != transfer_->tag;
  skips_answer_ = is_interim || is_others;
  if (skips_answer_) {
    client_.CountSkipped(is_others);
    transfer_->read_before_body += kMinSkippedBytes;
  } else {
    transfer_->answer = std::move(head);
    if (const auto kept = KeptFor(transfer_->answer.headers))
      usable_until_ = client_.loop().now() + *kept;
    HttpTransfer& transfer = *transfer_;
    if (transfer.on_head)
      transfer.is_streamed = transfer.on_head(transfer.answer);
    if (closed_ || transfer_ != &transfer)
      return false;
  }
  if (parser_->is_done()) {
    OnAnswerWhole();
    return !closed_;
  }
  return true;
}

bool HttpClientConnection::ParseBody() {
  const bool more = Feed();
  if (closed_ || !HandOn())
    return false;
  if (!parser_->is_done())
    return more;
  OnAnswerWhole();
  return !closed_;
}

bool HttpClientConnection::HandOn() {
  if (!transfer_->held_part.empty())
    return TakePart(std::exchange(transfer_->held_part, {}));
  transfer_->is_paused = false;
  if (!parser_)
    return true;
  std::string part = std::exchange(parser_->get().body(), {});
  if (part.empty() || skips_answer_)
    return true;
  return TakePart(std::move(part));
}

bool HttpClientConnection::TakePart(std::string part) {
  HttpTransfer& transfer = *transfer_;
  if (!transfer.is_streamed) {
    if (transfer.answer.body.size() + part.size() >
        client_.options().largest_answer) {
      Fail(TransferEnd::kLost);
      return false;
    }
    if (transfer.answer.body.empty())
      transfer.answer.body = std::move(part);
    else
      transfer.answer.body.append(part);
    return true;
  }
  if (transfer.streamed + part.size() > client_.options().largest_stream) {
    Fail(TransferEnd::kLost);
    return false;
  }
  const bool taken = transfer.on_body(part);
  if (closed_ || transfer_ != &transfer)
    return false;
  transfer.is_paused = !taken;
  if (!taken) {
    transfer.held_part = std::move(part);
    Watch();
    return false;
  }
  transfer.streamed += part.size();
  // It may have paused in the middle of the last part of an answer.
  if (parser_ && parser_->is_done() && parser_->get().body().empty()) {
    OnAnswerWhole();
    return false;
  }
  return true;
}

bool HttpClientConnection::IsRequestRead(unsigned status) const {
  if (!IsRequestSent())
    return false;
  return !transfer_->has_body || status < kFirstStatusAfterSuccess ||
         client_.options().answers_after_reading;
}

void HttpClientConnection::OnAnswerWhole() {
  const unsigned status = parser_->get().result_int();
  const bool is_interim = status < kFirstFinalStatus;
  const bool keeps = parser_->keep_alive() && !is_interim;
  const bool skipped = std::exchange(skips_answer_, false);
  parser_.reset();
  head_done_ = false;
  if (skipped) {
    // The connection ends with another request's answer: ours never comes.
    if (!keeps && !is_interim)
      Fail(TransferEnd::kLost);
    return;
  }
  const bool is_clean = IsRequestRead(status) && in_.empty();
  if (is_clean)
    base::FreeIfLarge(in_);
  HttpTransfer& done = *std::exchange(transfer_, nullptr);
  done.connection = nullptr;
  if (keeps && is_clean)
    client_.OnIdle(*this);
  else
    client_.Retire(*this);
  client_.Finish(done, TransferEnd::kComplete);
}

}  // namespace chestnutport::http_client
