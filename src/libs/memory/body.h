// The body of a request.
#ifndef MEMORY_BODY_H_
#define MEMORY_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/strings/cord.h"

namespace chestnutport::memory {

// Immutable bytes that copies share, so that attempts of a large request need
// no memory of their own.
class Body {
 public:
  Body() = default;
  // Implicit, as most bodies are texts that nodes write.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Body(std::string bytes);
  // NOLINTNEXTLINE(google-explicit-constructor)
  Body(const char* bytes) : Body(std::string(bytes)) {}
  // `hash`: StreamHash of the bytes.
  Body(absl::Cord bytes, uint64_t hash)
      : bytes_(std::move(bytes)), hash_(hash) {}

  size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }
  const absl::Cord& bytes() const { return bytes_; }
  // Equal for equal bytes, on all nodes; zero for none.
  uint64_t hash() const { return hash_; }
  // A copy in one piece.
  std::string ToString() const { return std::string(bytes_); }

  friend bool operator==(const Body& body, std::string_view bytes) {
    return body.bytes_ == absl::string_view(bytes.data(), bytes.size());
  }

 private:
  absl::Cord bytes_;
  uint64_t hash_ = 0;
};

}  // namespace chestnutport::memory

#endif  // MEMORY_BODY_H_
