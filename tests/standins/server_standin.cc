// A test double of a backend server. Runs up to `slots` requests at a time,
// each for the duration given by the query (?ms=20), and queues the others.
// Answers with `bytes` of padding between two copies of the request's
// X-Request-Id, and appends "started ID" and "finished ID" to its ledger.
// Announces itself to its own node. On SIGTERM it finishes the requests in
// flight, then exits.
//
// POST /standin switches faults on and off: {"straggle_ms": N, "shed": BOOL,
// "fail": BOOL, "announce": BOOL, "draining": BOOL, "rate_limit": N,
// "leaving": BOOL, "health": "well" | "ill" | "silent"}. It returns the
// counters, as does GET; "most_in_window" is the largest number of requests in
// 4 s while it states the rate limit.
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "client_limits/listener_limits.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "wire/header_names.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");
ABSL_FLAG(std::string,
          node,
          "",
          "Announcement address of the node on the same VM.");
ABSL_FLAG(std::string, service, "", "Service to announce.");
ABSL_FLAG(std::string, name, "server", "Name sent in the X-Server header.");
ABSL_FLAG(std::string,
          announce_as,
          "",
          "Address to announce, if not the listening one.");
ABSL_FLAG(std::string, ledger, "", "File to append executions to.");
ABSL_FLAG(bool,
          run_twice,
          false,
          "Injected fault: records each request as started twice.");
ABSL_FLAG(bool,
          mix_up,
          false,
          "Injected fault: answers with the id of another request.");
ABSL_FLAG(bool, announce_start, false, "Announces when the server started.");
ABSL_FLAG(int, slots, 12, "Maximum number of concurrent requests.");

namespace {

using nlohmann::json;
namespace http_client = chestnutport::http_client;
namespace net = chestnutport::net;
namespace base = chestnutport::base;

constexpr std::chrono::milliseconds kAnnounceInterval(200);
constexpr std::chrono::seconds kAnnounceTimeout(1);
constexpr std::chrono::seconds kRateWindow(4);
// Time after which all nodes have to keep to a rate limit.
constexpr std::chrono::seconds kRateNotice(1);

int QueryNumber(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  int number = 0;
  if (at == std::string::npos)
    return 0;
  const std::string rest = target.substr(at + name.size() + 1);
  return absl::SimpleAtoi(rest.substr(0, rest.find('&')), &number) ? number : 0;
}

class ServerStandin {
 public:
  explicit ServerStandin(net::EventLoop& loop)
      : loop_(loop), client_(loop, http_client::HttpClientOptions{}) {
    const std::string path = absl::GetFlag(FLAGS_ledger);
    if (!path.empty()) {
      ledger_fd_ =
          open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
  }

  void OnRequest(net::HttpRequest request, net::Reply reply) {
    if (request.target == "/standin") {
      OnCommand(request, std::move(reply));
      return;
    }
    if (net::FindHeader(request.headers, "X-Request-Id").empty()) {
      ++probes_;  // Only health probes have no request id.
      AnswerProbe(std::move(reply));
      return;
    }
    CountInWindow();
    if (faults_.value("shed", false)) {
      ++shed_;
      net::HttpHeaders headers = {
          {chestnutport::wire::kOutcomeHeader, "not-run"}};
      AddNotices(headers);
      reply.Send({.status = 503, .headers = std::move(headers)});
      return;
    }
    queue_.push_back({std::move(request), std::move(reply)});
    RunQueued();
  }

  // Reports healthy unless the "health" fault is set, independently of how
  // requests are answered.
  void AnswerProbe(net::Reply reply) {
    const std::string health = faults_.value("health", "well");
    if (health == "silent")
      unanswered_probes_.push_back(std::move(reply));
    else if (health == "ill")
      reply.Send({.status = 503, .body = "{\"healthy\": false}"});
    else
      reply.Send({.body = "{\"healthy\": true}"});
  }

  void Announce(const base::SocketAddress& node, const std::string& address) {
    const bool is_draining = faults_.value("draining", false);
    json body = {{"service", absl::GetFlag(FLAGS_service)},
                 {"draining", is_draining},
                 {"address", address},
                 {"slots", absl::GetFlag(FLAGS_slots)},
                 {"health", "/health"},
                 {"instance", address}};
    if (absl::GetFlag(FLAGS_announce_start))
      body["born"] = started_at_.count();
    if (faults_.value("announce", true) && !is_stopping_) {
      client_.Send(
          node, {.method = "POST", .target = "/v1/server", .body = body.dump()},
          kAnnounceTimeout, [](const http_client::TransferResult&) {});
    }
    loop_.CallAfter(kAnnounceInterval,
                    [this, node, address] { Announce(node, address); });
  }

  void Stop() {
    is_stopping_ = true;
    StopIfIdle();
  }

 private:
  struct Work {
    net::HttpRequest request;
    net::Reply reply;
  };

  void OnCommand(const net::HttpRequest& request, net::Reply reply) {
    const json command = json::parse(request.body.ToString(), nullptr, false);
    if (command.is_object())
      faults_.update(command);
    if (command.is_object() && command.contains("rate_limit")) {
      limited_from_ = base::Clock::now() + kRateNotice;
      most_in_window_ = 0;
    }
    const json counts = {{"running", running_ + queue_.size()},
                         {"started", started_},
                         {"finished", finished_},
                         {"shed", shed_},
                         {"most_in_window", most_in_window_},
                         {"probes", probes_}};
    reply.Send({.body = counts.dump()});
  }

  bool IsRateLimited() const { return faults_.value("rate_limit", 0) > 0; }

  void CountInWindow() {
    const base::Instant now = base::Clock::now();
    if (!IsRateLimited() || now < limited_from_)
      return;
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - kRateWindow)
      arrivals_.pop_front();
    most_in_window_ = std::max(most_in_window_, arrivals_.size());
  }

