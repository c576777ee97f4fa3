#include "telemetry/call_series.h"

namespace chestnutport::telemetry {

void CallSeries::Add(const CallRecord& record) {
  total.Record(record.total);
  added.Record(record.total - record.server_time);
  ++outcomes[static_cast<size_t>(record.outcome)];
  if (record.error)
    errors.Count(*record.error);
  attempts += static_cast<uint64_t>(record.attempts);
  hedges += static_cast<uint64_t>(record.hedges);
  moves += static_cast<uint64_t>(record.moves);
  const int beyond_first = record.attempts - 1 - record.hedges - record.moves;
  if (beyond_first > 0)
    retries += static_cast<uint64_t>(beyond_first);
}

}  // namespace chestnutport::telemetry
