// Stand-ins for the store, the servers, the clients and the platform of a small
// deployment, on loopback addresses and the real clock. A case includes this
// file, starts nodes as separate processes, and judges what its own clients and
// servers have seen.
#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;       // The rule held.
constexpr int kBroken = 1;     // The rule was broken.
constexpr int kCannotRun = 2;  // The case could not run.

inline void Sleep(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Whether the disruption takes place.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

// The record of the case: one line for each event, with milliseconds since the
// start of the case.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path), started_(Clock::now()) {}
  int64_t Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - started_)
        .count();
  }
  void Write(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << Now() << " ms  " << text << "\n";
    file_.flush();
  }
  void Say(const std::string& text) {
    Write(text);
    const std::lock_guard lock(mutex_);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point started_;
};

// --- HTTP over blocking sockets --------------------------------------------

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct Message {
  std::string first;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return "";
  }
  std::string Word(int index) const {
    std::istringstream words(first);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      if (!(words >> word))
        return "";
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline sockaddr_in ToRaw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

// A connected or accepted socket with its read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const Address& to, int timeout_ms) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
      return nullptr;
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in raw = ToRaw(to);
    int result =
        connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
    if (result != 0 && errno == EINPROGRESS) {
      pollfd wait{fd, POLLOUT, 0};
      int error = ETIMEDOUT;
      socklen_t size = sizeof(error);
      if (poll(&wait, 1, timeout_ms) == 1)
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Connection>(fd);
  }

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      sent += static_cast<size_t>(size);
    }
    return true;
  }

  // Reads one message; nothing if the connection ends or the time passes before
  // it is complete.
  std::optional<Message> Read(int64_t timeout_ms) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return std::nullopt;
    }
    Message message;
    std::istringstream lines(in_.substr(0, end));
    in_.erase(0, end + 4);
    std::getline(lines, message.first);
    while (!message.first.empty() && message.first.back() == '\r')
      message.first.pop_back();
    for (std::string line; std::getline(lines, line);) {
      while (!line.empty() && line.back() == '\r')
        line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const size_t from = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          from == std::string::npos ? "" : line.substr(from));
    }
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0)
      return ReadChunks(std::move(message), until);
    const size_t length = static_cast<size_t>(
        std::atoll(message.Header("Content-Length").c_str()));
    while (in_.size() < length) {
      if (!Fill(until))
        return std::nullopt;
    }
    message.body = in_.substr(0, length);
    in_.erase(0, length);
    return message;
  }

  // Whether the other end has closed.
  bool IsClosed() const {
    char next = 0;
    const ssize_t size = recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void Close() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }

 private:
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1)
      return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0)
      return false;
    in_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  std::optional<Message> ReadChunks(Message message, Clock::time_point until) {
    while (true) {
      size_t end = 0;
      while ((end = in_.find("\r\n")) == std::string::npos) {
        if (!Fill(until))
          return std::nullopt;
      }
      const size_t size = std::strtoul(in_.c_str(), nullptr, 16);
      while (in_.size() < end + 2 + size + 2) {
        if (!Fill(until))
          return std::nullopt;
      }
      message.body.append(in_, end + 2, size);
      in_.erase(0, end + 2 + size + 2);
      if (size == 0)
        return message;
    }
  }

  int fd_;
  std::string in_;
};

// Accepts connections and runs `serve` on a thread of its own for each.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  ~Listener() { Stop(); }

  bool Start(const Address& at, Serve serve) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in raw = ToRaw(at);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
        listen(fd_, 512) != 0) {
      close(std::exchange(fd_, -1));
      return false;
    }
    stopping_ = false;
    acceptor_ = std::thread([this, serve] { Accept(serve); });
    return true;
  }

  // Closes the listener and all its connections.
  void Stop() {
    if (!acceptor_.joinable())
      return;
    stopping_ = true;
    acceptor_.join();
    close(std::exchange(fd_, -1));
    {
      const std::lock_guard lock(mutex_);
      for (const auto& connection : connections_)
        shutdown(connection->fd(), SHUT_RDWR);
    }
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
    connections_.clear();
  }

 private:
  void Accept(const Serve& serve) {
    while (!stopping_) {
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, 20) != 1)
        continue;
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      auto connection = std::make_shared<Connection>(fd);
      const std::lock_guard lock(mutex_);
      connections_.push_back(connection);
      threads_.emplace_back([connection, serve] {
        serve(*connection);
        // Ends the connection; its descriptor is freed with the listener.
        shutdown(connection->fd(), SHUT_RDWR);
      });
    }
  }

  int fd_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
};

