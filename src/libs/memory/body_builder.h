// Collects the body of a request that is being received.
#ifndef MEMORY_BODY_BUILDER_H_
#define MEMORY_BODY_BUILDER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/cord.h"
#include "base/stream_hash.h"
#include "memory/body.h"
#include "memory/memory_budget.h"

namespace chestnutport::memory {

// Keeps the bytes in blocks. Each holds its part of the reservation, and
// returns it when the last copy of the body has gone.
class BodyBuilder {
 public:
  // The allocator maps blocks of this size on their own, so that they go back
  // to the system when they are freed. See AllocateLargeBlocksApart().
  static constexpr size_t kBlockBytes = 256 * 1024;

  // Adds to the memory that the body may take.
  void AddReservation(MemoryReservation reservation);
  // Bytes that may still be appended.
  size_t room() const;
  void Append(std::string_view part);
  size_t size() const { return bytes_.size() + block_.size(); }
  // Ends the body, and releases what it does not need.
  Body Finish();
  // Drops everything.
  void Reset();

 private:
  void EndBlock();

  std::vector<MemoryReservation> reservations_;
  absl::Cord bytes_;
  std::string block_;  // Not yet part of `bytes_`.
  std::optional<base::StreamHash> hash_;
};

// Makes the allocator return freed blocks of bodies to the system. Call once,
// at the start of the process.
void AllocateLargeBlocksApart();

}  // namespace chestnutport::memory

#endif  // MEMORY_BODY_BUILDER_H_
