// Decides which server a node that has just started may use: the first
// announcement may be a delayed one of a server that has left, which only an
// earlier run of the node was told. Reads no clock.
#ifndef SERVER_START_CONFIRMATION_H_
#define SERVER_START_CONFIRMATION_H_

#include <optional>

#include "base/time.h"
#include "server/server_announcement.h"

namespace chestnutport::server {

class StartConfirmation {
 public:
  // Whether it is known which servers have told an earlier run that they leave.
  enum class Departures {
    kReading,      // Not yet. No server is confirmed.
    kUnavailable,  // The platform's store does not respond.
    kKnown,
  };

  // Demands evidence beside the departures: the server's health check, or a
  // second announcement some time after the first.
  void RequireEvidence() { needs_evidence_ = true; }
  void SetDepartures(Departures departures) { departures_ = departures; }

  // Called with an announcement of the server.
  void OnAnnounced(const ServerAnnouncement& announcement, base::Instant now);
  // Called with the announcement that service discovery built from a good
  // health check.
  void OnHealthChecked(const ServerAnnouncement& found) { healthy_ = found; }
  // Called when the server that was confirmed is not to be used: it has left.
  void OnRejected();

  // Returns what may be applied as the server's announcement; nothing while no
  // server is confirmed. A server that deregistered may still be healthy, but
  // sends no announcements, so that the health check alone confirms it only if
  // the departures are known.
  std::optional<ServerAnnouncement> Confirmed() const;

 private:
  bool IsAnnouncedTwice() const;
  bool IsHealthy() const;

  bool needs_evidence_ = false;
  Departures departures_ = Departures::kKnown;
  std::optional<ServerAnnouncement> healthy_;
  // The first and the last announcement of the incarnation that announced
  // itself last, and when they arrived.
  std::optional<ServerAnnouncement> first_;
  base::Instant first_at_;
  std::optional<ServerAnnouncement> last_;
  base::Instant last_at_;
};

}  // namespace chestnutport::server

#endif  // SERVER_START_CONFIRMATION_H_
