// Monitors the local server by its responses and by probes: its performance,
// whether another server has taken over its address, and whether it crashed
// while it ran requests. Runs on the gate thread.
#ifndef SERVER_SERVER_OBSERVER_H_
#define SERVER_SERVER_OBSERVER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admission/server_crash_detector.h"
#include "admission/server_performance.h"
#include "base/request_fingerprint.h"
#include "net/event_loop.h"
#include "server/server_prober.h"
#include "server/server_protocol.h"
#include "server/server_state.h"

namespace chestnutport::server {

// How a request to the server ended.
struct RequestResult {
  http_client::TransferEnd end = http_client::TransferEnd::kLost;
  ServerVerdict verdict = ServerVerdict::kUnusable;
  // A call that the server made to handle the request has failed.
  bool has_failed_call = false;
  bool is_refused = false;  // The connection was refused.
  uint64_t life = 0;        // Server incarnation when the request was sent.
  base::RequestFingerprint fingerprint;
  bool is_suspect = false;  // According to the node that sent it.
  // The server was cold and had received requests above its cold rate.
  bool is_over_cold_rate = false;
  base::Instant started_at;
  std::string instance;  // Expected server incarnation.
};

class ServerObserver {
 public:
  struct Outputs {
    std::function<void()> probe_ended;
    std::function<void()> probe_sent;  // A probe is about to be sent.
    // The server reported its remaining cold time.
    std::function<void(base::Duration)> cold_reported;
    // A health response reported no cold state.
    std::function<void()> warm_reported;
    // A health check, sent at `sent_at`, was answered by the current
    // incarnation.
    std::function<void(const net::HttpHeaders& headers, base::Instant sent_at)>
        health_checked;
  };

  // `loop` must outlive this object.
  ServerObserver(net::EventLoop& loop,
                 AnyServerProtocol protocol,
                 Outputs outputs);

  // Sets the server's state. `has_started` is true if it is a new incarnation.
  void SetServer(const ServerState& server, bool has_started);
  // Called when a request to the server has ended.
  void OnRequestResult(const RequestResult& request,
                       const net::HttpAnswer& answer,
                       base::Instant now);
  // Starts a probe if the last response is so old that a request should wait
  // for a new one. Returns whether a probe is running, whose end is signalled
  // by `probe_ended`.
  bool ProbeIfStale(base::Instant now) { return prober_.ProbeIfStale(now); }
  // Call about every 10 ms.
  void Tick(base::Instant now);
  // Returns the requests that the server ran when it crashed, once for each
  // crash.
  std::optional<std::vector<admission::InterruptedRequest>> TakeCrash(
      base::Instant now) {
    return crash_detector_.TakeCrash(now);
  }

  const admission::ServerPerformance& performance() const {
    return performance_;
  }
  // Whether another instance has responded to a request meant for this one.
  // Nothing is sent to the address until that instance announces itself.
  bool is_replaced() const { return is_replaced_; }
  // Time of the last response to a request or a probe.
  base::Instant last_answer() const { return prober_.last_answer(); }
  const admission::ProbeScheduler& probes() const {
    return prober_.scheduler();
  }

 private:
  void OnProbeResult(const http_client::TransferResult& result,
                     const ProbeStart& probe);
  // Evaluates the result of a probe of the current incarnation.
  void OnCurrentProbeResult(const http_client::TransferResult& result,
                            base::Instant started_at,
                            base::Instant now);
  // Evaluates the result of a request to the current incarnation.
  void OnCurrentRequestResult(const RequestResult& request,
                              const net::HttpAnswer& answer,
                              base::Instant now);
  // Starts a probe if requests were interrupted and it is not yet known whether
  // the server has crashed.
  void ProbeIfInDoubt(base::Instant now);
  // Evaluates the load and cold state that a response reports.
  void UpdateFromHeaders(const net::HttpHeaders& headers, base::Instant now);

  AnyServerProtocol protocol_;
  Outputs outputs_;
  std::string instance_;
  uint64_t life_ = 0;
  admission::ServerPerformance performance_;
  admission::ServerCrashDetector crash_detector_;
  base::Instant next_doubt_probe_at_;
  bool is_replaced_ = false;
  ServerProber prober_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_OBSERVER_H_