  // Adds what the server states about itself; a "X-Leaving" with its process is
  // for callers.
  void AddNotices(net::HttpHeaders& headers) const {
    if (IsRateLimited()) {
      headers.push_back({chestnutport::wire::kRateLimitHeader,
                         absl::StrCat(faults_.value("rate_limit", 0))});
    }
    if (faults_.value("leaving", false)) {
      headers.push_back({chestnutport::wire::kLeavingHeader, "1"});
      headers.push_back({"X-Leaving", absl::StrCat(getpid())});
    }
  }

  void RunQueued() {
    while (!queue_.empty() && running_ < absl::GetFlag(FLAGS_slots)) {
      auto work = std::make_shared<Work>(std::move(queue_.front()));
      queue_.pop_front();
      Run(work);
    }
  }

  void Run(const std::shared_ptr<Work>& work) {
    const std::string& target = work->request.target;
    const std::string id(
        net::FindHeader(work->request.headers, "X-Request-Id"));
    ++running_;
    ++started_;
    WriteLine("started ", id);
    if (absl::GetFlag(FLAGS_run_twice))
      WriteLine("started ", id);
    const int bytes = QueryNumber(target, "bytes");
    const auto end = [this, work, id, bytes] { Finish(*work, id, bytes); };
    const std::chrono::milliseconds time(QueryNumber(target, "ms") +
                                         faults_.value("straggle_ms", 0));
    if (time.count() == 0)
      end();
    else
      loop_.CallAfter(time, end);
  }

  void Finish(Work& work, const std::string& id, int bytes) {
    --running_;
    ++finished_;
    WriteLine("finished ", id);
    const std::string answered_id = absl::GetFlag(FLAGS_mix_up) ? last_id_ : id;
    last_id_ = id;
    const bool fails = faults_.value("fail", false);
    net::HttpHeaders headers = {{"X-Request-Id", id},
                                {"X-Server", absl::GetFlag(FLAGS_name)}};
    AddNotices(headers);
    work.reply.Send(
        {.status = fails ? 500 : 200,
         .headers = std::move(headers),
         .body = absl::StrCat("[", answered_id, "]",
                              std::string(static_cast<size_t>(bytes), '.'), "[",
                              answered_id, "]")});
    RunQueued();
    StopIfIdle();
  }

  void WriteLine(const char* what, const std::string& id) const {
    const std::string line = absl::StrCat(what, id, "\n");
    if (ledger_fd_ >= 0 && write(ledger_fd_, line.data(), line.size()) < 0)
      std::cerr << "ledger not written" << std::endl;
  }

  // Stops after a delay, so that the last answer can still be written.
  void StopIfIdle() {
    if (is_stopping_ && running_ == 0 && queue_.empty())
      loop_.CallAfter(std::chrono::milliseconds(50), [this] { loop_.Stop(); });
  }

  net::EventLoop& loop_;
  http_client::HttpClient client_;
  std::string last_id_;  // Id of the request answered last.
  json faults_ = json::object();
  std::deque<Work> queue_;
  std::vector<net::Reply>
      unanswered_probes_;  // Kept, so that the connections stay open.
  const std::chrono::milliseconds started_at_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  base::Instant limited_from_;
  std::deque<base::Instant> arrivals_;  // In the last kRateWindow.
  size_t most_in_window_ = 0;
  int ledger_fd_ = -1;
  int running_ = 0;
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  uint64_t shed_ = 0;
  uint64_t probes_ = 0;
  bool is_stopping_ = false;
};

void StopOnSignal(net::EventLoop& loop, ServerStandin& standin) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const int fd = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
  loop.Watch(fd, EPOLLIN, [&loop, &standin, fd](uint32_t) {
    loop.Unwatch(fd);
    standin.Stop();
  });
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  net::EventLoop loop;
  ServerStandin standin(loop);
  const auto address = base::SocketAddress::Parse(absl::GetFlag(FLAGS_listen));
  auto server = net::HttpServer::Open(
      loop, address.value(), chestnutport::client_limits::ListenerLimits{},
      [&standin](net::HttpRequest request, net::Reply reply) {
        standin.OnRequest(std::move(request), std::move(reply));
      });
  if (!server)
    return 1;
  const std::string listen_address = server.value()->address().ToString();
  std::cout << "listening=" << listen_address << std::endl;
  const auto node = base::SocketAddress::Parse(absl::GetFlag(FLAGS_node));
  const std::string announced_address = absl::GetFlag(FLAGS_announce_as);
  if (node)
    standin.Announce(
        *node, announced_address.empty() ? listen_address : announced_address);
  StopOnSignal(loop, standin);
  loop.Run();
  return 0;
}
