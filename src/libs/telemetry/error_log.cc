#include "telemetry/error_log.h"

#include <string>

#include "telemetry/log.h"

namespace chestnutport::telemetry {

void LogError(base::ErrorKind kind, std::string_view service) {
  const base::ErrorAnswer& row = base::AnswerTo(kind);
  if (row.event == 0)
    return;
  LogEvent(static_cast<Event>(row.event), {{"error", std::string(row.name)},
                                           {"service", std::string(service)}});
}

}  // namespace chestnutport::telemetry