inline std::string HttpAnswer(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Sends one request on a new connection; nothing if there is no whole answer.
inline std::optional<Message> Ask(const Address& to,
                                  const std::string& request,
                                  int64_t timeout_ms) {
  const auto connection = Connection::Open(
      to, static_cast<int>(std::min<int64_t>(timeout_ms, 1000)));
  if (!connection || !connection->Send(request))
    return std::nullopt;
  return connection->Read(timeout_ms);
}

// --- The platform's store ---------------------------------------------------

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    for (size_t j = 0; j < 4; ++j)
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

// Reads the little JSON that nodes send to the store.
class JsonText {
 public:
  explicit JsonText(std::string text) : text_(std::move(text)) {}

  // The text of the value of the first field `name` from `from` on, without
  // quotes; empty if there is none.
  std::string Field(const std::string& name, size_t from = 0) const {
    const size_t at = text_.find("\"" + name + "\":", from);
    if (at == std::string::npos)
      return "";
    size_t begin = at + name.size() + 3;
    while (begin < text_.size() && text_[begin] == ' ')
      ++begin;
    if (text_[begin] == '"') {
      const size_t end = text_.find('"', begin + 1);
      return text_.substr(begin + 1, end - begin - 1);
    }
    const size_t end = text_.find_first_of(",}]", begin);
    return text_.substr(begin, end - begin);
  }
  // The objects of the array `name`.
  std::vector<JsonText> Objects(const std::string& name) const {
    std::vector<JsonText> objects;
    size_t at = text_.find("\"" + name + "\":[");
    if (at == std::string::npos)
      return objects;
    at += name.size() + 4;
    while (at < text_.size() && text_[at] != ']') {
      const size_t begin = text_.find_first_of("{]", at);
      if (begin == std::string::npos || text_[begin] == ']')
        break;
      const size_t end = text_.find('}', begin);
      objects.emplace_back(text_.substr(begin, end - begin + 1));
      at = end + 1;
    }
    return objects;
  }

 private:
  std::string text_;
};

class Store {
 public:
  bool Start(const Address& at) {
    return listener_.Start(at, [this](Connection& connection) {
      while (const auto request = connection.Read(60'000)) {
        if (!connection.Send(Answer(*request)))
          return;
      }
    });
  }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    listener_.Stop();
  }
  // The operator writes an item.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {Base64(value), ++revision_, 0, false};
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t lease = 0;
    bool deleted = false;
  };
  struct Lease {
    milliseconds time{};
    Clock::time_point until;
  };

  static std::string Decode(const std::string& text) {
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
    for (const char mark : {'?', '&'}) {
      const size_t at = target.find(mark + name + "=");
      if (at == std::string::npos)
        continue;
      const size_t from = at + name.size() + 2;
      return Decode(target.substr(from, target.find('&', from) - from));
    }
    return "";
  }
  static std::string Json(const std::string& text, int status = 200) {
    return HttpAnswer(status, {{"Content-Type", "application/json"}}, text);
  }
  static std::string ItemText(const std::string& key, const Item& item) {
    if (item.deleted) {
      return "{\"key\":\"" + key +
             "\",\"revision\":" + std::to_string(item.revision) +
             ",\"deleted\":true}";
    }
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created\":" + std::to_string(item.revision) +
           ",\"lease\":" + std::to_string(item.lease) + "}";
  }

  void EndLeases() {
    const auto now = Clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.until < now) {
        EndLease(lease->first);
        lease = leases_.erase(lease);
      } else {
        ++lease;
      }
    }
  }
  void EndLease(int64_t id) {
    for (auto& [key, item] : items_) {
      if (!item.deleted && item.lease == id)
        item = {"", ++revision_, 0, true};
    }
    changed_.notify_all();
  }

  std::string Answer(const Message& request) {
    std::unique_lock lock(mutex_);
    EndLeases();
    const std::string method = request.Word(0);
    const std::string target = request.Word(1);
    const auto is = [&target](const std::string& name) {
      return target.starts_with("/chestnutport/" + name);
    };
    const std::string as_of = ",\"asOf\":" + std::to_string(revision_) + "}";
    if (is("kv-key")) {
      const auto found = items_.find(Query(target, "key"));
      if (found == items_.end() || found->second.deleted)
        return Json("{\"asOf\":" + std::to_string(revision_) + "}", 404);
      std::string text = ItemText(found->first, found->second);
      text.pop_back();
      return Json(text + as_of);
    }
    if (is("kv-range")) {
      std::string items;
      const std::string prefix = Query(target, "prefix");
      const std::string after = Query(target, "after");
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after && !item.deleted)
          items += (items.empty() ? "" : ",") + ItemText(key, item);
      }
      return Json("{\"items\":[" + items + "],\"hasMore\":false" + as_of);
    }
    if (is("kv-watch"))
      return Watch(lock, target);
    if (is("kv-txn"))
      return Transact(JsonText(request.body));
    if (is("kv-lease-end/")) {
      const int64_t id =
          std::atoll(target.substr(target.rfind('/') + 1).c_str());
      if (leases_.erase(id) == 0)
        return Json("{}", 404);
      EndLease(id);
      return Json("{}");
    }
    if (is("kv-keep/")) {
      const int64_t id =
          std::atoll(target.substr(target.rfind('/') + 1).c_str());
      const auto found = leases_.find(id);
      if (found == leases_.end())
        return Json("{}", 404);
      found->second.until = Clock::now() + found->second.time;
      return Json("{\"ttl_time\":\"" +
                  std::to_string(found->second.time.count()) + "ms\"}");
    }
    if (is("kv-lease")) {
      const std::string time = JsonText(request.body).Field("ttl_time");
      double count = std::atof(time.c_str());
      if (!time.ends_with("ms"))
        count *= 1000;
      const milliseconds ttl(static_cast<int64_t>(count));
      leases_[++last_lease_] = {ttl, Clock::now() + ttl};
      return Json("{\"lease\":" + std::to_string(last_lease_) +
                  ",\"ttl_time\":\"" + std::to_string(ttl.count()) + "ms\"}");
    }
    return Json("{}", 404);
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& target) {
    const std::string prefix = Query(target, "prefix");
    const int64_t after = std::atoll(Query(target, "after").c_str());
    const auto until =
        Clock::now() +
        milliseconds(std::atoll(Query(target, "waitMs").c_str()));
    std::string events;
    const auto find = [&] {
      events.clear();
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && item.revision > after)
          events += (events.empty() ? "" : ",") + ItemText(key, item);
      }
      return stopping_ || !events.empty();
    };
    changed_.wait_until(lock, until, find);
    return Json("{\"events\":[" + events +
                "],\"asOf\":" + std::to_string(revision_) + "}");
  }

  std::string Transact(const JsonText& body) {
    for (const JsonText& row : body.Objects("expected")) {
      const auto found = items_.find(row.Field("key"));
      const bool exists = found != items_.end() && !found->second.deleted;
      const int64_t revision = exists ? found->second.revision : 0;
      if (revision != std::atoll(row.Field("revision").c_str()))
        return Json("{\"items\":[]}", 412);
    }
    ++revision_;
    for (const JsonText& put : body.Objects("puts")) {
      items_[put.Field("key")] = {put.Field("value"), revision_,
                                  std::atoll(put.Field("lease").c_str()),
                                  false};
    }
    changed_.notify_all();
    return Json("{\"revision\":" + std::to_string(revision_) + "}");
  }

  Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int64_t revision_ = 100;
  int64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
};

