// What a gate knows of its own server, from each answer and from probes: its
// pace, whether another server has taken its address, and whether it ended with
// requests that it ran. Runs on the gate thread.
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
struct RequestEnd {
  net::TransferEnd end = net::TransferEnd::kLost;
  ServerVerdict verdict = ServerVerdict::kUnusable;
  // A call failed that the server made for it.
  bool has_failed_call = false;
  bool is_refused = false;  // Nobody listens at the server's address.
  uint64_t life = 0;        // Of the server, when the request was sent to it.
  base::RequestFingerprint fingerprint;
  bool is_suspect = false;  // By the word of the node that sent it.
  // The server was cold, and had got more than it tolerates.
  bool is_over_cold_rate = false;
  base::Instant started_at;
  std::string instance;  // The start of the server that was meant.
};

class ServerObserver {
 public:
  struct Outputs {
    std::function<void()> looked;  // A look has ended.
    std::function<void()> probed;  // A probe was sent to the server.
    // The server said how much longer it stays cold.
    std::function<void(base::Duration)> told_cold;
    // A health check found no sign that it is cold.
    std::function<void()> found_no_cold;
  };

  // `loop` must outlive this object.
  ServerObserver(net::EventLoop& loop,
                 AnyServerProtocol protocol,
                 Outputs outputs);

  // `has_started`: another life of the server begins.
  void SetServer(const ServerState& server, bool has_started);
  // A request to the server has ended.
  void OnRequestEnd(const RequestEnd& request,
                    const net::HttpAnswer& answer,
                    base::Instant now);
  // Asks the server how it is if its last word is too old to start a request
  // by. Returns whether an answer, or the end of the wait for it, is to come.
  bool Look(base::Instant now) { return prober_.Look(now); }
  // Call about each 10 ms.
  void Tick(base::Instant now);
  // What the server ran when it ended, once for each end.
  std::optional<std::vector<admission::InterruptedRequest>> TakeEnd(
      base::Instant now) {
    return end_watch_.TakeCrash(now);
  }

  const admission::ServerPerformance& pace() const { return pace_; }
  // Another server answered at the address what was meant for the present one:
  // nothing is sent there until that one announces itself.
  bool is_replaced() const { return is_replaced_; }
  // Of a request or a probe.
  base::Instant last_answer() const { return prober_.last_answer(); }
  const admission::ProbeScheduler& probes() const {
    return prober_.scheduler();
  }

 private:
  void OnProbed(const net::TransferResult& result, const ProbeStart& probe);
  // What a probe of the present life says of it.
  void JudgeProbe(const net::TransferResult& result,
                  base::Instant begun,
                  base::Instant now);
  // What the end of a request to the present life says of it.
  void JudgeEnd(const RequestEnd& request,
                const net::HttpAnswer& answer,
                base::Instant now);
  // Finds out whether the server is still there if it broke something off.
  void AskIfInDoubt(base::Instant now);
  // Takes note of what the server says of itself with an answer.
  void NoteState(const net::HttpHeaders& headers, base::Instant now);

  AnyServerProtocol protocol_;
  Outputs outputs_;
  std::string instance_;
  uint64_t life_ = 0;
  admission::ServerPerformance pace_;
  admission::ServerCrashDetector end_watch_;
  base::Instant ask_again_at_;
  bool is_replaced_ = false;
  ServerProber prober_;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_OBSERVER_H_
