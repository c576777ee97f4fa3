#include "support/relay.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

namespace chestnutport::test {
namespace {

constexpr size_t kBufferSize = 65536;

sockets::ListeningSocket OpenSocket() {
  const auto any = base::SocketAddress::Parse("127.0.0.1:0");
  auto socket = sockets::ListeningSocket::Open(any.value());
  return std::move(socket).value();
}

int Connect(const base::SocketAddress& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(to.ip);
  address.sin_port = htons(to.port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

}  // namespace

// Both ends of one relayed connection.
struct Relay::Connection {
  int client_fd = -1;
  int target_fd = -1;
  bool is_silent = false;
};

Relay::Relay(const base::SocketAddress& to)
    : target_(to), socket_(OpenSocket()) {
  loop_.Watch(socket_.fd(), EPOLLIN, [this](uint32_t) { Accept(); });
  thread_ = std::thread([this] { loop_.Run(); });
}

Relay::~Relay() {
  loop_.Stop();
  thread_.join();
  while (!connections_.empty())
    Close(connections_.begin()->first, true);
}

void Relay::SetTarget(const base::SocketAddress& to) {
  RunOnLoop([&] { target_ = to; });
}

void Relay::SilenceOpenConnections() {
  RunOnLoop([&] {
    for (auto& [id, connection] : connections_) {
      connection->is_silent = true;
      loop_.Unwatch(connection->client_fd);
      loop_.Unwatch(connection->target_fd);
    }
  });
}

void Relay::ResetOpenConnections() {
  RunOnLoop([&] {
    while (!connections_.empty())
      Close(connections_.begin()->first, true);
  });
}

void Relay::DropAnswers(bool drop) {
  RunOnLoop([&] { drop_answers_ = drop; });
}

void Relay::SetDelay(std::chrono::milliseconds delay) {
  RunOnLoop([&] { delay_ = delay; });
}

void Relay::Cut(bool cut) {
  RunOnLoop([&] { is_disconnected_ = cut; });
  if (cut)
    ResetOpenConnections();
}

size_t Relay::open_connections() {
  size_t count = 0;
  RunOnLoop([&] { count = connections_.size(); });
  return count;
}

void Relay::Accept() {
  const int client_fd = accept4(socket_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
  if (client_fd < 0)
    return;
  const int target_fd = is_disconnected_ ? -1 : Connect(target_);
  if (target_fd < 0) {
    close(client_fd);
    return;
  }
  const uint64_t id = ++last_id_;
  connections_[id] =
      std::make_unique<Connection>(Connection{client_fd, target_fd});
  loop_.Watch(client_fd, EPOLLIN, [this, id](uint32_t) { Pump(id, true); });
  loop_.Watch(target_fd, EPOLLIN, [this, id](uint32_t) { Pump(id, false); });
}

void Relay::Pump(uint64_t id, bool towards_target) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  const Connection& connection = *found->second;
  const int from = towards_target ? connection.client_fd : connection.target_fd;
  std::array<char, kBufferSize> buffer{};
  const ssize_t size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size < 0 && errno == EAGAIN)
    return;  // The event belongs to a closed connection with the same fd.
  if (size <= 0) {
    const bool reset = size < 0;
    loop_.Unwatch(from);
    loop_.CallAfter(delay_, [this, id, reset] { Close(id, reset); });
    return;
  }
  const std::string bytes(buffer.data(), static_cast<size_t>(size));
  if (delay_.count() == 0) {
    Forward(id, towards_target, bytes);
    return;
  }
  loop_.CallAfter(delay_, [this, id, towards_target, bytes] {
    Forward(id, towards_target, bytes);
  });
}

void Relay::Forward(uint64_t id,
                    bool towards_target,
                    const std::string& bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second->is_silent)
    return;
  if (drop_answers_ && !towards_target)
    return;
  const int to =
      towards_target ? found->second->target_fd : found->second->client_fd;
  const ssize_t sent = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(bytes.size()))
    Close(id, true);
}

void Relay::Close(uint64_t id, bool reset) {
  auto node = connections_.extract(id);
  if (node.empty())
    return;
  const linger abort_on_close{1, 0};
  for (const int fd : {node.mapped()->client_fd, node.mapped()->target_fd}) {
    loop_.Unwatch(fd);
    if (reset)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                 sizeof(abort_on_close));
    close(fd);
  }
}

void Relay::RunOnLoop(const std::function<void()>& task) {
  std::promise<void> done;
  loop_.Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace chestnutport::test
