#include "freshness/pending_queries.h"

#include <algorithm>

namespace chestnutport::freshness {

uint64_t PendingQueries::Add(base::BootInstant asked_at, base::Random& random) {
  queries_.push_back({random(), asked_at});
  if (queries_.size() > kMaxPending)
    queries_.pop_front();
  return queries_.back().number;
}

std::optional<base::BootInstant> PendingQueries::Take(uint64_t number) {
  const auto found = std::ranges::find(queries_, number, &Query::number);
  if (found == queries_.end())
    return std::nullopt;
  const base::BootInstant asked_at = found->asked_at;
  queries_.erase(found);
  return asked_at;
}

}  // namespace chestnutport::freshness
