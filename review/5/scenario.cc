// Bodies within maxBodyBytes, one at a time at each machine, take a node over
// its memory limit; the platform kills it, and its other callers' requests are
// lost.
#include <array>
#include <iostream>

#include "clients.h"

namespace {

using namespace review;

constexpr int kMachines = 4;
constexpr int kSlots = 15;
constexpr int kClientsPerMachine = 8;
constexpr Ms kWork{250};
// Of the deployment: memoryMb of a machine, and maxBodyBytes of op/config.
constexpr size_t kMemoryLimit = 260UL * 1024 * 1024;
constexpr size_t kMaxBodyBytes = 67108864;
constexpr size_t kLargeBody = 60UL * 1024 * 1024;
static_assert(kLargeBody <= kMaxBodyBytes);
constexpr size_t kUsualBody = 1200;
constexpr int kRounds = 4;  // In each, one client of each machine uploads:
constexpr int kUploadsPerRound = 4;  // so often, one behind the other.
constexpr Ms kBetweenRounds{5000};   // More than stableWindow (3 s).
constexpr Ms kRestartDelay{500};
// LOST: more than three such requests at a machine break the rule.
constexpr int kAllowed = 3;

struct Counts {
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> own_ends = 0;
  std::atomic<size_t> peak = 0;
};

class Case {
 public:
  Case(std::filesystem::path root, Record& record)
      : root_(std::move(root)),
        record_(record),
        folder_(std::filesystem::temp_directory_path() /
                ("review-5-" + std::to_string(getpid()))),
        network_(Network()),
        store_({network_ + "2", 8142}) {}

  int Run() {
    std::filesystem::create_directories(folder_);
    store_.Put("op/config", kTwoRoutes);
    for (int i = 0; i < kMachines; ++i)
      AddMachine(i);
    for (auto& node : nodes_) {
      if (!WaitUntil([&] { return node->IsReady(); }, Ms(20000)))
        return kCouldNotRun;
    }
    // Traffic starts 8 s after the machines do.
    std::this_thread::sleep_for(Ms(8000));
    std::vector<std::thread> threads;
    threads.emplace_back([this] { WatchMemory(); });
    for (int i = 0; i < kMachines; ++i) {
      for (int client = 0; client < kClientsPerMachine; ++client)
        threads.emplace_back([this, i, client] { CallOn(i, client); });
    }
    std::this_thread::sleep_for(Ms(5000));
    for (int round = 0; round < kRounds; ++round) {
      std::vector<std::thread> uploads;
      for (int i = 0; i < kMachines; ++i) {
        uploads.emplace_back([this, i, round] {
          for (int number = 0; number < kUploadsPerRound; ++number) {
            Upload(i, "upload-" + std::to_string(i) + "-" +
                          std::to_string(round) + "-" + std::to_string(number));
          }
        });
      }
      for (std::thread& upload : uploads)
        upload.join();
      std::this_thread::sleep_for(kBetweenRounds);
    }
    is_over_ = true;
    for (std::thread& thread : threads)
      thread.join();
    return Judge();
  }

  void CleanUp() {
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }

 private:
  void AddMachine(int i) {
    const Machine machine =
        MakeMachine(network_, i, "zone-" + std::to_string(i % 2), "svc");
    servers_.push_back(std::make_unique<Server>(
        machine, "i-7f3a91c" + std::to_string(i), kSlots, record_));
    Server* server = servers_.back().get();
    server->Start([this, server](const Message& request) {
      ledger_.Add(request.Header("Request-Id"));
      std::this_thread::sleep_for(kWork);
      return server->Success(request, "done");
    });
    nodes_.push_back(std::make_unique<Node>(machine, root_, folder_,
                                            store_.address(), record_));
    nodes_.back()->Start();
  }

  // Kills a process that exceeds memoryMb, and starts it again. Counted are
  // anonymous pages only: no code, no files.
  void WatchMemory() {
    while (!is_over_) {
      for (int i = 0; i < kMachines; ++i) {
        const size_t bytes = ResidentBytes(nodes_[i]->pid(), "RssAnon:");
        counts_[i].peak = std::max(counts_[i].peak.load(), bytes);
        if (bytes <= kMemoryLimit)
          continue;
        record_.Line(nodes_[i]->machine().name + " holds " +
                     std::to_string(bytes) + " bytes of " +
                     std::to_string(kMemoryLimit) + " allowed");
        ++counts_[i].own_ends;
        nodes_[i]->Kill();
        std::this_thread::sleep_for(kRestartDelay);
        nodes_[i]->Start();
      }
      std::this_thread::sleep_for(Ms(2));
    }
  }

