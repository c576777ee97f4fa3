// Distinguishes the incarnations of the local server, and detects stale
// messages of those that have ended. Reads no clock.
//
// An incarnation is one run of the server process. It is identified by the
// instance name and, if the server restarts under the same name, by the start
// time. State is kept separately for each incarnation.
#ifndef SERVER_SERVER_INCARNATION_TRACKER_H_
#define SERVER_SERVER_INCARNATION_TRACKER_H_

#include <chrono>
#include <deque>
#include <optional>
#include <string>

#include "server/server_announcement.h"

namespace chestnutport::server {

class ServerIncarnationTracker {
 public:
  enum class Verdict {
    kNewIncarnation,      // From a new incarnation, now the current one.
    kCurrentIncarnation,  // From the current incarnation.
    kStale,               // From an ended incarnation, or out of order.
  };

  // `is_doubtful` is true if there is no current incarnation, its announcement
  // is overdue, or another instance responds at its address. Only then may an
  // incarnation with an earlier start time replace it, as the wall clock may
  // have been set back before the server restarted, and only then may an
  // incarnation return that another one had replaced, as that one may have been
  // accepted because of a delayed announcement. One that drains returns in any
  // case if it is known to have started later: nothing is lost by believing it.
  Verdict OnAnnounced(const ServerAnnouncement& announcement, bool is_doubtful);

  // Called when an incarnation was deregistered. `started_at` is zero if
  // unknown; an empty `instance` means the current incarnation. Returns whether
  // there is no current incarnation any more: it was the deregistered one, or
  // one that had the same name and started earlier, which has ended.
  bool OnLeft(const std::string& instance,
              std::chrono::milliseconds started_at);

  // Whether the announcement is of an incarnation that another one has
  // replaced, but that has not left: it may be running.
  bool IsReplaced(const ServerAnnouncement& announcement) const;

 private:
  struct Incarnation {
    std::string instance;
    std::chrono::milliseconds started_at{};  // Zero if unknown.
    int64_t sequence = 0;                    // Of the last announcement.
    bool has_left = false;
  };

  static bool Matches(const Incarnation& known,
                      const std::string& instance,
                      std::chrono::milliseconds started_at);
  // Whether `known` had the same name and started before the other one.
  static bool IsEarlierStart(const Incarnation& known,
                             const std::string& instance,
                             std::chrono::milliseconds started_at);
  Verdict ClassifyCurrent(const ServerAnnouncement& announcement,
                          bool is_doubtful);
  // Whether the announcing incarnation may replace the current one.
  bool MayReplace(const ServerAnnouncement& announcement,
                  bool is_doubtful) const;
  // Whether an incarnation that was not seen before may replace the current one
  // although that one is not doubtful.
  bool IsLaterStart(const ServerAnnouncement& announcement) const;
  // Returns the ended or replaced incarnation that announces itself, if it is
  // known; null if it has no name.
  const Incarnation* FindPast(const ServerAnnouncement& announcement) const;
  // A replaced incarnation does not return with an announcement from before
  // this one.
  void RaisePastSequence(const ServerAnnouncement& announcement);
  // Whether the announcing incarnation is known to have started after the
  // current one.
  bool IsAfterCurrent(const ServerAnnouncement& announcement) const;
  void ErasePast(const std::string& instance,
                 std::chrono::milliseconds started_at);
  void AddPast(Incarnation past);

  std::optional<Incarnation> current_;
  std::deque<Incarnation> past_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_INCARNATION_TRACKER_H_
