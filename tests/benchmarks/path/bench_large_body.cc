// What a large body costs on its way through two nodes: memory, processor and
// time, and the latency of small requests beside it. Real processes on
// loopback; figures are reported, not judged.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "support/hosted_node.h"
#include "support/process_memory.h"
#include "support/raw_socket.h"
#include "support/wait.h"

ABSL_FLAG(int, uploads, 10, "Uploads, one behind the other.");
ABSL_FLAG(size_t, size, 60 * 1024 * 1024, "Bytes of each body.");

namespace {

namespace base = chestnutport::base;
namespace test = chestnutport::test;

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["p","a.example","/p/","idempotent","9s","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":)"
    R"({"maxBodyBytes":67108864}})";

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double ProcessorMilliseconds(const test::Process& process) {
  std::ifstream file(absl::StrCat("/proc/", process.pid(), "/stat"));
  std::string word;
  for (int field = 1; field < 14; ++field)
    file >> word;
  double user = 0;
  double system = 0;
  file >> user >> system;
  return 1000 * (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Sends a request and returns how long its answer took; negative if it failed.
double TimeRequest(test::RawSocket& socket,
                   const std::string& id,
                   size_t size) {
  const std::string body(size, 'x');
  const base::Instant begun_at = base::Clock::now();
  socket.Send(absl::StrCat("POST /p/x HTTP/1.1\r\nHost: a.example\r\n",
                           "Request-Id: ", id, "\r\nDeadline-Ms: 8000\r\n",
                           "Content-Length: ", size, "\r\n\r\n", body));
  const bool is_served = socket.ReadMessage().starts_with("HTTP/1.1 200");
  return is_served ? Milliseconds(base::Clock::now() - begun_at) : -1;
}

void Print(const std::string& name, std::vector<double> times) {
  std::ranges::sort(times);
  const auto at = [&](double share) {
    return times[static_cast<size_t>(share *
                                     static_cast<double>(times.size() - 1))];
  };
  std::cout << name << ": " << times.size() << " requests, "
            << std::ranges::count(times, -1.0) << " failed, p50 " << at(0.5)
            << " ms, p99 " << at(0.99) << " ms, most " << at(1) << " ms\n";
}

void Measure(test::HostedNode& ingress, test::HostedNode& gate) {
  std::atomic<bool> is_over = false;
  std::vector<double> small;
  std::thread small_caller([&] {
    test::RawSocket socket(ingress.caller_address());
    for (int i = 0; !is_over; ++i) {
      small.push_back(TimeRequest(socket, absl::StrCat("s-", i), 1200));
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  });
  const double before = ProcessorMilliseconds(ingress.process()) +
                        ProcessorMilliseconds(gate.process());
  std::vector<double> large;
  const int uploads = absl::GetFlag(FLAGS_uploads);
  for (int i = 0; i < uploads; ++i) {
    test::RawSocket socket(ingress.caller_address());
    large.push_back(
        TimeRequest(socket, absl::StrCat("l-", i), absl::GetFlag(FLAGS_size)));
  }
  const double after = ProcessorMilliseconds(ingress.process()) +
                       ProcessorMilliseconds(gate.process());
  is_over = true;
  small_caller.join();
  Print("large", large);
  Print("small beside them", small);
  std::cout << "processor of both nodes, an upload: "
            << (after - before) / uploads << " ms\npeak of the caller's node: "
            << test::PeakMemory(ingress.process()) / 1000
            << " MB, of the gate's: " << test::PeakMemory(gate.process()) / 1000
            << " MB\nafterwards: "
            << test::ResidentMemory(ingress.process()) / 1000 << " MB and "
            << test::ResidentMemory(gate.process()) / 1000 << " MB\n";
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto folder = std::filesystem::temp_directory_path() /
                      absl::StrCat("bench-large-body-", getpid());
  std::filesystem::create_directories(folder);
  int result = 0;
  {
    test::HostedPlatform platform;
    platform.Put("op/config", kConfiguration);
    test::HostedNode ingress("ingress", platform.store_address(), folder);
    test::HostedNode gate("gate", platform.store_address(), folder);
    test::HostedServer& server = platform.AddServer("dossie", "i-1");
    const bool is_ready =
        test::WaitUntil([&] { return ingress.IsReady() && gate.IsReady(); });
    gate.Announce(server, "ready", 1);
    if (is_ready && test::WaitUntil([&] {
          return ingress.Call("/p/x", "first").status == 200;
        })) {
      Measure(ingress, gate);
    } else {
      std::cerr << "the nodes did not become ready\n";
      result = 1;
    }
  }
  std::filesystem::remove_all(folder);
  return result;
}
