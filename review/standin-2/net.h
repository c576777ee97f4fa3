// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#ifndef REVIEW_STANDIN_2_NET_H_
#define REVIEW_STANDIN_2_NET_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in Raw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  raw.sin_port = htons(address.port);
  return raw;
}

inline int ListenOn(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in raw = Raw(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    throw std::runtime_error("cannot listen on " + address.ToString());
  }
  return fd;
}

// Returns -1 if the connection is not established within `timeout`.
inline int ConnectTo(const Address& address, Ms timeout = Ms(1000)) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in raw = Raw(address);
  int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd item{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (poll(&item, 1, static_cast<int>(timeout.count())) == 1)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

struct Message {
  std::string start;                           // The first line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool is_whole = false;
  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? "" : found->second;
  }
  int status() const {
    return start.size() > 11 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
};

// One connection, owned.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int fd() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  // `until`: the time after which the write is given up.
  bool Write(const std::string& bytes,
             Clock::time_point until = Clock::time_point::max()) {
    size_t done = 0;
    while (fd_ >= 0 && done < bytes.size()) {
      if (!Wait(POLLOUT, until))
        return false;
      const ssize_t size = send(fd_, bytes.data() + done, bytes.size() - done,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size > 0)
        done += static_cast<size_t>(size);
      else if (errno != EAGAIN && errno != EINTR)
        return false;
    }
    return done == bytes.size();
  }

  // Reads a message; `is_whole` is false if the connection ended, or `until`
  // passed, before its end.
  Message Read(Clock::time_point until = Clock::time_point::max()) {
    Message message;
    size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return message;
    }
    ParseHead(in_.substr(0, end), message);
    in_.erase(0, end + 4);
    const bool is_answer = message.start.rfind("HTTP/", 0) == 0;
    const std::string length = message.Header("Content-Length");
    if (Lower(message.Header("Transfer-Encoding")).find("chunked") !=
        std::string::npos) {
      message.is_whole = ReadChunks(message.body, until);
    } else if (!length.empty()) {
      message.is_whole = ReadBytes(std::strtoull(length.c_str(), nullptr, 10),
                                   message.body, until);
    } else if (is_answer && message.status() != 204 &&
               message.status() != 304) {
      while (Fill(until)) {
      }
      message.body = std::exchange(in_, {});
      message.is_whole = is_at_end_;
    } else {
      message.is_whole = true;
    }
    return message;
  }

  // Whether the other end has closed or reset the connection.
  bool IsClosedByPeer() const {
    char next = 0;
    const ssize_t size = recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  }

 private:
  bool Wait(short events, Clock::time_point until) const {
    for (;;) {
      int wait = -1;
      if (until != Clock::time_point::max()) {
        const auto left = std::chrono::ceil<Ms>(until - Clock::now()).count();
        if (left <= 0)
          return false;
        wait = static_cast<int>(left);
      }
      pollfd item{fd_, events, 0};
      const int ready = poll(&item, 1, wait);
      if (ready > 0)
        return true;
      if (ready < 0 && errno != EINTR)
        return false;
    }
  }

  bool Fill(Clock::time_point until) {
    if (fd_ < 0 || !Wait(POLLIN, until))
      return false;
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size == 0)
      is_at_end_ = true;
    if (size <= 0)
      return false;
    in_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  bool ReadBytes(uint64_t size, std::string& body, Clock::time_point until) {
    while (in_.size() < size) {
      if (!Fill(until))
        return false;
    }
    body = in_.substr(0, size);
    in_.erase(0, size);
    return true;
  }

  bool ReadLine(std::string& line, Clock::time_point until) {
    size_t end = 0;
    while ((end = in_.find("\r\n")) == std::string::npos) {
      if (!Fill(until))
        return false;
    }
    line = in_.substr(0, end);
    in_.erase(0, end + 2);
    return true;
  }

  bool ReadChunks(std::string& body, Clock::time_point until) {
    for (;;) {
      std::string line;
      if (!ReadLine(line, until))
        return false;
      const uint64_t size = std::strtoull(line.c_str(), nullptr, 16);
      std::string part;
      if (!ReadBytes(size, part, until) || !ReadLine(line, until))
        return false;
      if (size == 0)
        return true;
      body += part;
    }
  }

  static void ParseHead(const std::string& head, Message& message) {
    size_t from = 0;
    while (from <= head.size()) {
      size_t end = head.find("\r\n", from);
      if (end == std::string::npos)
        end = head.size();
      const std::string line = head.substr(from, end - from);
      from = end + 2;
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      message.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }

  int fd_;
  bool is_at_end_ = false;
  std::string in_;
};

// Accepts connections until the process ends; one thread each.
inline void Serve(const Address& address, std::function<void(Stream&)> handle) {
  const int listener = ListenOn(address);
  std::thread([listener, handle = std::move(handle)] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, handle] {
        Stream stream(fd);
        handle(stream);
      }).detach();
    }
  }).detach();
}

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_NET_H_