// --- Servers ----------------------------------------------------------------

// One start of an application server beside a node.
class Server {
 public:
  struct Run {
    std::string id;  // Request-Id.
    std::string expected_instance;
    std::string caller_service;
    int64_t arrived_at = 0;  // Milliseconds of the record.
  };
  // Works on a request; returns the status of the answer.
  using Work = std::function<int(const Message&)>;

  Server(Record& record,
         std::string service,
         std::string id,
         Address address,
         int slots)
      : record_(record),
        service_(std::move(service)),
        id_(std::move(id)),
        address_(std::move(address)),
        slots_(slots) {}
  ~Server() { Exit(); }

  bool Start(Work work) {
    work_ = std::move(work);
    return listener_.Start(
        address_, [this](Connection& connection) { Serve(connection); });
  }
  // Sends check-ins to `control` every 1.5 s until it leaves or exits.
  void CheckInAt(const Address& control, int64_t interval_ms = 1500) {
    control_ = control;
    is_checking_in_ = true;
    checker_ = std::thread([this, interval_ms] {
      while (is_checking_in_) {
        CheckIn();
        for (int64_t i = 0; i < interval_ms / 20 && is_checking_in_; ++i)
          Sleep(20);
      }
    });
  }
  // Sends one check-in; returns whether it was acknowledged.
  bool CheckIn() {
    const std::lock_guard lock(check_in_mutex_);
    return SendCheckIn(
        CheckInText(is_leaving_ ? "draining" : "ready", ++sequence_));
  }
  std::string CheckInText(const std::string& state, int sequence) const {
    return "{\"service\":\"" + service_ + "\",\"address\":\"" +
           address_.Text() + "\",\"zone\":\"zone-a\",\"version\":\"v1\"," +
           "\"slots\":" + std::to_string(slots_) + ",\"state\":\"" + state +
           "\",\"cold_for\":\"0ms\",\"sequence\":" + std::to_string(sequence) +
           "}";
  }
  bool SendCheckIn(const std::string& body) {
    const auto answer =
        Ask(control_,
            "POST /v1/server/" + id_ + " HTTP/1.1\r\nHost: " + control_.Text() +
                "\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            1000);
    const int status = answer ? answer->Status() : 0;
    record_.Write("check-in of " + id_ + " " + body + " -> " +
                  std::to_string(status));
    return status >= 200 && status < 300;
  }
  int sequence() const { return sequence_; }
  // Reports `draining` at once.
  bool ReportDraining() {
    is_leaving_ = true;
    return CheckIn();
  }
  bool Deregister() {
    is_leaving_ = true;
    StopCheckIns();
    const auto answer = Ask(control_,
                            "DELETE /v1/server/" + id_ +
                                " HTTP/1.1\r\nHost: " + control_.Text() +
                                "\r\nContent-Length: 0\r\n\r\n",
                            1000);
    const int status = answer ? answer->Status() : 0;
    record_.Write("deregistration of " + id_ + " -> " + std::to_string(status));
    return status >= 200 && status < 300;
  }
  void StopCheckIns() {
    is_checking_in_ = false;
    if (checker_.joinable())
      checker_.join();
  }
  void Exit() {
    StopCheckIns();
    is_gone_ = true;
    listener_.Stop();
  }

  std::vector<Run> Runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  int running() const { return running_; }
  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }
  const std::string& service() const { return service_; }

