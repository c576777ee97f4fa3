// A check-in of another writer, with fields missing, arrives at a node. It must
// name no server to use, and the check-ins of the node's own server hold. Later
// that server reports `draining` and is acknowledged: `drain` after that, no
// request may reach it.
#include <cstdio>

#include "../standin/standin.h"

using namespace review;

namespace {

// Traffic starts 8 s after the machines do.
constexpr int64_t kLeadMs = 8000;
constexpr int64_t kWorkMs = 140;    // dossie-read 120 ms, consent-send 160 ms
constexpr int64_t kDrainMs = 2000;  // `drain` of the small deployments.
constexpr int64_t kServesOnMs =
    5000;  // "a little longer (at times many seconds)"
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
  const Address control = deployment.nodes[0]->control();
  Sleep(kLeadMs);

  Clients clients(record);
  clients.Start(
      {deployment.nodes[0]->outbound(), deployment.nodes[1]->outbound(),
       deployment.nodes[2]->outbound()},
      {{.method = "GET", .path = "/read/1"},
       {.method = "POST",
        .path = "/send/1",
        .deadline_ms = 1200,
        .body = "text"}},
      12, 250);
  Sleep(2000);
  const size_t runs_before = leaving.Runs().size();
  if (runs_before == 0) {
    record.Say("no request reached the server before the disruption");
    return kCannotRun;
  }

  if (HasTrouble()) {
    // Without an id, zone, version, state, coldRemaining and sequence.
    const std::string body = "{\"service\":\"dossie\",\"address\":\"" +
                             leaving.address().Text() + "\",\"slots\":12}";
    const auto answer =
        Ask(control,
            "POST /v1/server/ HTTP/1.1\r\nHost: " + control.Text() +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            1000);
    record.Say("another writer's check-in " + body + " -> " +
               std::to_string(answer ? answer->Status() : 0));
  }
  // The machine stays in touch, and its own server checks in twice more.
  Sleep(4000);

  if (!leaving.ReportDraining()) {
    record.Say("`draining` was not acknowledged");
    return kCannotRun;
  }
  const int64_t acknowledged_at = record.Now();
  record.Say("`draining` of " + leaving.id() + " was acknowledged at " +
             std::to_string(acknowledged_at) + " ms");
  Sleep(kDrainMs + kServesOnMs);
  leaving.Deregister();
  const int64_t exited_at = record.Now();
  leaving.Exit();
  record.Say("the server exited at " + std::to_string(exited_at) + " ms");
  Sleep(1500);
  clients.Stop();

  size_t late = 0;
  for (const Server::Run& run : leaving.Runs()) {
    if (run.arrived_at > acknowledged_at + kDrainMs + kSlackMs)
      ++late;
  }
  size_t failed = 0;
  for (const auto& result : clients.Results()) {
    if (result.path == "/send/1" && result.sent_at < exited_at &&
        result.ended_at >= exited_at &&
        (result.status == 0 || result.status == 502 || result.status == 504))
      ++failed;
  }
  record.Say(std::to_string(leaving.Runs().size()) +
             " requests ran at the leaving server, " + std::to_string(late) +
             " of them arrived later than `drain` after the acknowledgement; " +
             std::to_string(failed) +
             " requests that may run once were lost as it exited");
  return late > 0 ? kBroken : kHeld;
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