  // A client with one connection, which it keeps.
  void CallOn(int machine, int client) {
    int number = 0;
    while (!is_over_) {
      const int fd = ConnectTo(nodes_[machine]->machine().outbound);
      if (fd < 0) {
        std::this_thread::sleep_for(Ms(200));
        continue;
      }
      Stream stream(fd);
      bool is_kept = false;
      while (!is_over_ && CallOnce(stream, machine, is_kept,
                                   "c" + std::to_string(machine) + "-" +
                                       std::to_string(client) + "-" +
                                       std::to_string(number++))) {
        is_kept = true;
        std::this_thread::sleep_for(Ms(20));
      }
    }
  }

  bool CallOnce(Stream& stream,
                int machine,
                bool is_kept,
                const std::string& id) {
    const Request request{
        .path = "/set/gate", .id = id, .body_size = kUsualBody};
    const auto until = Clock::now() + request.time_budget;
    record_.Line("client sends " + id + " to machine " +
                 std::to_string(machine) +
                 (is_kept ? " on a kept" : " on a new") + " connection");
    stream.Write(request.Bytes(), until);
    const Message answer = stream.Read(until);
    if (answer.is_whole) {
      ++counts_[machine].answered;
      record_.Line("client gets " + std::to_string(answer.status()) + " for " +
                   id);
      return answer.status() == 200;
    }
    const bool is_closed = stream.IsClosedByPeer();
    const bool has_run = ledger_.Count(id) > 0;
    record_.Line("client gets no answer for " + id +
                 (is_closed ? ", connection closed" : ", time is up") +
                 (has_run ? ", a server runs it" : ", no server runs it"));
    if (is_kept && is_closed && has_run)
      ++counts_[machine].lost;
    return false;
  }

  void Upload(int machine, const std::string& id) {
    const Request request{.path = "/set/upload",
                          .id = id,
                          .body_size = HasTrouble() ? kLargeBody : kUsualBody};
    const int fd = ConnectTo(nodes_[machine]->machine().outbound);
    if (fd < 0)
      return;
    Stream stream(fd);
    const auto until = Clock::now() + request.time_budget;
    record_.Line("client sends " + id + " with a body of " +
                 std::to_string(request.body_size) + " bytes to machine " +
                 std::to_string(machine));
    stream.Write(request.Bytes(), until);
    const Message answer = stream.Read(until);
    record_.Line("client gets " +
                 (answer.is_whole ? std::to_string(answer.status())
                                  : std::string("no answer")) +
                 " for " + id);
  }

  int Judge() {
    bool is_broken = false;
    int answered = 0;
    for (int i = 0; i < kMachines; ++i) {
      const std::string line =
          "machine " + std::to_string(i) + ": answered " +
          std::to_string(counts_[i].answered) +
          ", passed on from a kept connection and closed without an answer " +
          std::to_string(counts_[i].lost) + ", ended over the memory limit " +
          std::to_string(counts_[i].own_ends) + " times, peak " +
          std::to_string(counts_[i].peak / 1000000) + " MB";
      record_.Line(line);
      std::cout << line << "\n";
      is_broken |= counts_[i].lost > kAllowed;
      answered += counts_[i].answered;
    }
    if (answered < 100)
      return kCouldNotRun;
    return is_broken ? kBroken : kHeld;
  }

  std::filesystem::path root_;
  Record& record_;
  std::filesystem::path folder_;
  std::string network_;
  Store store_;
  RunLedger ledger_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::array<Counts, kMachines> counts_;
  std::atomic<bool> is_over_ = false;
};

}  // namespace

int main(int /*argc*/, char** argv) {
  Record record("record.txt");
  auto* run = new Case(argv[1], record);
  const int result = run->Run();
  record.Line(result == kBroken ? "LOST is broken"
              : result == kHeld ? "the rule held"
                                : "the case could not run");
  run->CleanUp();
  std::cout << (result == kBroken ? "broken"
                : result == kHeld ? "held"
                                  : "?")
            << std::endl;
  _exit(result);
}
