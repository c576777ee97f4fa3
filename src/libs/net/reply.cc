#include "net/reply.h"

#include <utility>

#include "net/http_exchange.h"

namespace chestnutport::net {

Reply::Reply(HttpExchange* exchange) : exchange_(exchange) {
  exchange_->Attach(this);
}

Reply::Reply(Reply&& other) noexcept
    : exchange_(std::exchange(other.exchange_, nullptr)) {
  if (exchange_)
    exchange_->Attach(this);
}

Reply& Reply::operator=(Reply&& other) noexcept {
  if (this == &other)
    return *this;
  Abort();
  exchange_ = std::exchange(other.exchange_, nullptr);
  if (exchange_)
    exchange_->Attach(this);
  return *this;
}

Reply::~Reply() {
  Abort();
}

void Reply::Send(HttpAnswer answer) {
  if (HttpExchange* exchange = std::exchange(exchange_, nullptr))
    exchange->Send(std::move(answer));
}

void Reply::Start(int status,
                  HttpHeaders headers,
                  std::optional<uint64_t> length) {
  if (exchange_)
    exchange_->Start(status, std::move(headers), length);
}

void Reply::Write(std::string_view bytes) {
  if (exchange_)
    exchange_->Write(bytes);
}

void Reply::Finish() {
  if (HttpExchange* exchange = std::exchange(exchange_, nullptr))
    exchange->Finish();
}

void Reply::Abort() {
  if (HttpExchange* exchange = std::exchange(exchange_, nullptr))
    exchange->Abort();
}

bool Reply::IsHeadTaken() const {
  return exchange_ && exchange_->IsHeadTaken();
}

size_t Reply::buffered() const {
  return exchange_ ? exchange_->buffered() : 0;
}

void Reply::ReadBody(std::function<bool(std::string part)> handler) {
  if (exchange_)
    exchange_->ReadBody(std::move(handler));
}

void Reply::ContinueBody() {
  if (exchange_)
    exchange_->ContinueBody();
}

size_t Reply::BufferSize() const {
  return exchange_ ? exchange_->BufferSize() : 0;
}

void Reply::OnGone(std::function<void()> handler) {
  if (exchange_)
    exchange_->set_on_gone(std::move(handler));
}

void Reply::OnDrained(std::function<void()> handler) {
  if (exchange_)
    exchange_->set_on_drained(std::move(handler));
}

}  // namespace chestnutport::net
