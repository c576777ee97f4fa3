// Writes numbered events as one line of key=value fields each, by Boost.Log.
//
// A thread that logs puts its line into a bounded queue and goes on; a thread
// of the log's own writes. If the reader of the log stalls, the queue fills and
// further lines are dropped and counted: traffic never waits for the log.
#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "telemetry/event.h"

namespace chestnutport::telemetry {

struct Field {
  std::string_view name;
  std::string value;
};

// The log of a process; at most one at a time. Without one, events are lost.
class LogSession {
 public:
  // `out` must outlive the session. Events below `least` are not written.
  LogSession(std::string_view node_name, Level least, std::ostream& out);
  // Writes what is queued; waits for `out`.
  ~LogSession();
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  // Lines that wait to be written at most.
  static constexpr size_t kQueueLines = 1024;

 private:
  struct Sink;

  std::unique_ptr<Sink> sink_;
};

// May be called from any thread. Repeats beyond a rate are only counted; the
// next line of the event tells how many. No field may hold a secret or a body.
void LogEvent(Event event, std::initializer_list<Field> fields);

// The same for an event of a single request, which people look up by its name:
// up to kRequestLines of each event, thread and second are written.
inline constexpr int kRequestLines = 60;
void LogRequestEvent(Event event, std::initializer_list<Field> fields);

// Repeats that were not written since the process started.
struct SuppressedEvent {
  Event event;
  uint64_t count;
};
std::vector<SuppressedEvent> SuppressedEvents();

// Lines lost because the queue was full, since the process started.
uint64_t DroppedLines();

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_LOG_H_
