// Sends health probes to the local server, within the probe budget, when its
// responses to requests give too little information. Runs on the gate thread.
#ifndef SERVER_SERVER_PROBER_H_
#define SERVER_SERVER_PROBER_H_

#include <cstdint>
#include <functional>

#include "admission/probe_scheduler.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "server/server_state.h"

namespace chestnutport::server {

// When a probe was started, and for which incarnation of the server.
struct ProbeStart {
  base::Instant started_at;
  uint64_t life = 0;
};

class ServerProber {
 public:
  // Called with the result of each probe, which is kTimedOut if no response
  // arrived in time.
  using Handler = std::function<void(const http_client::TransferResult&,
                                     const ProbeStart&)>;

  // `loop` must outlive this object. `probe_sent` is called for each
  // probe, before it is sent.
  ServerProber(net::EventLoop& loop,
               std::function<void()> probe_sent,
               Handler handler);

  void SetServer(const ServerState& server);
  // Called when the server has answered a request.
  void OnAnswer(base::Instant now);
  // Starts a probe if the last response is so old that a request should wait
  // for a new one. Returns whether a probe is running.
  bool ProbeIfStale(base::Instant now);
  // Starts a probe regardless of when one is due. Returns false if the server
  // has no health path, a probe is running or the budget is used up.
  bool ProbeNow(base::Instant now);
  // Starts a probe if one is due. Call about every 10 ms.
  void Tick(base::Instant now);

  // Time of the last response to a request or a probe.
  base::Instant last_answer() const { return last_answer_; }
  const admission::ProbeScheduler& scheduler() const { return scheduler_; }

 private:
  // Sends a probe that ends within `max_duration`.
  void SendProbe(base::Duration max_duration, base::Instant now);

  http_client::HttpClient client_;
  admission::ProbeScheduler scheduler_;
  base::SocketAddress address_;
  std::string path_;
  uint64_t life_ = 0;  // Incarnation to probe.
  base::Instant last_answer_;
  std::function<void()> probe_sent_;
  Handler handler_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_PROBER_H_