 private:
  std::string Load() const {
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(slots_) + ",100";
  }
  void Serve(Connection& connection) {
    while (const auto request = connection.Read(60'000)) {
      if (!connection.Send(Handle(*request)))
        return;
    }
  }
  std::string Handle(const Message& request) {
    const std::string id = request.Header("Request-Id");
    if (request.Word(1) == "/healthz") {
      return HttpAnswer(is_leaving_ ? 503 : 200,
                        {{"Instance-Id", id_}, {"Instance-Load", Load()}}, "");
    }
    const std::string expected = request.Header("Expected-Instance");
    if (!expected.empty() && expected != id_) {
      record_.Write("server " + id_ + " answers 421 to " + id);
      return HttpAnswer(
          421,
          {{"Instance-Id", id_}, {"Request-Id", id}, {"Not-Executed", "1"}},
          "");
    }
    if (id.empty())
      return HttpAnswer(400, {{"Not-Executed", "1"}}, "");
    {
      std::unique_lock lock(mutex_);
      if (waiting_ >= 2 * slots_) {
        return HttpAnswer(503,
                          {{"Request-Id", id},
                           {"Not-Executed", "1"},
                           {"Instance-Load", Load()}},
                          "");
      }
      ++waiting_;
      free_.wait(lock, [this] { return running_ < slots_ || is_gone_; });
      --waiting_;
      ++running_;
      runs_.push_back(
          {id, expected, request.Header("Caller-Service"), record_.Now()});
    }
    record_.Write("server " + id_ + " runs " + id + " of " +
                  request.Header("Caller-Service"));
    const int status = work_ ? work_(request) : 200;
    {
      const std::lock_guard lock(mutex_);
      --running_;
    }
    free_.notify_one();
    record_.Write("server " + id_ + " ends " + id + " with " +
                  std::to_string(status));
    return HttpAnswer(status,
                      {{"Request-Id", id},
                       {"Response-Signature", id_ + "." + id},
                       {"Instance-Load", Load()}},
                      "answer to " + id);
  }

  Record& record_;
  std::string service_;
  std::string id_;
  Address address_;
  int slots_;
  Work work_;
  Address control_;
  Listener listener_;
  std::thread checker_;
  std::atomic<bool> is_checking_in_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<bool> is_gone_ = false;
  std::mutex check_in_mutex_;
  std::atomic<int> sequence_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable free_;
  std::atomic<int> running_ = 0;
  std::atomic<int> waiting_ = 0;
  std::vector<Run> runs_;
};

// --- Nodes ------------------------------------------------------------------

// Ports that all machines of the deployment use, as on the platform.
struct Ports {
  int server = 0;  // appAddr
  int inbound = 0;
  int outbound = 0;
  int ready = 0;
  int control_addr = 0;
  int control = 0;  // The first of the range.
  int gossip = 0;   // The second of the range, also UDP.
  int metrics = 0;
};

// Returns ports that are free on all of `ips`.
inline std::optional<std::vector<int>> FreePorts(
    const std::vector<std::string>& ips,
    size_t count) {
  std::random_device device;
  std::vector<int> found;
  for (int tries = 0; tries < 2000 && found.size() < count; ++tries) {
    const int port = 20000 + static_cast<int>(device() % 10000);
    bool is_free = std::find(found.begin(), found.end(), port) == found.end();
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in raw = ToRaw({ip, port});
        is_free = is_free && bind(fd, reinterpret_cast<const sockaddr*>(&raw),
                                  sizeof(raw)) == 0;
        close(fd);
      }
    }
    if (is_free)
      found.push_back(port);
  }
  if (found.size() < count)
    return std::nullopt;
  return found;
}

