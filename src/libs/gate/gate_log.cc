#include "gate/gate_log.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::gate {
namespace {

using telemetry::Event;
using telemetry::LogRequestEvent;

// Maximum bytes of the list of requests; a log value holds 200.
constexpr size_t kMaxRunningBytes = 180;

// Attempts that reached the server have an event of their own: while servers
// are missing, the lines of refused attempts use up the rate limit of their
// event within a tenth of a second.
Event EventOf(const GateDecision& decision) {
  if (!decision.error)
    return Event::kServerLate;
  return decision.error == base::ErrorKind::kServerLost ? Event::kAttemptLost
                                                        : Event::kGateDecided;
}

std::string NameOfRate(std::optional<double> rate_limit) {
  return rate_limit ? absl::StrCat(*rate_limit) : "none";
}

// Lists the requests with their run times, as many as a log value holds.
std::string DescribeRunning(
    std::span<const admission::InterruptedRequest> running) {
  std::string text;
  for (const admission::InterruptedRequest& request : running) {
    const std::string one = absl::StrCat(
        request.fingerprint.ToString(), "+",
        base::FormatDuration(std::chrono::round<std::chrono::milliseconds>(
            request.interrupted_at - request.started_at)));
    if (text.size() + one.size() > kMaxRunningBytes)
      break;
    absl::StrAppend(&text, text.empty() ? "" : " ", one);
  }
  return text;
}

}  // namespace

void LogGateDecision(const GateDecision& decision) {
  const bool reached = decision.serving.has_value();
  LogRequestEvent(
      EventOf(decision),
      {{"request", decision.request},
       {"fingerprint", decision.fingerprint.ToString()},
       {"instance", decision.instance},
       {"error", base::NameOf(decision.error)},
       {"reached_server", reached ? "yes" : "no"},
       {"queued", base::FormatDuration(decision.queued)},
       {"serving", base::FormatDuration(
                       decision.serving.value_or(base::Duration::zero()))},
       {"kept_connection", decision.on_kept_connection ? "yes" : "no"},
       {"admitted_slowness",
        absl::StrFormat("%.2f", decision.admitted_slowness)},
       {"slowness_age", decision.slowness_age
                            ? base::FormatDuration(*decision.slowness_age)
                            : "none"},
       {"usual_strain", decision.usual_strain
                            ? absl::StrFormat("%.2f", *decision.usual_strain)
                            : "none"},
       {"in_flight", absl::StrCat(decision.load.in_flight)},
       {"limit", absl::StrCat(decision.load.limit)},
       {"waiting", absl::StrCat(decision.load.queued)},
       {"expected_wait", base::FormatDuration(decision.load.expected_wait)},
       {"slowness", absl::StrFormat("%.2f", decision.slowness)},
       {"failing", absl::StrFormat("%.2f", decision.failure_share)},
       {"rate_limit", NameOfRate(decision.rate_limit)}});
}

void LogServerCrash(const std::string& service,
                    std::span<const admission::InterruptedRequest> running) {
  telemetry::LogEvent(
      Event::kServerEnded,
      {{"service", service},
       {"instance", running.empty() ? "" : running.front().instance},
       {"running", absl::StrCat(running.size())},
       {"requests", DescribeRunning(running)}});
}

void LogServerNotice(const std::string& instance,
                     std::optional<double> rate_limit,
                     bool is_leaving) {
  LogRequestEvent(Event::kServerNotice,
                  {{"instance", instance},
                   {"rate_limit", NameOfRate(rate_limit)},
                   {"leaving", is_leaving ? "yes" : "no"}});
}

void LogInvalidRateLimit(const std::string& instance) {
  LogRequestEvent(Event::kServerNoticeInvalid, {{"instance", instance}});
}

}  // namespace chestnutport::gate
