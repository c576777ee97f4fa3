// A server deregisters and is acknowledged; it serves on for some seconds. Its
// node is killed and started again. A check-in that the server had sent before
// it deregistered arrives late. `drain` after the acknowledgement, no request
// may reach the server.
#include <cstdio>

#include "../standin/standin.h"

using namespace review;

namespace {

// Traffic starts 8 s after the machines do.
constexpr int64_t kLeadMs = 8000;
constexpr int64_t kWorkMs = 140;    // dossie-read 120 ms, consent-send 160 ms
constexpr int64_t kDrainMs = 2000;  // `drain` of the small deployments.
constexpr int64_t kStableWindowMs = 3000;  // `stableWindow`
constexpr int64_t kLateMs = 2000;  // "A check-in may arrive seconds late."
constexpr int64_t kServesOnMs =
    9000;  // "a little longer (at times many seconds)"
// A request that was on its way when the bound passed.
constexpr int64_t kSlackMs = 100;

const char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":[)"
    R"(["r-read","api.example","/read/","idempotent","1000ms","400ms",2,"dossie",2],)"
    R"(["r-send","api.example","/send/","non_idempotent","1200ms","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections","protocol","tls"],)"
    R"("rows":[["dossie","/healthz",260,"h1",false],["laudo","/healthz",260,"h1",false]]},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

int Run(Record& record) {
  Deployment deployment(record);
  if (!deployment.Start({"dossie", "dossie", "laudo"}, kConfiguration)) {
    record.Say("the deployment did not start");
    return kCannotRun;
  }
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t i = 0; i < deployment.nodes.size(); ++i) {
    const Node& node = *deployment.nodes[i];
    servers.push_back(std::make_unique<Server>(
        record, node.service(), "i-0000000" + std::to_string(i + 1),
        node.server(), 12));
    if (!servers.back()->Start([](const Message&) {
          Sleep(kWorkMs);
          return 200;
        })) {
      record.Say("a server did not start");
      return kCannotRun;
    }
    servers.back()->CheckInAt(node.control());
  }
  Server& leaving = *servers[0];
  Node& node = *deployment.nodes[0];
  Sleep(kLeadMs);

  // Clients of the two machines that nothing happens to.
  Clients clients(record);
  clients.Start(
      {deployment.nodes[1]->outbound(), deployment.nodes[2]->outbound()},
      {{.method = "GET", .path = "/read/1"},
       {.method = "POST",
        .path = "/send/1",
        .deadline_ms = 1200,
        .body = "text"}},
      12, 250);
  Sleep(2000);
  if (leaving.Runs().empty()) {
    record.Say("no request reached the server before the disruption");
    return kCannotRun;
  }

  // The last check-in, sent before the server deregisters. It is on its way.
  leaving.StopCheckIns();
  const std::string late = leaving.CheckInText("ready", leaving.sequence() + 1);
  if (!leaving.Deregister()) {
    record.Say("the deregistration was not acknowledged");
    return kCannotRun;
  }
  const int64_t acknowledged_at = record.Now();
  record.Say("the leaving of " + leaving.id() + " was acknowledged at " +
             std::to_string(acknowledged_at) + " ms");
  int64_t in_touch_at = acknowledged_at;
  if (HasTrouble()) {
    Sleep(200);
    node.Kill();
    Sleep(500);
    if (!node.Restart() || !node.WaitUntilReady(5000)) {
      record.Say("the node did not start again");
      return kCannotRun;
    }
    in_touch_at = record.Now() + kStableWindowMs;
  }
  Sleep(acknowledged_at + kLateMs - record.Now());
  const bool is_taken = leaving.SendCheckIn(late);
  record.Say(std::string("the late check-in was ") +
             (is_taken ? "acknowledged" : "not acknowledged"));
  Sleep(acknowledged_at + kServesOnMs - record.Now());
  const int64_t exited_at = record.Now();
  leaving.Exit();
  record.Say("the server exited at " + std::to_string(exited_at) + " ms");
  Sleep(1500);
  clients.Stop();

  const int64_t bound =
      std::max(acknowledged_at + kDrainMs, in_touch_at) + kSlackMs;
  size_t late_runs = 0;
  for (const Server::Run& run : leaving.Runs()) {
    if (run.arrived_at > bound)
      ++late_runs;
  }
  size_t failed = 0;
  for (const auto& result : clients.Results()) {
    if (result.path == "/send/1" && result.sent_at < exited_at &&
        result.ended_at >= exited_at &&
        (result.status == 0 || result.status == 502 || result.status == 504))
      ++failed;
  }
  record.Say(std::to_string(leaving.Runs().size()) +
             " requests ran at the leaving server, " +
             std::to_string(late_runs) +
             " of them arrived later than `drain` after the acknowledgement, "
             "with all machines in touch; " +
             std::to_string(failed) +
             " requests that may run once were lost as it exited");
  return late_runs > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return kCannotRun;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const int result = Run(record);
  record.Say(result == kBroken ? "DRAIN is broken"
             : result == kHeld ? "DRAIN held"
                               : "the case could not run");
  return result;
}
