#include "net/http_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <utility>

#include "base/text.h"
#include "net/error_answer.h"

namespace chestnutport::net {
namespace {

// Requests of one connection that are answered side by side; more wait unread.
// A browser sends some ten; the bound keeps one caller from taking all memory.
constexpr size_t kMostPipelined = 32;
constexpr size_t kReadSize = 16 * 1024;
constexpr int kReadsInRound = 8;
// How long the other end may take to close after the last answer: a few round
// trips between regions.
constexpr std::chrono::seconds kLinger(1);
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr size_t kLongestMethod = 32;

// Whether `bytes` may begin a request.
bool MayBeRequest(std::string_view bytes) {
  const std::string_view front = bytes.substr(0, kLongestMethod + 1);
  const size_t end = front.find(' ');
  return (end != std::string_view::npos || front.size() <= kLongestMethod) &&
         IsToken(front.substr(0, end));
}

// Whether the end of a body can be told: without a transfer coding, or with
// chunks alone. Beast takes a request with another coding as one without a
// body.
bool IsBodyEndKnown(const HttpHeaders& headers) {
  const auto is_coding = [](const HttpHeader& header) {
    return base::EqualsIgnoreCase(header.name, "Transfer-Encoding");
  };
  const auto codings = std::ranges::count_if(headers, is_coding);
  return codings == 0 ||
         (codings == 1 &&
          base::EqualsIgnoreCase(
              base::Trim(FindHeader(headers, "Transfer-Encoding")), "chunked"));
}

// Methods that ask for something else than a server's answer.
bool IsTunnel(std::string_view method) {
  return method == "CONNECT" || method == "TRACE";
}

void SetReset(int fd) {
  const linger immediately{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

}  // namespace

HttpConnection::HttpConnection(HttpServer& server, int fd, uint32_t peer)
    : server_(server),
      fd_(fd),
      peer_(peer),
      close_at_(server.loop().now() + server.limits().to_send_request),
      last_used_(server.loop().now()) {
  Watch();
}

HttpConnection::~HttpConnection() {
  server_.loop().Cancel(wait_timer_);
  if (fd_ >= 0) {
    server_.loop().Unwatch(fd_);
    close(fd_);
  }
}

void HttpConnection::Watch() {
  if (closed_)
    return;
  uint32_t events = EPOLLRDHUP;
  if (MayParse() || reads_no_more_)
    events |= EPOLLIN;
  else if (!streamed_)
    server_.CheckUnreadSoon();
  if (HasOutput())
    events |= EPOLLOUT;
  if (std::exchange(watched_, events) == events)
    return;
  server_.loop().Watch(fd_, events, [this](uint32_t ready) { OnReady(ready); });
}

bool HttpConnection::MayParse() const {
  if (reads_no_more_ || ticket_ != 0 || is_behind_answers_)
    return false;
  if (streamed_)
    return streamed_->TakesBody();
  return exchanges_.size() < kMostPipelined && !IsCallerSlow();
}

void HttpConnection::OnReady(uint32_t epoll_events) {
  if (closed_)
    return;
  if (epoll_events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
    is_caller_gone_ = true;
  if (is_caller_gone_ && !MayParse() && !reads_no_more_)
    OnHalfClosed();
  else if (is_caller_gone_ || epoll_events & EPOLLIN)
    Read();
  if (!closed_ && (epoll_events & EPOLLOUT))
    Flush();
}

void HttpConnection::Read() {
  unread_bytes_ = 0;
  std::array<char, kReadSize> bytes;
  // What is left is read in the next round, after others had their turn.
  for (int reads = 0; reads < kReadsInRound; ++reads) {
    if (closed_ || !(MayParse() || reads_no_more_))
      break;
    const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (size <= 0) {
      OnHalfClosed();
      return;
    }
    if (reads_no_more_)
      continue;
    in_.append(bytes.data(), static_cast<size_t>(size));
    Parse();
    if (static_cast<size_t>(size) < bytes.size())
      break;
  }
  Watch();
}

void HttpConnection::Parse() {
  // The end of a body may have come before there was memory for all of it.
  if (!closed_ && MayParse() && parser_ && parser_->is_done())
    Dispatch();
  bool more = true;
  while (more && !closed_ && MayParse() && !in_.empty()) {
    if (!request_began_at_) {
      request_began_at_ = server_.loop().now();
      close_at_ = std::min(
          close_at_, *request_began_at_ + server_.limits().to_send_request);
    }
    more = parser_ ? ParseBody() : ParseHead();
  }
  CountInput();
}

// Gives the parser what was read; false if it wants more, or failed.
bool HttpConnection::Feed() {
  boost::system::error_code error;
  const bool goes_on = FeedParser(*parser_, in_, error);
  if (error) {
    RefuseAndClose(base::ErrorKind::kMalformedRequest);
    return false;
  }
  // The parser takes the line of a chunk, and a trailer, once they are whole.
  if (!goes_on && in_.size() > server_.limits().largest_headers) {
    NoteRefusal(client_limits::ClientLimit::kFraming, in_.size(),
                server_.limits().largest_headers);
    RefuseAndClose(base::ErrorKind::kHeadersTooLarge);
  }
  return goes_on;
}

std::optional<size_t> HttpConnection::FindHeadEnd() {
  const size_t from = scanned_ - std::min(scanned_, kHeadEnd.size() - 1);
  const size_t found = in_.find(kHeadEnd, from);
  // A head that waits for memory is looked for again.
  scanned_ = std::min(found, in_.size());
  if (found == std::string::npos)
    return std::nullopt;
  return found + kHeadEnd.size();
}

void HttpConnection::CheckUnfinishedHead() {
  const size_t limit = server_.limits().largest_headers;
  if (in_.size() > limit) {
    NoteRefusal(client_limits::ClientLimit::kHead, in_.size(), limit);
    RefuseAndClose(base::ErrorKind::kHeadersTooLarge);
  } else if (!MayBeRequest(in_)) {
    RefuseAndClose(base::ErrorKind::kMalformedRequest);
  }
}

// A head is parsed once it is whole: its fields take many times its bytes.
bool HttpConnection::ParseHead() {
  const auto end = FindHeadEnd();
  if (!end || *end > server_.limits().largest_headers) {
    CheckUnfinishedHead();
    return false;
  }
  if (!ReserveHead(*end))
    return false;
  parser_.emplace();
  parser_->header_limit(std::numeric_limits<uint32_t>::max());
  parser_->body_limit(std::numeric_limits<uint64_t>::max());
  parser_->eager(false);
  if (!Feed())
    return false;
  if (!parser_->is_header_done()) {
    RefuseAndClose(base::ErrorKind::kMalformedRequest);
    return false;
  }
  CheckHead();
  if (!IsBodyEndKnown(request_.headers)) {
    RefuseAndClose(base::ErrorKind::kMalformedRequest);
    return false;
  }
  parser_->eager(true);
  if (!parser_->is_done())
    return BeginBody();
  Dispatch();
  return true;
}

bool HttpConnection::ParseBody() {
  const bool more = Feed();
  if (closed_ || reads_no_more_)
    return false;
  TakeBodyPart();
  if (closed_ || !parser_ || ticket_ != 0)
    return false;
  if (!parser_->is_done())
    return more;
  Dispatch();
  return true;
}

void HttpConnection::CheckHead() {
  const auto& head = parser_->get();
  request_.method = std::string(head.method_string());
  request_.target = std::string(head.target());
  request_.headers = ToHeaders(head.base());
  request_.received_at = server_.loop().now();
  // The parser needs its copy no more.
  parser_->get().clear();
  if (!IsWritable(request_) || IsTunnel(request_.method))
    refusal_ = MakeErrorAnswer(base::ErrorKind::kMalformedRequest);
  else if (is_head_refused_)
    RefuseHead();
  expects_continue_ = base::EqualsIgnoreCase(
      FindHeader(request_.headers, "Expect"), "100-continue");
}

HttpExchange& HttpConnection::AddExchange(bool closes_after) {
  const AnswerForm form{.is_head = request_.method == "HEAD",
                        .is_http_10 = parser_->get().version() == kHttp10,
                        .closes_after = closes_after};
  exchanges_.push_back(std::make_unique<HttpExchange>(*this, form));
  exchanges_.back()->set_head_memory(std::exchange(head_memory_, {}));
  server_.OnExchangeBegun();
  return *exchanges_.back();
}

void HttpConnection::Dispatch() {
  TakeBodyPart();
  if (closed_ || !parser_ || ticket_ != 0)
    return;
  const bool closes_after = !parser_->keep_alive();
  if (is_answered_ || streamed_) {
    // It was handed on, or answered, before its body had come.
    EndRequest();
    if (closes_after)
      StopReading();
    return;
  }
  HttpExchange& exchange = AddExchange(closes_after);
  request_.body = body_.Finish();
  HttpRequest request = std::move(request_);
  const auto refusal = std::move(refusal_);
  EndRequest();
  // What follows a request that ends the connection is no request.
  if (closes_after)
    StopReading();
  if (refusal) {
    exchange.Send(*refusal);
    return;
  }
  Reply reply(&exchange);
  if (HasCallerClosed())
    exchange.Detach();
  server_.Handle(std::move(request), std::move(reply));
}

void HttpConnection::EndRequest() {
  parser_.reset();
  request_ = {};
  request_began_at_.reset();
  scanned_ = 0;
  head_memory_ = {};
  has_head_memory_ = false;
  is_head_refused_ = false;
  is_behind_answers_ = false;
  body_.Reset();
  admission_ = {};
  wait_began_ = {};
  max_wait_ = {};
  refusal_.reset();
  is_answered_ = false;
  streamed_ = nullptr;
  close_at_ = exchanges_.empty() ? server_.loop().now() + server_.limits().idle
                                 : base::Instant::max();
  if (server_.IsQuiescing())
    StopReading();
}

bool HttpConnection::HasCallerClosed() {
  if (is_caller_gone_ || !in_.empty())
    return is_caller_gone_;
  // The round may have lasted long since its events were read.
  char next = 0;
  const ssize_t size = recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  is_caller_gone_ = size == 0 || (size < 0 && errno != EAGAIN &&
                                  errno != EWOULDBLOCK && errno != EINTR);
  return is_caller_gone_;
}

void HttpConnection::StopReading() {
  reads_no_more_ = true;
  base::FreeMemory(in_);
  CountInput();
}

void HttpConnection::RefuseAndClose(base::ErrorKind error) {
  const bool is_answered = is_answered_ || streamed_;
  StopReadingBody();
  EndRequest();
  StopReading();
  if (is_answered) {
    // Nothing more can be said about that request.
    close_at_ = server_.loop().now() + kLinger;
    return;
  }
  exchanges_.push_back(
      std::make_unique<HttpExchange>(*this, AnswerForm{.closes_after = true}));
  server_.OnExchangeBegun();
  exchanges_.back()->Send(MakeErrorAnswer(error));
}

void HttpConnection::OnHalfClosed() {
  Close(false);
}

void HttpConnection::Quiesce() {
  if (closed_ || lingers_)
    return;
  // What is not read by now counts as not read; what was handed on is answered.
  if (!streamed_) {
    StopReading();
    StopReadingBody();
  }
  if (!IsBusy())
    CloseGently();
  else
    Watch();
}

void HttpConnection::CloseGently() {
  if (closed_ || std::exchange(lingers_, true))
    return;
  StopReading();
  StopReadingBody();
  // Requests behind an answer that ends the connection count as not read.
  for (const auto& exchange : exchanges_)
    exchange->NoteGone();
  if (closed_)
    return;
  streamed_ = nullptr;
  server_.OnExchangesEnded(std::exchange(exchanges_, {}).size());
  shutdown(fd_, SHUT_WR);
  close_at_ = server_.loop().now() + kLinger;
  Watch();
}

void HttpConnection::Close(bool by_reset) {
  if (std::exchange(closed_, true))
    return;
  StopReadingBody();
  base::FreeMemory(in_);
  head_memory_ = {};
  for (size_t i = 0; i < exchanges_.size(); ++i)
    exchanges_[i]->NoteGone();
  streamed_ = nullptr;
  server_.OnExchangesEnded(std::exchange(exchanges_, {}).size());
  base::FreeMemory(out_);
  out_offset_ = 0;
  CountInput();
  CountOutput();
  server_.loop().Unwatch(fd_);
  server_.loop().CancelDeferred(this);
  if (by_reset)
    SetReset(fd_);
  close(std::exchange(fd_, -1));
  server_.OnConnectionClosed(this);
}

void HttpConnection::Sweep(base::Instant now) {
  if (!closed_ && close_at_ <= now)
    Close(false);
}

void HttpConnection::Drop() {
  server_.loop().CancelDeferred(this);
  for (const auto& exchange : exchanges_)
    exchange->Detach();
  exchanges_.clear();
}

}  // namespace chestnutport::net
