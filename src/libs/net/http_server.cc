#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "net/error_answer.h"
#include "net/http_connection.h"
#include "telemetry/log.h"

namespace chestnutport::net {
namespace {

constexpr std::chrono::seconds kSweepInterval(1);
// A body of which nothing came for this long gives up its memory if others
// wait for it.
constexpr std::chrono::milliseconds kStallTime(200);
constexpr std::chrono::milliseconds kStallInterval(50);
// Of the memory left for answers, one may take 1/kAnswerShare.
constexpr size_t kAnswerShare = 4;
// How often, and for how many new connections at a time, kept ones are closed.
constexpr std::chrono::milliseconds kRoomInterval(20);
// What is over the limit of answers may be written meanwhile.
constexpr std::chrono::milliseconds kReclaimInterval(10);
// How often the input is counted that waits in the system's buffers.
constexpr std::chrono::milliseconds kUnreadInterval(50);
constexpr int kRoomStep = 32;

}  // namespace

base::Result<std::unique_ptr<HttpServer>> HttpServer::Open(
    EventLoop& loop,
    const base::SocketAddress& address,
    const client_limits::ListenerLimits& limits,
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
                       const client_limits::ListenerLimits& limits,
                       Handler handler)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      handler_(std::move(handler)),
      large_bodies_(
          std::make_shared<memory::MemoryBudget>(limits.large_bodies)),
      small_bodies_(
          std::make_shared<memory::MemoryBudget>(limits.small_bodies)),
      heads_(std::make_shared<memory::MemoryBudget>(limits.heads)) {
  set_limits(limits);
  large_bodies_->set_on_room([this] { GrantMemorySoon(); });
  small_bodies_->set_on_room([this] { GrantMemorySoon(); });
  heads_->set_on_room([this] { GrantMemorySoon(); });
}

HttpServer::~HttpServer() {
  on_idle_ = nullptr;
  large_bodies_->set_on_room(nullptr);
  small_bodies_->set_on_room(nullptr);
  heads_->set_on_room(nullptr);
  if (accepts_)
    loop_.Unwatch(socket_.fd());
  for (const auto& [connection, owned] : connections_)
    connection->Drop();
  loop_.Cancel(sweep_timer_);
  loop_.Cancel(stall_timer_);
  loop_.Cancel(room_timer_);
  loop_.Cancel(unread_timer_);
  loop_.Cancel(output_timer_);
  loop_.CancelDeferred(this);
}

void HttpServer::WatchListener() {
  const bool has_room = connections_.size() < limits_.connections;
  const bool accepts = is_open_ && !quiescing_ && has_room;
  if (!has_room)
    MakeRoomSoon();
  if (std::exchange(accepts_, accepts) == accepts)
    return;
  if (accepts)
    loop_.Watch(socket_.fd(), EPOLLIN, [this](uint32_t) { AcceptAll(); });
  else
    loop_.Unwatch(socket_.fd());
}

void HttpServer::MakeRoomSoon() {
  if (room_timer_ == 0)
    room_timer_ = loop_.CallAfter(kRoomInterval, [this] { MakeRoom(); });
}

void HttpServer::MakeRoom() {
  room_timer_ = 0;
  if (!is_open_ || quiescing_ || connections_.size() < limits_.connections)
    return;
  MakeRoomSoon();
  if (!IsCallerWaiting())
    return;
  std::vector<std::pair<client_limits::Dispensability, HttpConnection*>>
      candidates;
  for (const auto& [connection, owned] : connections_) {
    if (const auto found = connection->FindDispensability())
      candidates.emplace_back(*found, connection);
  }
  std::ranges::sort(candidates);
  int closed = 0;
  for (const auto& [dispensability, connection] : candidates) {
    // Those that are accepted meanwhile may have to go before another kind.
    if (dispensability.kind != candidates.front().first.kind ||
        !dispensability.IsDue(loop_.now()) || closed == kRoomStep ||
        !IsCallerWaiting()) {
      return;
    }
    closed += connection->CloseForOthers() ? 1 : 0;
    AcceptAll();
  }
}

bool HttpServer::IsCallerWaiting() const {
  pollfd listener{.fd = socket_.fd(), .events = POLLIN, .revents = 0};
  return poll(&listener, 1, 0) > 0;
}

void HttpServer::SetAccepting(bool accepting) {
  is_open_ = accepting;
  WatchListener();
}

void HttpServer::AcceptAll() {
  while (connections_.size() < limits_.connections) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int fd = accept4(socket_.fd(), reinterpret_cast<sockaddr*>(&peer),
                           &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0)
      break;
    auto created = std::make_unique<HttpConnection>(
        *this, fd, ntohl(peer.sin_addr.s_addr));
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

void HttpServer::set_limits(const client_limits::ListenerLimits& limits) {
  limits_ = limits;
  large_bodies_->set_limit(limits.large_bodies);
  small_bodies_->set_limit(limits.small_bodies);
  heads_->set_limit(limits.heads);
}

BodyAdmission HttpServer::AdmitBody(const HttpRequest& head) const {
  if (policy_.admit)
    return policy_.admit(head);
  return {.max_wait = limits_.body_wait};
}

HttpAnswer HttpServer::RefuseBody(const HttpRequest& head,
                                  const BodyRefusal& refusal) {
  if (refusal.error == base::ErrorKind::kOverloaded)
    ++refused_bodies_;
  return Refuse(head, refusal);
}

HttpAnswer HttpServer::Refuse(const HttpRequest& head,
                              const BodyRefusal& refusal) const {
  return policy_.refuse ? policy_.refuse(head, refusal)
                        : MakeErrorAnswer(refusal.error);
}

memory::MemoryBudget::TicketId HttpServer::WaitForMemory(
    HttpConnection& connection,
    memory::MemoryBudget& budget,
    memory::MemoryBudget::CallerId caller,
    size_t bytes) {
  const memory::MemoryBudget::TicketId ticket = ++last_ticket_;
  waits_.emplace(ticket, &connection);
  budget.Wait(ticket, caller, bytes);
  if (&budget != heads_.get())
    CheckStallsSoon();
  return ticket;
}

void HttpServer::NoteRefusal(const client_limits::ClientRefusal& refusal) {
  ++refused_clients_[refusal.limit];
  telemetry::LogEvent(
      telemetry::Event::kClientRefused,
      {{"listener", address().ToString()},
       {"client", base::SocketAddress{.ip = refusal.peer}.ToString()},
       {"limit", std::string(ToString(refusal.limit))},
       {"bytes", absl::StrCat(refusal.bytes)},
       {"allowed", absl::StrCat(refusal.max_bytes)}});
}

void HttpServer::AddInputBytes(size_t bytes) {
  input_bytes_ += bytes;
  if (input_bytes_ <= limits_.input || is_reclaiming_)
    return;
  is_reclaiming_ = true;
  ReclaimInput();
  is_reclaiming_ = false;
}

void HttpServer::ReclaimInput() {
  while (input_bytes_ > limits_.input) {
    HttpConnection* largest = nullptr;
    for (const auto& [connection, owned] : connections_) {
      const bool is_larger =
          !largest || connection->InputBytes() > largest->InputBytes();
      if (is_larger && connection->MayGiveUpInput())
        largest = connection;
    }
    const size_t share = limits_.input / limits_.connections;
    if (!largest || largest->InputBytes() <= share)
      return;
    largest->GiveUpInput();
  }
}

void HttpServer::AddAnswerBytes(size_t bytes) {
  answer_bytes_ += bytes;
  if (answer_bytes_ > limits_.answers)
    ReclaimOutputSoon();
}

void HttpServer::ReclaimOutputSoon() {
  if (output_timer_ == 0)
    output_timer_ =
        loop_.CallAfter(kReclaimInterval, [this] { ReclaimOutput(); });
}

void HttpServer::ReclaimOutput() {
  output_timer_ = 0;
  while (answer_bytes_ > limits_.answers) {
    HttpConnection* worst = nullptr;
    double burden = 0;
    int holders = 0;
    for (const auto& [connection, owned] : connections_) {
      const double other = connection->OutputBurden(loop_.now());
      holders += other > 0 ? 1 : 0;
      if (other > burden) {
        burden = other;
        worst = connection;
      }
    }
    if (holders < 2) {
      // What came in this round may be written at once, and one answer may be
      // larger than the limit.
      ReclaimOutputSoon();
      return;
    }
    worst->GiveUpOutput();
  }
}

void HttpServer::CheckUnreadSoon() {
  if (unread_timer_ == 0)
    unread_timer_ = loop_.CallAfter(kUnreadInterval, [this] { CheckUnread(); });
}

void HttpServer::CheckUnread() {
  unread_timer_ = 0;
  bool is_any_paused = false;
  for (const auto& [connection, owned] : connections_)
    is_any_paused |= connection->CountUnread();
  if (is_any_paused)
    CheckUnreadSoon();
}

void HttpServer::CheckStallsSoon() {
  if (stall_timer_ == 0)
    stall_timer_ = loop_.CallAfter(kStallInterval, [this] { CheckStalls(); });
}

void HttpServer::CheckStalls() {
  stall_timer_ = 0;
  std::vector<HttpConnection*> stalled;
  for (const auto& [connection, owned] : connections_) {
    if (connection->IsBodyStalled(loop_.now() - kStallTime))
      stalled.push_back(connection);
  }
  for (HttpConnection* connection : stalled)
    connection->GiveUpBody();
  if (large_bodies_->waiting() + small_bodies_->waiting() > 0)
    CheckStallsSoon();
}

size_t HttpServer::AnswerBufferSize() const {
  const size_t left =
      limits_.answers - std::min(limits_.answers, answer_bytes_);
  return std::clamp(left / kAnswerShare, kMinAnswerBuffer, kMaxAnswerBuffer);
}

void HttpServer::CancelWait(memory::MemoryBudget::TicketId ticket) {
  waits_.erase(ticket);
  large_bodies_->Cancel(ticket);
  small_bodies_->Cancel(ticket);
  heads_->Cancel(ticket);
}

void HttpServer::GrantMemorySoon() {
  if (std::exchange(grants_soon_, true))
    return;
  loop_.Defer(this, [this] {
    grants_soon_ = false;
    GrantMemory(*heads_);
    GrantMemory(*small_bodies_);
    GrantMemory(*large_bodies_);
  });
}

void HttpServer::GrantMemory(memory::MemoryBudget& budget) {
  while (auto granted = budget.TakeGranted()) {
    auto node = waits_.extract(granted->ticket);
    if (!node.empty())
      node.mapped()->GrantMemory(std::move(granted->reservation));
  }
}

void HttpServer::OnExchangesEnded(size_t count) {
  exchanges_ -= count;
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
