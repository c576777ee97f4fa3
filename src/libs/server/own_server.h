// Hears what this node's own server says of itself: that it is there, that it
// drains, that it leaves. Runs on the control thread.
#ifndef SERVER_OWN_SERVER_H_
#define SERVER_OWN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "admission/server_liveness.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "server/server_announcement.h"
#include "server/server_incarnations.h"
#include "server/server_state.h"

namespace chestnutport::server {

// Who wants the server to take no new work.
enum class DrainSource {
  kServer,    // Ended by the server, or by its next start.
  kOperator,  // Ended by an operator.
  kStop,      // The node stops.
  // The data centre is evacuated. Afterwards the server may be cold.
  kEvacuation,
};

class OwnServer {
 public:
  using ChangedHandler = std::function<void()>;
  // Whether a service of this name is declared, as far as it is known.
  using DeclaredTest = std::function<bool(const std::string& service)>;

  // `loop` must outlive this object. `changed` is called after each change of
  // state().
  OwnServer(net::EventLoop& loop,
            DeclaredTest is_declared,
            ChangedHandler changed);
  ~OwnServer();

  // Binds the listener that the server announces itself to.
  base::Result<bool> Listen(const base::SocketAddress& address);

  // Takes no new work from now on, until every source has ended its drain.
  void Drain(DrainSource source);
  void Undrain(DrainSource source);

  // The server was found before it announced itself.
  void OnFound(const ServerAnnouncement& found);
  // The server answered a request or a probe.
  void OnAnswer(base::Instant now) { presence_.OnAnswer(now); }
  // What the gate knows of how long a life of the server stays cold.
  void OnColdReported(uint64_t life, base::Instant cold_until);

  const ServerState& state() const { return state_; }
  const base::SocketAddress& address() const { return listener_->address(); }

 private:
  void OnRequest(const net::HttpRequest& request, net::Reply reply);
  // `instance`: by the request's path; empty: the body says.
  bool OnAnnounced(const net::HttpRequest& request, std::string_view instance);
  // False if the announcement is of a start that has ended, or is older than
  // one that came before it.
  bool TakeUp(const ServerAnnouncement& said);
  void NoteStart(const ServerAnnouncement& said);
  // Returns whether what the server says of being cold is new.
  bool NoteCold(const ServerAnnouncement& said, base::Instant now);
  // Why the announcement names no server to use; empty: it does.
  std::string FaultOf(const ServerAnnouncement& said) const;
  // False if what the server said cannot be read.
  bool OnLeft(const net::HttpRequest& request, std::string_view instance);
  void LogFault(std::string_view instance, const std::string& fault);
  void Withdraw();
  void CheckPresence();
  void NoteDrains();

  net::EventLoop& loop_;
  DeclaredTest is_declared_;
  ChangedHandler changed_;
  ServerState state_;
  bool told_cold_ = false;  // By the last change that was told.
  ServerIncarnations incarnations_;
  std::string last_fault_;  // Of an announcement; each is logged once in a row.
  std::set<DrainSource> drains_;
  admission::ServerLiveness presence_;
  net::EventLoop::TimerId timer_ = 0;
  std::unique_ptr<net::HttpServer> listener_;
};

}  // namespace chestnutport::server

#endif  // SERVER_OWN_SERVER_H_
