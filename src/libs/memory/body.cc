#include "memory/body.h"

#include <utility>

#include "base/stream_hash.h"

namespace chestnutport::memory {

Body::Body(std::string bytes) {
  if (bytes.empty())
    return;
  base::StreamHash hash;
  hash.Update(bytes);
  hash_ = hash.Digest();
  bytes_ = absl::Cord(std::move(bytes));
}

}  // namespace chestnutport::memory
