// Stand-ins of the hosted platform: its store, the processes of the nodes, and
// servers beside them. They follow the users' pages PROTOCOL.md and DEPLOY.md.
#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "net.h"

namespace review {

using nlohmann::json;

inline std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const bool is_given = i + j < bytes.size();
      group = group << 8 |
              (is_given ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool is_given = j == 0 || i + j - 1 < bytes.size();
      text += is_given ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// Writes what happens to record.txt, one line an event.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const auto at = std::chrono::duration_cast<Ms>(Clock::now() - begun_);
    out_ << at.count() << "ms " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point begun_ = Clock::now();
};

// The platform's store: linearizable, loses nothing, expires leases in time.
class Store {
 public:
  explicit Store(const Address& address) : address_(address) {
    Serve(address, [this](Stream& stream) { Handle(stream); });
    std::thread([this] {
      for (;;) {
        std::this_thread::sleep_for(Ms(50));
        const std::lock_guard lock(mutex_);
        ExpireLeases();
      }
    }).detach();
  }

  const Address& address() const { return address_; }

  // As the operator: not under the nodes' rules.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {Base64(value), ++revision_, revision_, 0, false};
    changed_.notify_all();
  }

  // While set, calls of nodes get no answer: the store is down ("silent").
  void SetDown(bool down) { is_down_ = down; }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
    bool is_deleted = false;
  };
  struct Lease {
    Ms ttl;
    Clock::time_point until;
  };

  static std::string Unescape(const std::string& text) {
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        plain += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }

  static std::string Query(const std::string& target, const std::string& name) {
    const size_t query = target.find('?');
    if (query == std::string::npos)
      return "";
    std::stringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(name + "=", 0) == 0)
        return Unescape(part.substr(name.size() + 1));
    }
    return "";
  }

  static json ToJson(const std::string& key, const Item& item) {
    if (item.is_deleted)
      return {{"key", key}, {"revision", item.revision}, {"deleted", true}};
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  static std::string Reply(int status, const json& body) {
    return Answer(status, "Content-Type: application/json\r\n", body.dump());
  }

  void Handle(Stream& stream) {
    for (;;) {
      const Message call = stream.Read();
      if (!call.is_whole)
        return;
      if (is_down_)
        std::this_thread::sleep_for(std::chrono::hours(1));
      if (!stream.Write(Execute(call)))
        return;
    }
  }

  std::string Execute(const Message& call) {
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    ExpireLeases();
    if (path == "/chestnutport/kv-key")
      return Key(Query(target, "key"));
    if (path == "/chestnutport/kv-range")
      return Range(Query(target, "prefix"), Query(target, "after"));
    if (path == "/chestnutport/kv-watch")
      return Watch(lock, target);
    if (path == "/chestnutport/kv-txn")
      return Transaction(json::parse(call.body, nullptr, false));
    if (path == "/chestnutport/kv-lease")
      return Grant(json::parse(call.body, nullptr, false));
    const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = leases_.find(id);
    if (lease == leases_.end())
      return Reply(404, json::object());
    if (path.rfind("/chestnutport/kv-keep/", 0) == 0)
      lease->second.until = Clock::now() + lease->second.ttl;
    else
      EndLease(id);
    return Reply(200, json::object());
  }

  std::string Key(const std::string& key) const {
    const auto found = items_.find(key);
    if (found == items_.end() || found->second.is_deleted)
      return Reply(404, {{"asOf", revision_}});
    json item = ToJson(key, found->second);
    item["asOf"] = revision_;
    return Reply(200, item);
  }

  std::string Range(const std::string& prefix, const std::string& after) const {
    json items = json::array();
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) == 0 && key > after && !item.is_deleted)
        items.push_back(ToJson(key, item));
    }
    return Reply(200,
                 {{"items", items}, {"hasMore", false}, {"asOf", revision_}});
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& target) {
    const std::string prefix = Query(target, "prefix");
    const int64_t after = std::atoll(Query(target, "after").c_str());
    const auto until =
        Clock::now() + Ms(std::atoll(Query(target, "waitMs").c_str()));
    json events = json::array();
    for (;;) {
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) == 0 && item.revision > after)
          events.push_back(ToJson(key, item));
      }
      if (!events.empty() ||
          changed_.wait_until(lock, until) == std::cv_status::timeout)
        return Reply(200, {{"events", events}, {"asOf", revision_}});
    }
  }

  std::string Transaction(const json& body) {
    if (!body.is_object())
      return Reply(400, json::object());
    json present = json::array();
    bool holds = true;
    for (const json& row : body.value("expected", json::array())) {
      const std::string key = row.at("key");
      const auto found = items_.find(key);
      const bool exists = found != items_.end() && !found->second.is_deleted;
      holds &= (exists ? found->second.revision : 0) ==
               row.at("revision").get<int64_t>();
      if (exists)
        present.push_back(ToJson(key, found->second));
    }
    if (!holds)
      return Reply(412, {{"items", present}});
    for (const json& put : body.value("puts", json::array())) {
      const int64_t lease = put.value("lease", int64_t{0});
      if (lease != 0 && !leases_.contains(lease))
        return Reply(404, json::object());
    }
    ++revision_;
    for (const json& put : body.value("puts", json::array())) {
      const std::string key = put.at("key");
      const auto found = items_.find(key);
      const bool exists = found != items_.end() && !found->second.is_deleted;
      items_[key] = {put.at("value"), revision_,
                     exists ? found->second.created : revision_,
                     put.value("lease", int64_t{0}), false};
    }
    for (const json& key : body.value("deletes", json::array()))
      items_[key.get<std::string>()] = {"", revision_, 0, 0, true};
    changed_.notify_all();
    return Reply(200, {{"revision", revision_}});
  }

  std::string Grant(const json& body) {
    const std::string text = body.value("ttl_time", "1000ms");
    const bool is_ms = text.find("ms") != std::string::npos;
    const double number = std::atof(text.c_str());
    const Ms ttl(static_cast<int64_t>(is_ms ? number : number * 1000));
    leases_[++last_lease_] = {ttl, Clock::now() + ttl};
    return Reply(200, {{"lease", last_lease_}, {"ttl_time", text}});
  }

  void EndLease(int64_t id) {
    leases_.erase(id);
    for (auto& [key, item] : items_) {
      if (!item.is_deleted && item.lease == id)
        item = {"", ++revision_, 0, 0, true};
    }
    changed_.notify_all();
  }

  void ExpireLeases() {
    std::vector<int64_t> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.until < Clock::now())
        expired.push_back(id);
    }
    for (const int64_t id : expired)
      EndLease(id);
  }

  Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 77000;
  std::atomic<bool> is_down_ = false;
};

