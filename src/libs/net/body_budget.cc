#include "net/body_budget.h"

#include <algorithm>
#include <utility>

namespace chestnutport::net {

bool BodyBudget::HasRoom(size_t bytes) const {
  return held_ <= limit_ && bytes <= limit_ - held_;
}

size_t BodyBudget::HeldBy(CallerId caller) const {
  const auto found = held_by_.find(caller);
  return found == held_by_.end() ? 0 : found->second;
}

BodyReservation BodyBudget::Reserve(CallerId caller, size_t bytes) {
  held_ += bytes;
  held_by_[caller] += bytes;
  return {shared_from_this(), caller, bytes};
}

void BodyBudget::Release(CallerId caller, size_t bytes) {
  held_ -= bytes;
  const auto found = held_by_.find(caller);
  found->second -= bytes;
  if (found->second == 0)
    held_by_.erase(found);
  if (!waiting_.empty() && on_room_)
    on_room_();
}

std::optional<BodyReservation> BodyBudget::TryReserve(CallerId caller,
                                                      size_t bytes) {
  if (!CanReserve(bytes))
    return std::nullopt;
  return Reserve(caller, bytes);
}

void BodyBudget::Wait(TicketId ticket, CallerId caller, size_t bytes) {
  waiting_.push_back({ticket, bytes, caller});
}

void BodyBudget::Cancel(TicketId ticket) {
  const auto cancelled = std::erase_if(
      waiting_,
      [ticket](const Waiting& waiting) { return waiting.ticket == ticket; });
  // It may have been the one that did not fit.
  if (cancelled > 0 && !waiting_.empty() && on_room_)
    on_room_();
}

std::optional<BodyBudget::Granted> BodyBudget::TakeGranted() {
  const auto next = std::ranges::min_element(
      waiting_, {},
      [this](const Waiting& waiting) { return HeldBy(waiting.caller); });
  if (next == waiting_.end() || !HasRoom(next->bytes))
    return std::nullopt;
  const Waiting granted = *next;
  waiting_.erase(next);
  return Granted{granted.ticket, Reserve(granted.caller, granted.bytes)};
}

BodyReservation::BodyReservation(std::shared_ptr<BodyBudget> budget,
                                 BodyBudget::CallerId caller,
                                 size_t bytes)
    : budget_(std::move(budget)), caller_(caller), bytes_(bytes) {}

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      caller_(other.caller_),
      bytes_(std::exchange(other.bytes_, 0)) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(caller_, other.caller_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

BodyReservation::~BodyReservation() {
  if (budget_ && bytes_ > 0)
    budget_->Release(caller_, bytes_);
}

BodyReservation BodyReservation::Split(size_t bytes) {
  const size_t part = std::min(bytes, bytes_);
  bytes_ -= part;
  return {budget_, caller_, part};
}

}  // namespace chestnutport::net
