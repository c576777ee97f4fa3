// The bodies of requests on a caller's connection: memory for them, those that
// are refused, and those that are streamed.
#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/text.h"
#include "net/error_answer.h"
#include "net/http_connection.h"

namespace chestnutport::net {
namespace {

constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

bool HttpConnection::BeginBody() {
  if (refusal_) {
    RefuseEarly();
    return true;
  }
  const auto length = parser_->content_length();
  if (length && *length > server_.limits().largest_body) {
    RefuseBody(base::ErrorKind::kBodyTooLarge, *length);
    return true;
  }
  if (length && *length > server_.limits().stream_above) {
    DispatchStreamed(*length);
    return true;
  }
  AdmitBody(BytesToReserve());
  return ticket_ == 0;
}

size_t HttpConnection::BytesToReserve() const {
  const auto length = parser_->content_length();
  return length ? *length
                : std::min(kLargestSmallBody, server_.limits().largest_body);
}

void HttpConnection::AdmitBody(size_t bytes) {
  memory::MemoryBudget& budget = server_.BudgetFor(bytes);
  const bool is_large = bytes > kLargestSmallBody;
  admission_.caller = peer_;
  if (is_large || !budget.CanReserve(bytes)) {
    admission_ = server_.AdmitBody(request_);
    if (admission_.caller == 0)
      admission_.caller = peer_;
  }
  if (admission_.rejection) {
    refusal_ = std::move(admission_.rejection);
    RefuseEarly();
    return;
  }
  body_moved_at_ = server_.loop().now();
  if (auto reserved = budget.TryReserve(admission_.caller, bytes)) {
    body_.AddReservation(std::move(*reserved));
    SendContinue();
  } else if (budget.CanHold(bytes) && server_.MayWaitForMemory() &&
             admission_.max_wait > base::Duration::zero()) {
    WaitForMemory(budget, admission_.caller, bytes, admission_.max_wait);
  } else {
    RefuseBody(base::ErrorKind::kOverloaded, bytes);
  }
}

void HttpConnection::WaitForMemory(memory::MemoryBudget& budget,
                                   memory::MemoryBudget::CallerId caller,
                                   size_t bytes,
                                   base::Duration max_wait) {
  wait_began_ = server_.loop().now();
  max_wait_ = max_wait;
  awaited_bytes_ = bytes;
  ticket_ = server_.WaitForMemory(*this, budget, caller, bytes);
  // The caller is not late while it is not read.
  close_at_ = base::Instant::max();
  wait_timer_ = server_.loop().CallAfter(max_wait, [this] { OnWaitEnded(); });
}

void HttpConnection::OnWaitEnded() {
  wait_timer_ = 0;
  server_.CancelWait(std::exchange(ticket_, 0));
  if (parser_) {
    RefuseBody(base::ErrorKind::kOverloaded, awaited_bytes_);
  } else {
    is_head_refused_ = true;
    close_at_ = server_.loop().now() + server_.limits().to_send_request;
  }
  ReadSoon();
}

void HttpConnection::GrantMemory(memory::MemoryReservation reservation) {
  ticket_ = 0;
  server_.loop().Cancel(std::exchange(wait_timer_, 0));
  const base::Instant now = server_.loop().now();
  close_at_ = now + server_.limits().to_send_request;
  if (parser_) {
    body_.AddReservation(std::move(reservation));
    body_moved_at_ = now;
    SendContinue();
    // Of a body whose length was not known.
    if (!held_part_.empty())
      body_.Append(std::exchange(held_part_, {}));
  } else {
    head_memory_ = std::move(reservation);
    has_head_memory_ = true;
  }
  ReadSoon();
}

BodyRefusal HttpConnection::MakeRefusal(const memory::MemoryBudget& budget,
                                        base::ErrorKind error,
                                        size_t bytes) const {
  const base::Duration waited = wait_began_ == base::Instant()
                                    ? base::Duration()
                                    : server_.loop().now() - wait_began_;
  return {.error = error,
          .bytes = bytes,
          .held = budget.held(),
          .limit = budget.limit(),
          .waiting = budget.waiting(),
          .waited = waited,
          .max_wait = max_wait_};
}

void HttpConnection::RefuseBody(base::ErrorKind error, size_t bytes) {
  max_wait_ = admission_.max_wait;
  refusal_ = server_.RefuseBody(
      request_, MakeRefusal(server_.BudgetFor(bytes), error, bytes));
  RefuseEarly();
}

void HttpConnection::RefuseEarly() {
  // A caller that expects to be asked for the body may not send it, so that
  // what follows cannot be told from it.
  const bool closes_after = !parser_->keep_alive() || expects_continue_;
  HttpExchange& exchange = AddExchange(closes_after);
  exchange.Send(*std::exchange(refusal_, std::nullopt));
  StopReadingBody();
  is_answered_ = true;
  close_at_ = server_.loop().now() + server_.limits().to_send_request;
  if (closes_after) {
    EndRequest();
    StopReading();
  }
}

void HttpConnection::DispatchStreamed(uint64_t body_bytes) {
  SendContinue();
  const bool closes_after = !parser_->keep_alive();
  HttpExchange& exchange = AddExchange(closes_after);
  streamed_ = &exchange;
  close_at_ = base::Instant::max();
  request_.unread_body = body_bytes;
  Reply reply(&exchange);
  if (HasCallerClosed())
    exchange.Detach();
  server_.Handle(std::exchange(request_, {}), std::move(reply));
}

void HttpConnection::SendContinue() {
  if (!std::exchange(expects_continue_, false) || !exchanges_.empty())
    return;
  out_.append(kContinue);
  FlushSoon();
}

void HttpConnection::TakeBodyPart() {
  std::string part = std::exchange(parser_->get().body(), {});
  if (part.empty() || is_answered_)
    return;
  if (streamed_) {
    streamed_->GiveBodyPart(std::move(part));
    // The caller is not late while it is not read.
    close_at_ = streamed_->TakesBody()
                    ? server_.loop().now() + server_.limits().to_send_request
                    : base::Instant::max();
    return;
  }
  if (body_.size() + part.size() > server_.limits().largest_body) {
    RefuseBody(base::ErrorKind::kBodyTooLarge, body_.size() + part.size());
  } else if (part.size() <= body_.room()) {
    body_moved_at_ = server_.loop().now();
    body_.Append(part);
  } else {
    // The length is not known, so the body is taken for the longest.
    held_part_ = std::move(part);
    AdmitBody(std::max(server_.limits().largest_body, kLargestSmallBody + 1));
    if (ticket_ == 0 && !is_answered_)
      body_.Append(std::exchange(held_part_, {}));
  }
}

void HttpConnection::StopReadingBody() {
  if (ticket_ != 0)
    server_.CancelWait(std::exchange(ticket_, 0));
  server_.loop().Cancel(std::exchange(wait_timer_, 0));
  body_.Reset();
  base::FreeMemory(held_part_);
}

bool HttpConnection::IsBodyStalled(base::Instant since) const {
  return parser_ && !is_answered_ && ticket_ == 0 && body_.room() > 0 &&
         body_moved_at_ < since;
}

void HttpConnection::GiveUpBody() {
  RefuseBody(base::ErrorKind::kOverloaded, body_.size() + body_.room());
  ReadSoon();
}

void HttpConnection::ReadSoon() {
  if (closed_ || std::exchange(read_soon_, true))
    return;
  server_.loop().Defer(this, [this] {
    read_soon_ = false;
    if (closed_)
      return;
    if (streamed_ && streamed_->TakesBody())
      close_at_ = server_.loop().now() + server_.limits().to_send_request;
    Parse();
    if (!closed_)
      Watch();
  });
}

}  // namespace chestnutport::net