// Fills in a template as DEPLOY.md says: values, and sections that are present
// or not.
inline std::string FillTemplate(
    const std::string& text,
    const std::map<std::string, std::string>& values) {
  std::string out;
  size_t at = 0;
  while (at < text.size()) {
    const size_t open = text.find("{{", at);
    if (open == std::string::npos)
      return out + text.substr(at);
    out += text.substr(at, open - at);
    const size_t close = text.find("}}", open);
    const std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    const auto found =
        values.find(name[0] == '#' || name[0] == '^' ? name.substr(1) : name);
    const bool is_true = found != values.end() && !found->second.empty();
    if (name[0] == '#' || name[0] == '^') {
      const std::string end = "{{/" + name.substr(1) + "}}";
      const size_t to = text.find(end, at);
      if (is_true == (name[0] == '#'))
        out += FillTemplate(text.substr(at, to - at), values);
      at = to + end.size();
    } else if (is_true) {
      out += found->second;
    }
  }
  return out;
}

// The addresses of a machine. Ports are the same on all machines.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  Address inbound, outbound, ready, control_addr, app;
};

// A node process, as the platform runs it.
class Node {
 public:
  Node(Machine machine,
       std::filesystem::path root,
       std::filesystem::path folder,
       Address store,
       Record& record,
       std::map<std::string, std::string> more_values = {})
      : machine_(std::move(machine)),
        root_(std::move(root)),
        settings_(folder / (machine_.name + ".boot.json")),
        log_(folder / (machine_.name + ".log")),
        store_(std::move(store)),
        record_(record),
        more_values_(std::move(more_values)) {}
  ~Node() {
    if (IsRunning())
      Kill();
  }

