#include "base/stream_hash.h"

#include <xxhash.h>

namespace chestnutport::base {

void StreamHash::Deleter::operator()(XXH3_state_s* state) const {
  XXH3_freeState(state);
}

StreamHash::StreamHash() : state_(XXH3_createState()) {
  XXH3_64bits_reset(state_.get());
}

StreamHash::~StreamHash() = default;
StreamHash::StreamHash(StreamHash&& other) noexcept = default;
StreamHash& StreamHash::operator=(StreamHash&& other) noexcept = default;

void StreamHash::Update(std::string_view part) {
  XXH3_64bits_update(state_.get(), part.data(), part.size());
}

uint64_t StreamHash::Digest() const {
  return XXH3_64bits_digest(state_.get());
}

}  // namespace chestnutport::base
