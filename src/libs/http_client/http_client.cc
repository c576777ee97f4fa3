#include "http_client/http_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http_client/http_client_connection.h"
#include "http_client/http_transfer.h"
#include "net/beast_messages.h"

namespace chestnutport::http_client {
namespace {

constexpr int kPortBits = 16;
// Bytes of a streamed body that wait to be written.
constexpr size_t kMaxUnsentBytes = 256 * 1024;

uint64_t KeyOf(const base::SocketAddress& address) {
  return static_cast<uint64_t>(address.ip) << kPortBits | address.port;
}

bool HasBody(const net::HttpRequest& request) {
  return !request.body.empty() || request.unread_body > 0;
}

bool CarriesBody(const net::HttpRequest& request) {
  return HasBody(request) || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

// The request as it goes over a connection; the framing is the client's own.
absl::Cord Serialize(const base::SocketAddress& to,
                     const net::HttpRequest& request) {
  net::http::request<net::http::empty_body> head;
  head.version(net::kHttp11);
  head.method_string(net::ToBeast(request.method));
  head.target(net::ToBeast(request.target));
  if (net::FindHeader(request.headers, "Host").empty())
    head.set(net::http::field::host, to.ToString());
  for (const net::HttpHeader& header : request.headers) {
    if (!net::IsFraming(header.name))
      head.insert(net::ToBeast(header.name), net::ToBeast(header.value));
  }
  if (CarriesBody(request)) {
    head.set(net::http::field::content_length,
             absl::StrCat(request.body.size() + request.unread_body));
  }
  std::string text;
  net::AppendHead(head, text);
  absl::Cord bytes(std::move(text));
  bytes.Append(request.body.bytes());
  return bytes;
}

}  // namespace

HttpClientOptions HttpClientOptions::Fresh() {
  HttpClientOptions options;
  options.longest_idle = std::chrono::seconds(0);
  return options;
}

HttpClient::HttpClient(net::EventLoop& loop, const HttpClientOptions& options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() {
  loop_.Cancel(sweep_timer_);
  for (const auto& [id, transfer] : transfers_)
    loop_.Cancel(transfer->timer);
  connections_.clear();
  loop_.CancelDeferred(this);
}

HttpClient::TransferId HttpClient::Send(const base::SocketAddress& to,
                                        net::HttpRequest request,
                                        base::Duration timeout,
                                        Done done) {
  return Stream(to, std::move(request), timeout, nullptr, nullptr,
                std::move(done));
}

HttpClient::TransferId HttpClient::Stream(const base::SocketAddress& to,
                                          net::HttpRequest request,
                                          base::Duration timeout,
                                          OnHead on_head,
                                          OnBody on_body,
                                          Done done) {
  auto created = std::make_unique<HttpTransfer>();
  HttpTransfer& transfer = *created;
  transfer.id = ++last_transfer_;
  transfer.to = to;
  transfer.deadline = base::Clock::now() + timeout;
  transfer.on_head = std::move(on_head);
  transfer.on_body = std::move(on_body);
  transfer.done = std::move(done);
  transfers_.emplace(transfer.id, std::move(created));
  // Freed at the end of this call: the transfer keeps the bytes only.
  const net::HttpRequest given = std::move(request);
  if (!net::IsWritable(given)) {
    FailSoon(transfer.id);
    return transfer.id;
  }
  transfer.is_head = given.method == "HEAD";
  transfer.has_body = HasBody(given);
  transfer.unread_body = given.unread_body;
  if (!options_.answer_tag.empty())
    transfer.tag = net::FindHeader(given.headers, options_.answer_tag);
  transfer.unsent = Serialize(to, given);
  Assign(transfer);
  return transfer.id;
}

void HttpClient::FailSoon(TransferId id) {
  loop_.Defer(this, [this, id] {
    if (HttpTransfer* transfer = Find(id))
      Finish(*transfer, TransferEnd::kNotSent);
  });
}

void HttpClient::Assign(HttpTransfer& transfer) {
  Host& host = hosts_[KeyOf(transfer.to)];
  if (HttpClientConnection* connection = TakeIdle(host)) {
    SetTimer(transfer, transfer.deadline);
    transfer.on_kept_connection = true;
    connection->Begin(transfer);
    return;
  }
  if (host.connections < options_.connections_per_host) {
    OpenFor(transfer, host);
    return;
  }
  host.waiting.push_back(transfer.id);
  SetTimer(transfer, transfer.deadline);
}

HttpClientConnection* HttpClient::TakeIdle(Host& host) {
  const base::Instant now = loop_.now();
  while (!host.idle.empty()) {
    const Idle last = host.idle.back();
    host.idle.pop_back();
    if (now - last.since <= options_.longest_idle &&
        last.connection->IsUsable(now)) {
      return last.connection;
    }
    Retire(*last.connection);
  }
  return nullptr;
}

void HttpClient::OpenFor(HttpTransfer& transfer, Host& host) {
  auto created = std::make_unique<HttpClientConnection>(*this, transfer.to);
  HttpClientConnection* connection = created.get();
  ++connections_opened_;
  if (!connection->Open()) {
    FailSoon(transfer.id);
    return;
  }
  connections_.emplace(connection, std::move(created));
  ++host.connections;
  SetTimer(transfer, std::min(transfer.deadline,
                              base::Clock::now() + options_.connect_timeout));
  connection->Begin(transfer);
  SweepSoon();
}

void HttpClient::OnConnected(HttpClientConnection& connection) {
  SetTimer(*connection.transfer(), connection.transfer()->deadline);
}

void HttpClient::OnIdle(HttpClientConnection& connection) {
  if (options_.longest_idle.count() == 0) {
    Retire(connection);
    return;
  }
  hosts_[KeyOf(connection.to())].idle.push_back({&connection, loop_.now()});
  // Not from inside: the transfer that has just ended is told first.
  if (!hosts_[KeyOf(connection.to())].waiting.empty())
    loop_.Defer(this, [this, to = connection.to()] { AssignWaiting(to); });
}

void HttpClient::Retire(HttpClientConnection& connection) {
  connection.Close();
  auto node = connections_.extract(&connection);
  if (node.empty())
    return;
  Host& host = hosts_[KeyOf(connection.to())];
  --host.connections;
  std::erase_if(host.idle, [&](const Idle& idle) {
    return idle.connection == &connection;
  });
  if (!host.waiting.empty())
    loop_.Defer(this, [this, to = connection.to()] { AssignWaiting(to); });
  ended_connections_.push_back(std::move(node.mapped()));
  DestroySoon();
}

void HttpClient::AssignWaiting(const base::SocketAddress& to) {
  Host& host = hosts_[KeyOf(to)];
  while (!host.waiting.empty()) {
    const bool has_room =
        !host.idle.empty() || host.connections < options_.connections_per_host;
    if (!has_room)
      return;
    HttpTransfer* transfer = Find(host.waiting.front());
    host.waiting.pop_front();
    if (transfer && !transfer->connection)
      Assign(*transfer);
  }
}

void HttpClient::SetTimer(HttpTransfer& transfer, base::Instant when) {
  loop_.Cancel(transfer.timer);
  transfer.timer =
      loop_.CallAt(when, [this, id = transfer.id] { OnTimer(id); });
}

void HttpClient::OnTimer(TransferId id) {
  HttpTransfer* transfer = Find(id);
  if (!transfer)
    return;
  transfer->timer = 0;
  HttpClientConnection* connection = transfer->connection;
  const bool was_sent = connection && !connection->IsConnecting();
  if (connection)
    Retire(*connection);
  Finish(*transfer, was_sent ? TransferEnd::kTimedOut : TransferEnd::kNotSent);
}

void HttpClient::Finish(HttpTransfer& transfer, TransferEnd end) {
  auto node = transfers_.extract(transfer.id);
  if (node.empty())
    return;
  loop_.Cancel(std::exchange(transfer.timer, 0));
  TransferResult result;
  result.end = end;
  result.answer = std::move(transfer.answer);
  result.is_streamed = transfer.is_streamed;
  result.is_refused = transfer.is_refused;
  result.on_kept_connection = transfer.on_kept_connection;
  const Done done = std::move(transfer.done);
  ended_transfers_.push_back(std::move(node.mapped()));
  DestroySoon();
  done(std::move(result));
}

bool HttpClient::AppendBody(TransferId id, std::string part) {
  HttpTransfer* transfer = Find(id);
  if (!transfer)
    return true;
  transfer->unread_body -=
      std::min<uint64_t>(transfer->unread_body, part.size());
  transfer->unsent.Append(std::move(part));
  if (transfer->connection)
    transfer->connection->WriteSoon();
  return transfer->unsent.size() < kMaxUnsentBytes;
}

void HttpClient::OnBodyRoom(TransferId id, std::function<void()> handler) {
  if (HttpTransfer* transfer = Find(id))
    transfer->on_body_room = std::move(handler);
}

void HttpClient::Continue(TransferId id) {
  HttpTransfer* transfer = Find(id);
  if (!transfer || !transfer->is_paused)
    return;
  // Not from inside: the caller may be one of the transfer's own callbacks.
  loop_.Defer(this, [this, id] {
    HttpTransfer* paused = Find(id);
    if (!paused || !paused->is_paused || !paused->connection)
      return;
    paused->is_paused = false;
    paused->connection->Resume();
  });
}

void HttpClient::Cancel(TransferId id) {
  auto node = transfers_.extract(id);
  if (node.empty())
    return;
  HttpTransfer& transfer = *node.mapped();
  loop_.Cancel(std::exchange(transfer.timer, 0));
  if (transfer.connection)
    Retire(*transfer.connection);
  ended_transfers_.push_back(std::move(node.mapped()));
  DestroySoon();
}

void HttpClient::CloseIdle(const base::SocketAddress& to) {
  const std::vector<Idle> idle = hosts_[KeyOf(to)].idle;
  for (const Idle& kept : idle)
    Retire(*kept.connection);
}

bool HttpClient::IsSent(TransferId transfer) const {
  const auto found = transfers_.find(transfer);
  if (found == transfers_.end())
    return false;
  const HttpClientConnection* connection = found->second->connection;
  return connection && !connection->IsConnecting();
}

bool HttpClient::IsSentWhole(TransferId transfer) const {
  const auto found = transfers_.find(transfer);
  return found != transfers_.end() && found->second->connection &&
         found->second->connection->IsRequestSent();
}

bool HttpClient::IsOnKeptConnection(TransferId transfer) const {
  const auto found = transfers_.find(transfer);
  return found != transfers_.end() && found->second->on_kept_connection;
}

HttpTransfer* HttpClient::Find(TransferId transfer) {
  const auto found = transfers_.find(transfer);
  return found == transfers_.end() ? nullptr : found->second.get();
}

void HttpClient::DestroySoon() {
  if (std::exchange(destroys_soon_, true))
    return;
  loop_.Defer(this, [this] {
    destroys_soon_ = false;
    // What their callbacks hold may call back while it is destroyed.
    const auto transfers = std::exchange(ended_transfers_, {});
    const auto connections = std::exchange(ended_connections_, {});
  });
}

void HttpClient::SweepSoon() {
  if (sweep_timer_ == 0 && options_.longest_idle.count() > 0) {
    sweep_timer_ = loop_.CallAfter(options_.longest_idle, [this] { Sweep(); });
  }
}

// Closes what has been idle for too long.
void HttpClient::Sweep() {
  sweep_timer_ = 0;
  const base::Instant now = loop_.now();
  std::vector<HttpClientConnection*> old;
  for (const auto& [key, host] : hosts_) {
    for (const Idle& idle : host.idle) {
      if (now - idle.since > options_.longest_idle)
        old.push_back(idle.connection);
    }
  }
  for (HttpClientConnection* connection : old)
    Retire(*connection);
  if (!connections_.empty())
    SweepSoon();
}

}  // namespace chestnutport::http_client