  const Machine& machine() const { return machine_; }
  pid_t pid() const { return pid_; }

  void Start() {
    std::map<std::string, std::string> values = {
        {"nodeName", machine_.name},
        {"zone", machine_.zone},
        {"region", "harju"},
        {"service", machine_.service},
        {"appAddr", machine_.app.ToString()},
        {"bounds.grace", "6s"},
        {"bounds.configApply", "2000ms"},
        {"bounds.retryRatio", "0.2"},
        {"bounds.retrySlack", "58"},
        {"listen.outbound", machine_.outbound.ToString()},
        {"listen.inbound", machine_.inbound.ToString()},
        {"listen.ready", machine_.ready.ToString()},
        {"listen.controlAddr", machine_.control_addr.ToString()},
        {"ip", machine_.inbound.ip},
        {"portRange.0", "7380"},
        {"portRange.1", "7395"},
        {"platform.address", store_.ToString()},
        {"limits.linkMbps", "1000.0"}};
    if (!std::exchange(was_started_, true))
      values["bootstrap"] = "true";
    for (const auto& [name, value] : more_values_)
      values[name] = value;
    std::ifstream in(root_ / "deploy/node.ini");
    std::stringstream text;
    text << in.rdbuf();
    std::ofstream(settings_) << FillTemplate(text.str(), values);
    const std::string program = root_ / "target/bin/chestnutportd";
    const std::string argument = "--settings=" + settings_.string();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      for (int fd = 3; fd < 8192; ++fd)
        close(fd);
      execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
      _exit(127);
    }
    record_.Line("platform starts " + machine_.name);
  }

  void Signal(int signal) {
    record_.Line("platform sends signal " + std::to_string(signal) + " to " +
                 machine_.name);
    kill(pid_, signal);
  }
  void Kill() {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Whether the process runs; reaps it if it has ended by itself.
  bool IsRunning() {
    if (pid_ <= 0)
      return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return true;
    record_.Line(machine_.name + " ended by itself, status " +
                 std::to_string(status));
    pid_ = 0;
    return false;
  }

  bool IsReady() const {
    const int fd = ConnectTo(machine_.ready);
    if (fd < 0)
      return false;
    Stream stream(fd);
    stream.Write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return stream.Read(Clock::now() + Ms(1000)).status() == 200;
  }

 private:
  Machine machine_;
  std::filesystem::path root_;
  std::filesystem::path settings_;
  std::filesystem::path log_;
  Address store_;
  Record& record_;
  std::map<std::string, std::string> more_values_;
  bool was_started_ = false;
  pid_t pid_ = 0;
};

// A sound server: as many requests at once as it has slots, the rest queued.
class Server {
 public:
  using Run = std::function<std::string(const Message& request)>;

  Server(Machine machine, std::string id, int slots, Record& record)
      : machine_(std::move(machine)),
        id_(std::move(id)),
        slots_(slots),
        record_(record) {}

  // `run` returns the bytes of the answer; called within a slot.
  void Start(Run run) {
    run_ = std::move(run);
    Serve(machine_.app, [this](Stream& stream) { Handle(stream); });
    std::thread([this] {
      for (int sequence = 1; beats_; ++sequence) {
        Beat(sequence, "ready");
        std::this_thread::sleep_for(Ms(1500));
      }
    }).detach();
  }
  void StopBeats() { beats_ = false; }
  const std::string& id() const { return id_; }

