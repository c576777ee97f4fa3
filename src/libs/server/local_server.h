// Receives the announcements, drain requests and deregistrations of the local
// server, which is the server on the same VM as this node, and keeps its state.
// Runs on the control thread.
#ifndef SERVER_LOCAL_SERVER_H_
#define SERVER_LOCAL_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "admission/server_liveness.h"
#include "base/result.h"
#include "base/server_departure.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "server/acknowledgement_queue.h"
#include "server/departure_record.h"
#include "server/server_announcement.h"
#include "server/server_incarnation_tracker.h"
#include "server/server_state.h"
#include "server/start_confirmation.h"

namespace chestnutport::server {

// Reason for which the server gets no new requests.
enum class DrainSource {
  kServer,    // Ended by the server or by its next incarnation.
  kOperator,  // Ended by an operator.
  kStop,      // The node is shutting down.
  // The data centre is evacuated. The server may be cold afterwards.
  kEvacuation,
};

class LocalServer {
 public:
  using ChangedHandler = std::function<void()>;
  // Whether the configuration that this node holds declares the service.
  using DeclaredPredicate = std::function<bool(const std::string& service)>;
  // Whether departures() would survive the loss of all nodes.
  using StoredPredicate = std::function<bool()>;

  // `loop` must outlive this object. Messages of the server that do not meet
  // `requirements` are rejected. `changed` is called after each change of
  // state() that has to be published. Small shifts of `cold_until` in
  // announcements are not published, nor are reports of the gate that do not
  // change whether the server is cold. A server gets the response to its leave
  // once `are_departures_stored` holds; see OnDeparturesStored().
  LocalServer(net::EventLoop& loop,
              AnnouncementRequirements requirements,
              DeclaredPredicate is_declared,
              ChangedHandler changed,
              StoredPredicate are_departures_stored);
  ~LocalServer();

  // Binds the listener for announcements, drain requests and deregistrations.
  base::Result<bool> Listen(const base::SocketAddress& address);

  // Makes the first announcement after a start of the node wait for a
  // confirmation: by OnDiscovered(), or by a later announcement. See
  // StartConfirmation. Call before the first announcement.
  void RequireConfirmation() { start_.RequireEvidence(); }
  // Makes it wait also for one of the two functions below. Call before the
  // first announcement.
  void AwaitDepartures();
  // Called when it is not known yet what earlier runs of this node were told.
  void OnDeparturesUnavailable();
  // Called with departures() of earlier runs of this node.
  void OnDeparturesRead(const std::vector<base::ServerDeparture>& departures);
  // Called when departures() is stored. Servers whose leave waits for that get
  // their response; those that wait too long are told that it is not stored.
  void OnDeparturesStored() { acknowledgements_.OnStored(); }

  // Stops new requests to the server until Undrain() has been called for each
  // source that drains it.
  void Drain(DrainSource source);
  void Undrain(DrainSource source);

  // Applies an announcement built by service discovery, unless the server has
  // already announced itself.
  void OnDiscovered(const ServerAnnouncement& found);
  // Called when the server has answered a request or a probe.
  void OnAnswer(base::Instant now) { presence_.OnAnswer(now); }
  // Called when the gate has found that incarnation `life` of the server is
  // cold until `cold_until`. Ignored if that incarnation is not the current
  // one.
  void OnColdReported(uint64_t life, base::Instant cold_until);

  // Called with each report of the gate: whether incarnation `life` of the
  // server has stated that it is leaving.
  void OnLeavingReported(uint64_t life, bool is_leaving);

  // Called with each report of the gate: whether another instance than
  // incarnation `life` has responded at its address.
  void OnReplacedReported(uint64_t life, bool is_replaced);

  // Called with what an earlier run of this node published as its departure().
  void OnDepartureInherited(const base::ServerDeparture& departure);

  const ServerState& state() const { return state_; }
  // The server that leaves, or the one that last told this node, or an earlier
  // run of it, that it does. Changes are published before the server gets its
  // response, so that they outlive this process.
  std::optional<base::ServerDeparture> departure() const;
  // All departures that are known, of earlier servers as well.
  std::vector<base::ServerDeparture> departures() const {
    return departures_.departures();
  }
  // Whether the server is known to have started after this object was created:
  // its first announcement was received.
  bool has_seen_start() const { return has_seen_start_; }
  const base::SocketAddress& address() const { return listener_->address(); }

 private:
  // What a request of the server has led to.
  enum class Outcome {
    kDone,
    kDoneOnceStored,  // Done, and to be acknowledged once it is stored.
    kInvalid,         // See last_fault_.
    kNoSuchCall,
  };

  void OnRequest(const net::HttpRequest& request, net::Reply reply);
  Outcome Handle(const net::HttpRequest& request);
  // Responds once departures() is stored.
  void AcknowledgeOnceStored(net::Reply reply);
  // `instance` comes from the request's path; if it is empty, the body's
  // instance is used.
  Outcome HandleAnnouncement(const net::HttpRequest& request,
                             std::string_view instance);
  void ApplyDrain(const ServerAnnouncement& announcement);
  // Records that an incarnation leaves which another one has replaced.
  void RecordIfReplaced(const ServerAnnouncement& announcement);
  // Applies the first announcement if it is confirmed. Returns whether it is.
  bool ApplyConfirmed();
  // Returns false if the announcement is stale: it belongs to an incarnation
  // that has ended, or a later one was received before it.
  bool Apply(const ServerAnnouncement& announcement);
  void OnNewIncarnation(const ServerAnnouncement& announcement);
  // Returns whether the end of the cold phase moved by more than the tolerance.
  bool UpdateColdUntil(const ServerAnnouncement& announcement,
                       base::Instant now);
  // Returns the reason to reject the announcement, or an empty string if it is
  // accepted.
  std::string FindFault(const ServerAnnouncement& announcement) const;
  Outcome HandleDeregistration(const net::HttpRequest& request,
                               std::string_view instance);
  void LogFault(std::string_view instance, const std::string& fault);
  void LogLate(const ServerAnnouncement& announcement) const;
  void LogDraining() const;
  // `reason` is for the log. Returns whether the state was published.
  bool Withdraw(std::string_view reason);
  void CheckPresence();
  // Returns whether the state was published.
  bool UpdateDraining();

  net::EventLoop& loop_;
  AnnouncementRequirements requirements_;
  DeclaredPredicate is_declared_;
  ChangedHandler changed_;
  StoredPredicate are_departures_stored_;
  AcknowledgementQueue acknowledgements_;
  ServerState state_;
  bool was_cold_reported_ = false;  // As of the last report that was published.
  bool was_leaving_reported_ = false;   // As of the gate's last report.
  bool was_replaced_reported_ = false;  // As of the gate's last report.
  ServerIncarnationTracker incarnations_;
  std::string last_fault_;  // Repeated faults are logged once.
  bool has_seen_start_ = false;
  StartConfirmation start_;
  bool is_start_confirmed_ = false;
  std::set<DrainSource> drain_sources_;
  DepartureRecord departures_;
  admission::ServerLiveness presence_;
  net::EventLoop::TimerId timer_ = 0;
  std::unique_ptr<net::HttpServer> listener_;
};

}  // namespace chestnutport::server

#endif  // SERVER_LOCAL_SERVER_H_
