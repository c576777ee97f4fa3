// The queries of this node that have not been answered yet.
#ifndef FRESHNESS_PENDING_QUERIES_H_
#define FRESHNESS_PENDING_QUERIES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/boot_clock.h"
#include "base/random.h"

namespace chestnutport::freshness {

// Queries are identified by random numbers. A counter would repeat after a
// restart, and a delayed answer to the previous process would then be taken for
// one to a later query.
class PendingQueries {
 public:
  // Limit on the queries kept; the oldest are evicted. At ten queries a second
  // an answer may take six seconds, after which it is of no use.
  static constexpr size_t kMaxPending = 64;

  // Returns the number of a new query that is sent at `asked_at` or later.
  uint64_t Add(base::BootInstant asked_at, base::Random& random);
  // Returns when query `number` was sent, and forgets it. Nothing if it is
  // unknown: never sent, answered before or evicted.
  std::optional<base::BootInstant> Take(uint64_t number);

 private:
  struct Query {
    uint64_t number;
    base::BootInstant asked_at;
  };

  std::deque<Query> queries_;
};

}  // namespace chestnutport::freshness

#endif  // FRESHNESS_PENDING_QUERIES_H_
