#include "support/hostile_crowd.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <thread>

namespace chestnutport::test {
namespace {

constexpr size_t kPartBytes = 64 * 1024;
// The other end takes no more if nothing was moved for this long.
constexpr int kIdleRounds = 100;
constexpr std::chrono::milliseconds kIdleRound(10);

bool IsBlocked() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

std::string Message(const HostileKind& kind) {
  std::string bytes = kind.begin;
  bytes.reserve(kind.bytes);
  while (!kind.repeated.empty() &&
         bytes.size() + kind.repeated.size() + kind.end.size() <= kind.bytes) {
    bytes += kind.repeated;
  }
  return bytes + kind.end;
}

}  // namespace

HostileCrowd::HostileCrowd(const base::SocketAddress& to,
                           const HostileKind& kind)
    : bytes_(Message(kind)), reads_(kind.reads) {
  for (size_t i = 0; i < kind.connections; ++i)
    clients_.push_back({RawSocket(to)});
}

void HostileCrowd::Send() {
  for (int idle = 0; idle < kIdleRounds; ++idle) {
    bool is_over = true;
    for (Client& client : clients_) {
      if (SendPart(client) | ReadPart(client))
        idle = 0;
      is_over = is_over && IsOver(client);
    }
    if (is_over)
      return;
    if (idle > 0)
      std::this_thread::sleep_for(kIdleRound);
  }
}

bool HostileCrowd::IsOver(const Client& client) const {
  return client.is_closed || client.sent == bytes_.size();
}

bool HostileCrowd::SendPart(Client& client) {
  if (IsOver(client))
    return false;
  const size_t left = std::min(bytes_.size() - client.sent, kPartBytes);
  const ssize_t sent = send(client.socket.fd(), bytes_.data() + client.sent,
                            left, MSG_NOSIGNAL | MSG_DONTWAIT);
  client.is_closed = sent < 0 && !IsBlocked();
  if (sent > 0)
    client.sent += static_cast<size_t>(sent);
  return sent > 0;
}

bool HostileCrowd::ReadPart(Client& client) const {
  if (!reads_ || client.is_closed)
    return false;
  std::array<char, kPartBytes> bytes;
  const ssize_t size =
      recv(client.socket.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  client.is_closed = size == 0 || (size < 0 && !IsBlocked());
  return size > 0;
}

}  // namespace chestnutport::test