  std::string LoadHeaders() {
    return "Instance-Id: " + id_ +
           "\r\nInstance-Load: " + std::to_string(running_.load()) + ",0," +
           std::to_string(slots_) + ",100\r\n";
  }
  std::string Success(const Message& request, const std::string& body) {
    return Answer(200,
                  LoadHeaders() +
                      "Request-Id: " + request.Header("Request-Id") +
                      "\r\nResponse-Signature: 3e1b.07." + id_ + "\r\n",
                  body);
  }

  bool Beat(int sequence, const std::string& state) {
    const int fd = ConnectTo(machine_.control_addr, Ms(500));
    if (fd < 0)
      return false;
    Stream stream(fd);
    const std::string body = json{
        {"service", machine_.service},
        {"address", machine_.app.ToString()},
        {"zone", machine_.zone},
        {"version", "v1"},
        {"slots", slots_},
        {"state", state},
        {"cold_for", "0ms"},
        {"sequence", sequence}}.dump();
    stream.Write("POST /v1/server/" + id_ +
                 " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                 "Content-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    return stream.Read(Clock::now() + Ms(1000)).status() == 200;
  }

 private:
  void Handle(Stream& stream) {
    for (;;) {
      const Message request = stream.Read();
      if (!request.is_whole)
        return;
      if (request.target() == "/healthz") {
        stream.Write(Answer(200, LoadHeaders(), ""));
        continue;
      }
      if (request.Header("Expected-Instance") != id_) {
        stream.Write(Answer(421, "Not-Executed: 1\r\n" + LoadHeaders(), ""));
        continue;
      }
      {
        std::unique_lock lock(mutex_);
        free_.wait(lock, [this] { return running_ < slots_; });
        ++running_;
      }
      record_.Line("server " + id_ + " runs " + request.Header("Request-Id") +
                   " " + request.method() + " " + request.target());
      const std::string answer = run_(request);
      --running_;
      free_.notify_one();
      if (!answer.empty())
        stream.Write(answer);
    }
  }

  Machine machine_;
  std::string id_;
  int slots_;
  Record& record_;
  Run run_;
  std::atomic<bool> beats_ = true;
  std::mutex mutex_;
  std::condition_variable free_;
  std::atomic<int> running_ = 0;
};

// Peak resident memory of a process in bytes, as the kernel counts it.
inline size_t ResidentBytes(pid_t pid, const char* field = "VmRSS:") {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  size_t kilobytes = 0;
  while (status >> word) {
    if (word == field && status >> kilobytes)
      return kilobytes * 1024;
  }
  return 0;
}

// A loopback network of its own for a run: 127.A.B.x, from the process id.
inline std::string Network() {
  const int pid = getpid();
  return "127." + std::to_string(32 + pid / 250 % 200) + "." +
         std::to_string(1 + pid % 250) + ".";
}

inline Machine MakeMachine(const std::string& network,
                           int number,
                           const std::string& zone,
                           const std::string& service) {
  const std::string ip = network + std::to_string(10 + number);
  return {.name = "sidecar-" + zone + "-" + std::to_string(number),
          .zone = zone,
          .service = service,
          .inbound = {ip, 8146},
          .outbound = {ip, 8147},
          .ready = {ip, 8141},
          .control_addr = {ip, 8144},
          .app = {ip, 8145}};
}

inline bool WaitUntil(const std::function<bool()>& holds, Ms limit) {
  const auto until = Clock::now() + limit;
  while (Clock::now() < until) {
    if (holds())
      return true;
    std::this_thread::sleep_for(Ms(50));
  }
  return false;
}

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

inline constexpr int kBroken = 1;
inline constexpr int kHeld = 0;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
