#include "memory/memory_budget.h"

#include <algorithm>
#include <utility>

namespace chestnutport::memory {

bool MemoryBudget::HasRoom(size_t bytes) const {
  return held_ <= limit_ && bytes <= limit_ - held_;
}

size_t MemoryBudget::HeldBy(CallerId caller) const {
  const auto found = held_by_.find(caller);
  return found == held_by_.end() ? 0 : found->second;
}

MemoryReservation MemoryBudget::Reserve(CallerId caller, size_t bytes) {
  held_ += bytes;
  held_by_[caller] += bytes;
  return {shared_from_this(), caller, bytes};
}

void MemoryBudget::Release(CallerId caller, size_t bytes) {
  held_ -= bytes;
  const auto found = held_by_.find(caller);
  found->second -= bytes;
  if (found->second == 0)
    held_by_.erase(found);
  if (!waiting_.empty() && on_room_)
    on_room_();
}

std::optional<MemoryReservation> MemoryBudget::TryReserve(CallerId caller,
                                                          size_t bytes) {
  if (!CanReserve(bytes))
    return std::nullopt;
  return Reserve(caller, bytes);
}

void MemoryBudget::Wait(TicketId ticket, CallerId caller, size_t bytes) {
  waiting_.push_back({ticket, bytes, caller});
}

void MemoryBudget::Cancel(TicketId ticket) {
  const auto cancelled = std::erase_if(
      waiting_,
      [ticket](const Waiting& waiting) { return waiting.ticket == ticket; });
  // It may have been the one that did not fit.
  if (cancelled > 0 && !waiting_.empty() && on_room_)
    on_room_();
}

std::optional<MemoryBudget::Granted> MemoryBudget::TakeGranted() {
  const auto next = std::ranges::min_element(
      waiting_, {},
      [this](const Waiting& waiting) { return HeldBy(waiting.caller); });
  if (next == waiting_.end() || !HasRoom(next->bytes))
    return std::nullopt;
  const Waiting granted = *next;
  waiting_.erase(next);
  return Granted{granted.ticket, Reserve(granted.caller, granted.bytes)};
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget,
                                     MemoryBudget::CallerId caller,
                                     size_t bytes)
    : budget_(std::move(budget)), caller_(caller), bytes_(bytes) {}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      caller_(other.caller_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(caller_, other.caller_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

MemoryReservation::~MemoryReservation() {
  if (budget_ && bytes_ > 0)
    budget_->Release(caller_, bytes_);
}

MemoryReservation MemoryReservation::Split(size_t bytes) {
  const size_t part = std::min(bytes, bytes_);
  bytes_ -= part;
  return {budget_, caller_, part};
}

}  // namespace chestnutport::memory
