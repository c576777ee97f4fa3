// Hashes a text that comes in parts.
#ifndef BASE_STREAM_HASH_H_
#define BASE_STREAM_HASH_H_

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace chestnutport::base {

// Equal on all nodes, however the text is divided. No defence against somebody
// who wants two texts to collide.
class StreamHash {
 public:
  StreamHash();
  ~StreamHash();
  StreamHash(StreamHash&& other) noexcept;
  StreamHash& operator=(StreamHash&& other) noexcept;

  void Update(std::string_view part);
  uint64_t Digest() const;

 private:
  struct Deleter {
    void operator()(XXH3_state_s* state) const;
  };
  std::unique_ptr<XXH3_state_s, Deleter> state_;
};

}  // namespace chestnutport::base

#endif  // BASE_STREAM_HASH_H_
