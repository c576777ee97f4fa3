// The one place where the errors that callers and operators get are logged.
#ifndef TELEMETRY_ERROR_LOG_H_
#define TELEMETRY_ERROR_LOG_H_

#include <string_view>

#include "base/error_kind.h"

namespace chestnutport::telemetry {

// Logs the event of `kind` by the table of errors; nothing for a kind without
// one. `service` is empty if none is concerned. May be called from any thread.
void LogError(base::ErrorKind kind, std::string_view service);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_ERROR_LOG_H_
