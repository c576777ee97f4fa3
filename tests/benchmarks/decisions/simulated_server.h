// Simulates one incarnation of a server and the node on its VM: the shipped
// admission code in front of a server whose speed follows a profile.
#ifndef DECISIONS_SIMULATED_SERVER_H_
#define DECISIONS_SIMULATED_SERVER_H_

#include <deque>
#include <functional>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_controller.h"
#include "calls/attempt_status.h"
#include "decisions/event_queue.h"
#include "decisions/server_answer.h"
#include "decisions/speed_profile.h"
#include "routing/server_candidate.h"

namespace chestnutport::bench {

// The work of an attempt on a server.
struct Job {
  base::Duration work{};
  std::function<void()> on_start;
  // Called after the work if set. The server answers once `done` is called.
  std::function<void(std::function<void(bool ok)> done)> make_nested_call;
  std::function<void(const ServerAnswer&)> on_answer;
};

class SimulatedServer {
 public:
  SimulatedServer(EventQueue& queue,
                  const routing::ServerCandidate& candidate,
                  int service,
                  int vm,
                  base::Duration report_delay);

  void Arrive(const admission::Arrival& arrival, Job job);
  // Queries the attempt's status or cancels it, like a gate.
  calls::AttemptStatus SendCommand(const base::AttemptId& attempt, bool cancel);

  void Drain();
  // Sets the rate limit that the server states; nothing: it states none.
  void SetRateLimit(std::optional<double> rate);
  // Loses all requests; the server does not answer any more.
  void Stop() { is_up_ = false; }
  void StartTicking();

  bool is_up() const { return is_up_; }
  bool IsDraining() const { return admission_.IsDraining(); }
  int service() const { return service_; }
  int vm() const { return vm_; }
  const routing::ServerCandidate& candidate() const { return candidate_; }
  // The server as currently known to the fleet.
  routing::ServerCandidate& announced() { return announced_; }

  SpeedProfile& speed() { return speed_; }
  const SpeedProfile& speed() const { return speed_; }
  void FailFrom(base::Instant when) { fails_from_ = when; }
  bool IsFailing() const { return fails_from_ && *fails_from_ <= queue_.now(); }
  void MisreportFrom(base::Instant when) { misreports_from_ = when; }

  // Attempts sent to the server and not ended, counted without delay.
  int outstanding() const { return outstanding_; }
  void AddOutstanding(int change) { outstanding_ += change; }

 private:
  void Perform(const admission::AdmissionActions& actions);
  void Start(const base::AttemptId& attempt);
  void Finish(const base::AttemptId& attempt, bool ok);
  void Answer(const base::AttemptId& attempt, ServerAnswer answer);
  void Tick();
  wire::LoadReport Report();

  EventQueue& queue_;
  routing::ServerCandidate candidate_;
  routing::ServerCandidate announced_;
  int service_;
  int vm_;
  base::Duration report_delay_;
  admission::AdmissionController admission_;
  SpeedProfile speed_;
  bool is_up_ = true;
  std::optional<base::Instant> fails_from_;
  std::optional<base::Instant> misreports_from_;
  int outstanding_ = 0;
  absl::flat_hash_map<base::AttemptId, Job> jobs_;
  std::deque<std::pair<base::Instant, wire::LoadReport>> reports_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SIMULATED_SERVER_H_
