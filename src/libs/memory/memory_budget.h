// Divides a listener's memory for heads or bodies of requests among the
// requests that it receives. No I/O.
#ifndef MEMORY_MEMORY_BUDGET_H_
#define MEMORY_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace chestnutport::memory {

class MemoryReservation;

// Memory is reserved for a whole head or body before it is read, so that those
// that are received at the same time cannot block each other. Requests for
// which there is no room wait; the next one is of the caller who holds the
// least, so that many uploads of one caller do not keep the others away. For
// one thread.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  using CallerId = uint64_t;
  using TicketId = uint64_t;

  // `limit`: bytes.
  explicit MemoryBudget(size_t limit) : limit_(limit) {}

  // Takes effect for later reservations.
  void set_limit(size_t limit) { limit_ = limit; }
  size_t limit() const { return limit_; }
  size_t held() const { return held_; }
  size_t waiting() const { return waiting_.size(); }

  // Called when bytes were released while requests wait; may be empty. Must not
  // call back into the budget.
  void set_on_room(std::function<void()> handler) {
    on_room_ = std::move(handler);
  }

  // Whether a body of this size is ever granted.
  bool CanHold(size_t bytes) const { return bytes <= limit_; }
  // Whether TryReserve() would grant `bytes` now.
  bool CanReserve(size_t bytes) const {
    return waiting_.empty() && HasRoom(bytes);
  }
  // Reserves `bytes` unless there is no room, or others wait for it.
  std::optional<MemoryReservation> TryReserve(CallerId caller, size_t bytes);
  // Queues a request for `bytes` under `ticket`.
  void Wait(TicketId ticket, CallerId caller, size_t bytes);
  void Cancel(TicketId ticket);
  // Takes the next waiting request for which there is room, if any.
  struct Granted;
  std::optional<Granted> TakeGranted();

 private:
  friend class MemoryReservation;

  struct Waiting {
    TicketId ticket = 0;
    size_t bytes = 0;
    CallerId caller = 0;
  };

  bool HasRoom(size_t bytes) const;
  size_t HeldBy(CallerId caller) const;
  MemoryReservation Reserve(CallerId caller, size_t bytes);
  void Release(CallerId caller, size_t bytes);

  size_t limit_;
  size_t held_ = 0;
  absl::flat_hash_map<CallerId, size_t> held_by_;
  std::vector<Waiting> waiting_;  // In the order of arrival.
  std::function<void()> on_room_;
};

// Memory that is reserved for a body, in bytes; released when it is destroyed.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> budget,
                    MemoryBudget::CallerId caller,
                    size_t bytes);
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  ~MemoryReservation();

  size_t bytes() const { return bytes_; }
  // Moves at most `bytes` of this reservation to a new one.
  MemoryReservation Split(size_t bytes);

 private:
  // Shared: bodies may outlive the listener that received them.
  std::shared_ptr<MemoryBudget> budget_;
  MemoryBudget::CallerId caller_ = 0;
  size_t bytes_ = 0;
};

struct MemoryBudget::Granted {
  TicketId ticket = 0;
  MemoryReservation reservation;
};

}  // namespace chestnutport::memory

#endif  // MEMORY_MEMORY_BUDGET_H_
