// Probes this node's own server when traffic tells too little of it, within
// its budget. Runs on the gate thread.
#ifndef SERVER_SERVER_PROBER_H_
#define SERVER_SERVER_PROBER_H_

#include <cstdint>
#include <functional>

#include "admission/probe_scheduler.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "server/server_state.h"

namespace chestnutport::server {

// When a probe was begun, and which life of the server it was meant for.
struct ProbeStart {
  base::Instant begun;
  uint64_t life = 0;
};

class ServerProber {
 public:
  // What a probe brought; no answer: the server was silent for the time that a
  // probe has.
  using Handler =
      std::function<void(const net::TransferResult&, const ProbeStart&)>;

  // `loop` must outlive this object. `sent` is called with each probe.
  ServerProber(net::EventLoop& loop,
               std::function<void()> sent,
               Handler handler);

  void SetServer(const ServerState& server);
  // The server answered a request.
  void OnAnswer(base::Instant now);
  // Probes if the server's last word is too old to start a request by. Returns
  // whether the end of a probe is to come.
  bool Look(base::Instant now);
  // Probes at once, as something was seen that only a probe explains. Returns
  // whether it did: not if one is running, or the budget is used up.
  bool Ask(base::Instant now);
  // Probes if it is time to. Call about each 10 ms.
  void Tick(base::Instant now);

  // Of a request or a probe.
  base::Instant last_answer() const { return last_answer_; }
  const admission::ProbeScheduler& scheduler() const { return scheduler_; }

 private:
  // Ends within `allowed`.
  void Probe(base::Duration allowed, base::Instant now);

  net::HttpClient client_;
  admission::ProbeScheduler scheduler_;
  base::SocketAddress address_;
  std::string path_;
  uint64_t life_ = 0;  // Of the server.
  base::Instant last_answer_;
  std::function<void()> sent_;
  Handler handler_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_PROBER_H_
