// Datagrams between the nodes and the allocator of rate limits.
#ifndef LIMITS_LIMIT_MESSAGES_H_
#define LIMITS_LIMIT_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::limits {

// Limit in bytes of an encoded message. An answer to a request that fits also
// fits.
inline constexpr size_t kMaxMessageSize = 1200;
// Limit in bytes of a tenant's name in a message.
inline constexpr size_t kMaxTenantName = 255;

// Shares are fractions of the tenant's rate and burst, from 0 to 1.
struct LimitRequestEntry {
  std::string tenant;
  double rate_share = 0;   // Held when the request was made.
  double burst_share = 0;  // Held when the request was made.
  double rate_wanted = 0;
  double burst_wanted = 0;
  double tokens_needed = 0;  // For requests that wait now.
  // Tokens that were in the part of the lease that the process gave up.
  double tokens_returned = 0;
};

// A request without entries only tells a new allocator what the process holds:
// nothing.
struct LimitRequest {
  base::NodeId process;
  base::SocketAddress vm;
  // The allocator that is asked; see AllocatorNotice. The request may be sent
  // to no other.
  uint64_t epoch = 0;
  // The greatest serial in an answer of this epoch; zero if there was none.
  uint64_t last_answer = 0;
  uint64_t sequence = 0;  // Counts up in the process, never reused.
  // Whether the allocator of `epoch` knows all that the process holds, at the
  // latest with this request.
  bool has_reported_all = false;
  std::vector<LimitRequestEntry> entries;

  std::string Encode() const;
  // Returns nothing if the bytes are malformed, too long, or contain a
  // fraction outside [0, 1] or a number that is negative or not finite.
  static std::optional<LimitRequest> Decode(std::string_view bytes);
};

struct LimitAnswerEntry {
  std::string tenant;
  double rate_share = 0;
  double burst_share = 0;
  double tokens = 0;
  bool is_over_limit = false;  // Demand of all nodes exceeds the limit.
  // Time until the allocator expects a free token, if it lacks tokens.
  std::optional<std::chrono::nanoseconds> retry_after;
};

struct LimitAnswer {
  base::NodeId process;  // That asked.
  uint64_t epoch = 0;
  uint64_t serial = 0;    // Counts the answers of this epoch.
  uint64_t sequence = 0;  // Of the request.
  // Of the allocator's authority. Counted from the time of the request.
  std::chrono::nanoseconds remaining{};
  bool is_taking_over = false;
  std::vector<LimitAnswerEntry> entries;

  std::string Encode() const;
  // As for LimitRequest.
  static std::optional<LimitAnswer> Decode(std::string_view bytes);
};

// Says who the allocator is. Sent by the allocator when it obtains authority,
// and regularly afterwards.
struct AllocatorNotice {
  base::NodeId holder;
  base::SocketAddress vm;
  // The revision of the entry with which the holder acquired authority: a
  // later allocator has a higher one.
  uint64_t epoch = 0;

  std::string Encode() const;
  static std::optional<AllocatorNotice> Decode(std::string_view bytes);

  auto operator<=>(const AllocatorNotice&) const = default;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_LIMIT_MESSAGES_H_
