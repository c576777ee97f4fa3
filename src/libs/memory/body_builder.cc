#include "memory/body_builder.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace chestnutport::memory {
namespace {

struct Block {
  std::string bytes;
  std::vector<MemoryReservation> reservations;
};

}  // namespace

void BodyBuilder::AddReservation(MemoryReservation reservation) {
  if (reservation.bytes() > 0)
    reservations_.push_back(std::move(reservation));
}

size_t BodyBuilder::room() const {
  size_t reserved = 0;
  for (const MemoryReservation& reservation : reservations_)
    reserved += reservation.bytes();
  return reserved - block_.size();
}

void BodyBuilder::Append(std::string_view part) {
  if (!hash_)
    hash_.emplace();
  hash_->Update(part);
  while (!part.empty()) {
    const std::string_view now = part.substr(0, kBlockBytes - block_.size());
    if (block_.empty())
      block_.reserve(std::min(kBlockBytes, room()));
    block_.append(now);
    part.remove_prefix(now.size());
    if (block_.size() == kBlockBytes)
      EndBlock();
  }
}

void BodyBuilder::EndBlock() {
  if (block_.empty())
    return;
  // The body may be shorter than what was reserved for it.
  if (block_.size() < block_.capacity() / 2)
    block_.shrink_to_fit();
  auto block = std::make_unique<Block>();
  size_t left = block_.size();
  while (left > 0 && !reservations_.empty()) {
    MemoryReservation part = reservations_.back().Split(left);
    left -= part.bytes();
    block->reservations.push_back(std::move(part));
    if (reservations_.back().bytes() == 0)
      reservations_.pop_back();
  }
  block->bytes = std::exchange(block_, {});
  const absl::string_view view(block->bytes.data(), block->bytes.size());
  bytes_.Append(
      absl::MakeCordFromExternal(view, [block = std::move(block)] {}));
}

Body BodyBuilder::Finish() {
  EndBlock();
  const uint64_t hash = hash_ ? hash_->Digest() : 0;
  Body body(std::move(bytes_), hash);
  Reset();
  return body;
}

void BodyBuilder::Reset() {
  reservations_.clear();
  bytes_.Clear();
  base::FreeMemory(block_);
  hash_.reset();
}

void AllocateLargeBlocksApart() {
  mallopt(M_MMAP_THRESHOLD, BodyBuilder::kBlockBytes);
}

}  // namespace chestnutport::memory
