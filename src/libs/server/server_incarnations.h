// Tells the starts of this node's server apart, and what is said late by one
// that has ended from what counts. Pure: time is passed in as what it means.
//
// A server names each start by its instance, or starts again under the same
// instance with another time of start. What is remembered of a start belongs to
// it alone.
#ifndef SERVER_SERVER_INCARNATIONS_H_
#define SERVER_SERVER_INCARNATIONS_H_

#include <chrono>
#include <deque>
#include <optional>
#include <string>

#include "server/server_announcement.h"

namespace chestnutport::server {

class ServerIncarnations {
 public:
  enum class Verdict {
    kStarted,    // Of a start that was not the current one; now it is.
    kContinues,  // Of the current start.
    kLate,       // Of one that ended, or older than what came before it.
  };

  // `is_overdue`: the current start has not announced itself for longer than it
  // does as a rule, or there is none. Only then a start with an earlier time
  // takes its place: the time of day may have been set back before it.
  Verdict OnAnnounced(const ServerAnnouncement& said, bool is_overdue);

  // The start said that it leaves; `started_at` is zero if it did not tell it,
  // an empty `instance` is the current one. Returns whether it was the current
  // one.
  bool OnLeft(const std::string& instance,
              std::chrono::milliseconds started_at);

 private:
  struct Incarnation {
    std::string instance;
    std::chrono::milliseconds started_at{};  // Zero: not told.
    int64_t sequence = 0;                    // Of its last announcement.
    bool has_left = false;
  };

  static bool IsSame(const Incarnation& known,
                     const std::string& instance,
                     std::chrono::milliseconds started_at);
  Verdict OnCurrent(const ServerAnnouncement& said, bool is_overdue);
  // Whether another start than the current one takes its place.
  bool MayReplace(const ServerAnnouncement& said, bool is_overdue) const;
  void Keep(Incarnation past);

  std::optional<Incarnation> current_;
  std::deque<Incarnation> past_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_INCARNATIONS_H_