// Fills in the template of the settings, as DEPLOY.md describes.
inline std::string FillIn(std::string text,
                          const std::map<std::string, std::string>& values) {
  const auto value_of = [&values](const std::string& name) {
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
  };
  for (size_t at = text.find("{{"); at != std::string::npos;
       at = text.find("{{", at)) {
    const size_t end = text.find("}}", at);
    const std::string name = text.substr(at + 2, end - at - 2);
    if (name[0] != '#' && name[0] != '^') {
      text.replace(at, end + 2 - at, value_of(name));
      continue;
    }
    const std::string close = "{{/" + name.substr(1) + "}}";
    const size_t close_at = text.find(close, end);
    const bool is_kept = value_of(name.substr(1)).empty() == (name[0] == '^');
    const std::string inner =
        is_kept ? text.substr(end + 2, close_at - end - 2) : "";
    text.replace(at, close_at + close.size() - at, inner);
  }
  return text;
}

class Node {
 public:
  Node(Record& record,
       std::string name,
       std::string ip,
       std::string service,
       const Ports& ports)
      : record_(record),
        name_(std::move(name)),
        ip_(std::move(ip)),
        service_(std::move(service)),
        ports_(ports) {}
  ~Node() { Kill(); }

  // Writes the settings and starts the program of the deploy file. `values`
  // completes the fields of the settings.
  bool Start(const std::string& folder,
             std::map<std::string, std::string> values) {
    folder_ = folder;
    values["nodeName"] = name_;
    values["ip"] = ip_;
    values["service"] = service_;
    values["appAddr"] = At(ports_.server).Text();
    values["listen.outbound"] = outbound().Text();
    values["listen.inbound"] = At(ports_.inbound).Text();
    values["listen.ready"] = ready().Text();
    values["listen.controlAddr"] = control().Text();
    values["portRange.0"] = std::to_string(ports_.control);
    values["portRange.1"] = std::to_string(ports_.gossip);
    std::ifstream file("deploy/node.ini");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = FillIn(text.str(), values);
    // The template has a fixed port for metrics; here it has to be a free one.
    const size_t metrics = settings.find(":9100");
    if (metrics == std::string::npos)
      return false;
    settings.replace(metrics, 5, ":" + std::to_string(ports_.metrics));
    std::ofstream(SettingsPath()) << settings;
    return Restart();
  }
  bool Restart() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open((folder_ + "/" + name_ + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      const std::string settings = "--settings=" + SettingsPath();
      execl("target/bin/chestnutportd", "target/bin/chestnutportd",
            settings.c_str(), nullptr);
      _exit(127);
    }
    record_.Write("node " + name_ + " is started, pid " + std::to_string(pid_));
    return pid_ > 0;
  }
  void Signal(int signal) {
    record_.Write("signal " + std::to_string(signal) + " to node " + name_);
    if (pid_ > 0)
      kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    Signal(SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  bool IsReady() const {
    const auto answer =
        Ask(ready(), "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
    return answer && answer->Status() == 200;
  }
  bool WaitUntilReady(int64_t limit_ms) const {
    for (int64_t waited = 0; waited < limit_ms; waited += 100) {
      if (IsReady())
        return true;
      Sleep(100);
    }
    return false;
  }

  Address At(int port) const { return {ip_, port}; }
  Address outbound() const { return At(ports_.outbound); }
  Address ready() const { return At(ports_.ready); }
  Address control() const { return At(ports_.control_addr); }
  Address server() const { return At(ports_.server); }
  const std::string& name() const { return name_; }
  const std::string& service() const { return service_; }

 private:
  std::string SettingsPath() const { return folder_ + "/" + name_ + ".ini"; }

  Record& record_;
  std::string name_;
  std::string ip_;
  std::string service_;
  Ports ports_;
  std::string folder_;
  pid_t pid_ = -1;
};

// --- A small deployment -----------------------------------------------------

// The machines, the store and a temporary folder. Everything is ended when it
// is destroyed.
class Deployment {
 public:
  explicit Deployment(Record& record) : record_(record) {
    char folder[] = "/tmp/chestnutport-review-XXXXXX";
    if (mkdtemp(folder))
      folder_ = folder;
  }
  ~Deployment() {
    nodes.clear();
    store.Stop();
    if (!folder_.empty() && !std::getenv("KEEP_LOGS"))
      RemoveFolder();
  }

  // One machine for each service named.
  bool Start(const std::vector<std::string>& services,
             const std::string& configuration,
             const std::map<std::string, std::string>& more = {}) {
    if (folder_.empty())
      return false;
    std::vector<std::string> ips;
    for (size_t i = 0; i < services.size(); ++i)
      ips.push_back("127.0.1." + std::to_string(i + 1));
    std::vector<std::string> all = ips;
    all.push_back("127.0.0.1");
    const auto free = FreePorts(all, 9);
    if (!free)
      return false;
    const Ports ports{(*free)[0], (*free)[1], (*free)[2], (*free)[3],
                      (*free)[4], (*free)[5], (*free)[6], (*free)[7]};
    const Address store_address{"127.0.0.1", (*free)[8]};
    if (!store.Start(store_address))
      return false;
    store.Put("op/config", configuration);
    values_ = {{"zone", "zone-a"},
               {"region", "region-a"},
               {"seeds", ""},
               {"platform.address", store_address.Text()},
               {"bounds.grace", "6s"},
               {"bounds.configApply", "2000ms"},
               {"bounds.retryRatio", "0.2"},
               {"bounds.retrySlack", "64"},
               {"limits.linkMbps", "1000.0"}};
    for (const auto& [name, value] : more)
      values_[name] = value;
    for (size_t i = 0; i < services.size(); ++i) {
      nodes.push_back(std::make_unique<Node>(record_,
                                             "node-" + std::to_string(i + 1),
                                             ips[i], services[i], ports));
      if (!nodes.back()->Start(folder_, values_))
        return false;
    }
    for (const auto& node : nodes) {
      if (!node->WaitUntilReady(10'000))
        return false;
    }
    return true;
  }

  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  const std::string& folder() const { return folder_; }

 private:
  void RemoveFolder() {
    for (size_t i = 1; i <= 16; ++i) {
      for (const char* end : {".ini", ".log"})
        unlink((folder_ + "/node-" + std::to_string(i) + end).c_str());
    }
    rmdir(folder_.c_str());
  }

  Record& record_;
  std::string folder_;
  std::map<std::string, std::string> values_;
};

// --- Clients ----------------------------------------------------------------

// Sends requests at a steady rate to the nodes in turn, each on a new
// connection, and notes the answers.
class Clients {
 public:
  struct Request {
    std::string method = "GET";
    std::string path;
    std::string host = "api.example";
    int64_t deadline_ms = 1000;
    std::string body;
    std::string more_headers;
  };
  struct Result {
    std::string id;
    std::string path;
    int64_t sent_at = 0;
    int64_t ended_at = 0;
    int status = 0;  // Zero: no whole answer.
  };

  explicit Clients(Record& record, std::string prefix = "c")
      : record_(record), prefix_(std::move(prefix)) {}
  ~Clients() { Stop(); }

  // Each of `threads` sends one request every `interval_ms`, spread evenly.
  void Start(std::vector<Address> to,
             std::vector<Request> requests,
             size_t threads,
             int64_t interval_ms) {
    is_running_ = true;
    for (size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this, to, requests, i, threads, interval_ms] {
        Sleep(interval_ms * static_cast<int64_t>(i) /
              static_cast<int64_t>(threads));
        for (size_t turn = i; is_running_; ++turn) {
          const auto next = Clock::now() + milliseconds(interval_ms);
          Send(to[turn % to.size()],
               requests[(turn / to.size() + i) % requests.size()]);
          std::this_thread::sleep_until(next);
        }
      });
    }
  }
  void Stop() {
    is_running_ = false;
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
  }
  Result Send(const Address& to, const Request& request) {
    Result result{.id = prefix_ + std::to_string(++last_id_),
                  .path = request.path,
                  .sent_at = record_.Now()};
    const std::string text =
        request.method + " " + request.path +
        " HTTP/1.1\r\nHost: " + request.host + "\r\nRequest-Id: " + result.id +
        "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n" +
        request.more_headers +
        (request.method == "GET"
             ? std::string()
             : "Content-Length: " + std::to_string(request.body.size()) +
                   "\r\n") +
        "\r\n" + request.body;
    record_.Write("client sends " + result.id + " " + request.method + " " +
                  request.path + " to " + to.Text());
    const auto answer = Ask(to, text, request.deadline_ms + 200);
    result.status = answer ? answer->Status() : 0;
    result.ended_at = record_.Now();
    record_.Write("client gets " + std::to_string(result.status) + " for " +
                  result.id);
    const std::lock_guard lock(mutex_);
    results_.push_back(result);
    return result;
  }
  std::vector<Result> Results() const {
    const std::lock_guard lock(mutex_);
    return results_;
  }

 private:
  Record& record_;
  std::string prefix_;
  std::atomic<bool> is_running_ = false;
  std::atomic<int> last_id_ = 0;
  std::vector<std::thread> threads_;
  mutable std::mutex mutex_;
  std::vector<Result> results_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STANDIN_H_
