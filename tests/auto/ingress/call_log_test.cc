// Tests how the log line of a call lists its attempts.
#include "ingress/call_log.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "calls/retry_budget.h"
#include "ingress/active_call.h"
#include "telemetry/log.h"

namespace chestnutport::ingress {
namespace {

using std::chrono::milliseconds;

constexpr base::Instant kStart = base::Instant(std::chrono::hours(1));

// Returns the log line of a call that was returned `moves` times before a
// server answered.
std::string LineAfter(int moves) {
  calls::RetryBudget node_retries(0.2, 50);
  ServiceTraffic service({base::NodeId{1}, "n", "dc", "r"}, node_retries);
  CallerRequest request;
  request.name = "r1";
  request.target_latency = milliseconds(120);
  ActiveCall call{.id = 1,
                  .service = &service,
                  .call_state = calls::Call(service.Policy(request), kStart,
                                            kStart + std::chrono::seconds(1),
                                            service.Budgets()),
                  .arrived_at = kStart};
  call.request = request;
  for (int i = 0; i <= moves; ++i) {
    SentAttempt sent;
    sent.server.node = base::NodeId{static_cast<uint64_t>(i) + 16};
    sent.sent_at = kStart + milliseconds(4) * i;
    sent.ended_at = sent.sent_at + std::chrono::microseconds(3600);
    sent.end = calls::AttemptEnd{calls::AttemptVerdict::kRefused,
                                 base::ErrorKind::kServerSlow};
    if (i == moves)
      sent.end = calls::AttemptEnd{calls::AttemptVerdict::kAnswered};
    call.attempts.push_back(sent);
  }
  std::ostringstream out;
  {
    const telemetry::LogSession log("n", telemetry::Level::kInfo, out);
    LogCallEnd(call, {.status = 200}, kStart + milliseconds(200));
  }
  return out.str();
}

TEST_CASE("the log line of a call lists its attempts") {
  SECTION("with send time, duration and result") {
    const std::string line = LineAfter(1);
    CHECK(line.find("0000000000000010@0s+4ms=refused:server-slow "
                    "0000000000000011@4ms+4ms=answered") != std::string::npos);
    CHECK(line.find("-before") == std::string::npos);
  }
  SECTION("only the latest in full if they exceed the maximum length") {
    const std::string line = LineAfter(7);
    CHECK(line.find("0000000000000017@28ms+4ms=answered") != std::string::npos);
    CHECK(line.find("-before ") != std::string::npos);
  }
}

}  // namespace
}  // namespace chestnutport::ingress
