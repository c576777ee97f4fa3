// The text of one logged event.
#ifndef TELEMETRY_LOG_LINE_H_
#define TELEMETRY_LOG_LINE_H_

#include <cstdint>
#include <initializer_list>
#include <string>

#include "telemetry/event.h"
#include "telemetry/log.h"

namespace chestnutport::telemetry {

// level=warning event=2006 name=refused service=dossie suppressed=12
// `suppressed` is left out if zero. A value is quoted if it needs to be, cut
// after 200 bytes, and never breaks the line.
std::string FormatLogLine(Event event,
                          std::initializer_list<Field> fields,
                          uint64_t suppressed);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_LOG_LINE_H_
