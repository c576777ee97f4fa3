#include "net/http_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "net/http_connection.h"

namespace chestnutport::net {
namespace {

constexpr std::chrono::seconds kSweepInterval(1);

}  // namespace

base::Result<std::unique_ptr<HttpServer>> HttpServer::Open(
    EventLoop& loop,
    const base::SocketAddress& address,
    const HttpServerLimits& limits,
    Handler handler) {
  auto socket = sockets::ListeningSocket::Open(address);
  if (!socket)
    return socket.error();
  std::unique_ptr<HttpServer> server(new HttpServer(
      loop, std::move(socket).value(), limits, std::move(handler)));
  server->WatchListener();
  return server;
}

HttpServer::HttpServer(EventLoop& loop,
                       sockets::ListeningSocket socket,
                       const HttpServerLimits& limits,
                       Handler handler)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  on_idle_ = nullptr;
  if (accepts_)
    loop_.Unwatch(socket_.fd());
  for (const auto& [connection, owned] : connections_)
    connection->Drop();
  loop_.Cancel(sweep_timer_);
  loop_.CancelDeferred(this);
}

void HttpServer::WatchListener() {
  const bool accepts =
      is_open_ && !quiescing_ && connections_.size() < limits_.connections;
  if (std::exchange(accepts_, accepts) == accepts)
    return;
  if (accepts)
    loop_.Watch(socket_.fd(), EPOLLIN, [this](uint32_t) { AcceptAll(); });
  else
    loop_.Unwatch(socket_.fd());
}

void HttpServer::SetAccepting(bool accepting) {
  is_open_ = accepting;
  WatchListener();
}

void HttpServer::AcceptAll() {
  while (connections_.size() < limits_.connections) {
    const int fd =
        accept4(socket_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0)
      break;
    auto created = std::make_unique<HttpConnection>(*this, fd);
    HttpConnection* connection = created.get();
    connections_.emplace(connection, std::move(created));
    SweepSoon();
  }
  WatchListener();
}

void HttpServer::Handle(HttpRequest request, Reply reply) {
  handler_(std::move(request), std::move(reply));
}

void HttpServer::Quiesce(std::function<void()> idle) {
  on_idle_ = std::move(idle);
  if (!quiescing_) {
    // What waits to be accepted would be reset with the listening socket.
    AcceptAll();
    quiescing_ = true;
    WatchListener();
    socket_.Close();
    std::vector<HttpConnection*> connections;
    for (const auto& [connection, owned] : connections_)
      connections.push_back(connection);
    for (HttpConnection* connection : connections)
      connection->Quiesce();
  }
  CheckIdleSoon();
}

void HttpServer::CheckIdleSoon() {
  if (!quiescing_ || std::exchange(check_idle_soon_, true))
    return;
  loop_.Defer(this, [this] {
    check_idle_soon_ = false;
    CheckIdle();
  });
}

void HttpServer::CheckIdle() {
  if (!quiescing_ || exchanges_ > 0 || !on_idle_)
    return;
  const bool writes = std::ranges::any_of(
      connections_, [](const auto& item) { return item.first->IsBusy(); });
  if (!writes)
    std::exchange(on_idle_, nullptr)();
}

bool HttpServer::ChargeBody(size_t size) {
  if (bodies_ + size > limits_.all_bodies)
    return false;
  bodies_ += size;
  return true;
}

void HttpServer::OnExchangeEnded(size_t body_size) {
  --exchanges_;
  ReleaseBody(body_size);
  CheckIdleSoon();
}

void HttpServer::OnConnectionClosed(HttpConnection* connection) {
  auto node = connections_.extract(connection);
  if (node.empty())
    return;
  if (closed_.empty())
    loop_.Defer(this, [this] { closed_.clear(); });
  closed_.push_back(std::move(node.mapped()));
  WatchListener();
  CheckIdleSoon();
}

void HttpServer::SweepSoon() {
  if (sweep_timer_ == 0)
    sweep_timer_ = loop_.CallAfter(kSweepInterval, [this] { Sweep(); });
}

void HttpServer::Sweep() {
  sweep_timer_ = 0;
  std::vector<HttpConnection*> connections;
  for (const auto& [connection, owned] : connections_)
    connections.push_back(connection);
  for (HttpConnection* connection : connections)
    connection->Sweep(loop_.now());
  if (!connections_.empty())
    SweepSoon();
}

}  // namespace chestnutport::net
