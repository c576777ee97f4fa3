#include "ingress/call_log.h"

#include <string_view>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::ingress {
namespace {

using telemetry::Event;
using telemetry::LogRequestEvent;

constexpr int kServerError = 500;
// Maximum length of the list of attempts in bytes; a field of a log line is
// limited to 200.
constexpr size_t kMaxAttemptsLength = 180;

std::string_view NameOf(calls::AttemptVerdict verdict) {
  switch (verdict) {
    case calls::AttemptVerdict::kAnswered:
      return "answered";
    case calls::AttemptVerdict::kFailed:
      return "failed";
    case calls::AttemptVerdict::kRefused:
      return "refused";
    case calls::AttemptVerdict::kNotSent:
      return "not-sent";
    case calls::AttemptVerdict::kLost:
      return "lost";
    case calls::AttemptVerdict::kFinalError:
      return "ended";
  }
  return "unknown";
}

// Formats in whole milliseconds to keep the line short.
std::string Rounded(base::Duration duration) {
  return base::FormatDuration(
      std::chrono::round<std::chrono::milliseconds>(duration));
}

// Formats an attempt as node@sent+took=verdict, followed by :error if the
// server did not answer. `sent` is relative to the arrival of the call; `took`
// is the duration of the attempt.
std::string Describe(const SentAttempt& attempt,
                     base::Instant arrived_at,
                     base::Instant now) {
  const base::Instant until = attempt.end ? attempt.ended_at : now;
  std::string text = absl::StrCat(attempt.server.node.ToString(), "@",
                                  Rounded(attempt.sent_at - arrived_at), "+",
                                  Rounded(until - attempt.sent_at), "=");
  if (!attempt.end) {
    absl::StrAppend(&text, "open");
    return text;
  }
  const std::string_view name = NameOf(attempt.end->verdict);
  text.append(name);
  const bool has_reason =
      attempt.end->verdict != calls::AttemptVerdict::kAnswered &&
      attempt.end->verdict != calls::AttemptVerdict::kFailed;
  if (has_reason) {
    const std::string_view reason = base::AnswerTo(attempt.end->error).name;
    text.append(":").append(reason);
  }
  return text;
}

// Lists the latest attempts in full, as they determined the outcome, and the
// number of earlier ones.
std::string DescribeAttempts(const ActiveCall& call, base::Instant now) {
  std::string text;
  size_t left = call.attempts.size();
  for (; left > 0; --left) {
    const SentAttempt& attempt = call.attempts[left - 1];
    if (attempt.sent_at == base::Instant())
      continue;  // No server was found for it.
    const std::string one = Describe(attempt, call.arrived_at, now);
    if (!text.empty() && text.size() + one.size() > kMaxAttemptsLength)
      break;
    text = text.empty() ? one : absl::StrCat(one, " ", text);
  }
  return left == 0 ? text : absl::StrCat(left, "-before ", text);
}

// Ordinary successes are counted in metrics, not logged.
bool IsOrdinary(const ActiveCall& call, const CallEnd& end, bool is_late) {
  return !end.error && !is_late && end.status < kServerError &&
         call.attempts.size() == 1;
}

}  // namespace

void LogCallEnd(const ActiveCall& call, const CallEnd& end, base::Instant now) {
  const base::Duration target = call.request.target_latency;
  const base::Duration took = now - call.arrived_at;
  const bool is_late = target > base::Duration::zero() && took > target;
  if (IsOrdinary(call, end, is_late))
    return;
  LogRequestEvent(Event::kCallEnded,
                  {{"request", call.request.name},
                   {"fingerprint", call.request.fingerprint.ToString()},
                   {"service", call.request.service},
                   {"class", call.request.traffic_class},
                   {"status", absl::StrCat(end.status)},
                   {"error", base::NameOf(end.error)},
                   {"late", is_late ? "yes" : "no"},
                   {"took", base::FormatDuration(took)},
                   {"allowed", base::FormatDuration(call.request.remaining)},
                   {"target", base::FormatDuration(target)},
                   {"retry_after", base::FormatDuration(end.retry_after)},
                   {"repeatable", call.request.is_repeatable ? "yes" : "no"},
                   {"candidates", absl::StrCat(call.service->chooser().size())},
                   {"revision", absl::StrCat(end.revision)},
                   {"sent", DescribeAttempts(call, now)}});
}

void LogBodyRefused(const std::string& request,
                    const net::BodyRefusal& refusal) {
  LogRequestEvent(Event::kBodyRefused,
                  {{"request", request},
                   {"error", base::NameOf(refusal.error)},
                   {"bytes", absl::StrCat(refusal.bytes)},
                   {"held", absl::StrCat(refusal.held)},
                   {"limit", absl::StrCat(refusal.limit)},
                   {"waiting", absl::StrCat(refusal.waiting)},
                   {"waited", base::FormatDuration(refusal.waited)}});
}

void LogCallRejected(const std::string& request,
                     base::RequestFingerprint fingerprint,
                     const std::string& tenant,
                     base::ErrorKind error,
                     uint64_t revision) {
  LogRequestEvent(Event::kCallRejected,
                  {{"request", request},
                   {"fingerprint", fingerprint.ToString()},
                   {"tenant", tenant},
                   {"error", base::NameOf(error)},
                   {"revision", absl::StrCat(revision)}});
}

void LogCallerGone(const ActiveCall& call, base::Instant now) {
  LogRequestEvent(Event::kCallerGone,
                  {{"request", call.request.name},
                   {"fingerprint", call.request.fingerprint.ToString()},
                   {"service", call.request.service},
                   {"took", base::FormatDuration(now - call.arrived_at)},
                   {"sent", DescribeAttempts(call, now)}});
}

void LogCallerGoneBeforeStart(const std::string& request) {
  LogRequestEvent(Event::kCallerGone,
                  {{"request", request},
                   {"took", base::FormatDuration(base::Duration::zero())},
                   {"sent", ""}});
}

}  // namespace chestnutport::ingress
