// What a caller's connection holds, and how it gives way to others.
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/text.h"
#include "net/http_connection.h"

namespace chestnutport::net {
namespace {

// Beside its head: what the node keeps about a request until it is answered.
constexpr size_t kRequestBytes = 2 * 1024;
// A body that comes slower may be given up for new connections.
constexpr size_t kFairBytesPerSecond = 32 * 1024;
// The head, and what is sent on for it.
constexpr size_t kHeadCopies = 2;

// Bytes that a request takes until it is answered.
size_t CostOf(std::string_view head) {
  const auto lines = static_cast<size_t>(std::ranges::count(head, '\n'));
  return kRequestBytes +
         kHeadCopies * (head.size() + lines * sizeof(HttpHeader));
}

}  // namespace

bool HttpConnection::ReserveHead(size_t head_bytes) {
  if (has_head_memory_ || is_head_refused_)
    return true;
  const size_t bytes = CostOf(std::string_view(in_).substr(0, head_bytes));
  if (exchanges_.empty() && bytes <= client_limits::kFreeRequestBytes)
    return true;
  memory::MemoryBudget& heads = server_.heads();
  if (auto reserved = heads.TryReserve(peer_, bytes)) {
    head_memory_ = std::move(*reserved);
    has_head_memory_ = true;
    return true;
  }
  if (!exchanges_.empty()) {
    is_behind_answers_ = true;
    // The caller is not late while it is not read.
    close_at_ = base::Instant::max();
    return false;
  }
  if (heads.CanHold(bytes) && server_.MayWaitForMemory()) {
    WaitForMemory(heads, peer_, bytes, server_.limits().body_wait);
    return false;
  }
  awaited_bytes_ = bytes;
  is_head_refused_ = true;
  return true;
}

void HttpConnection::RefuseHead() {
  const memory::MemoryBudget& heads = server_.heads();
  NoteRefusal(client_limits::ClientLimit::kHeads, awaited_bytes_,
              heads.limit());
  refusal_ = server_.Refuse(
      request_,
      MakeRefusal(heads, base::ErrorKind::kOverloaded, awaited_bytes_));
}

void HttpConnection::NoteRefusal(client_limits::ClientLimit limit,
                                 size_t bytes,
                                 size_t max_bytes) {
  server_.NoteRefusal(
      {.limit = limit, .peer = peer_, .bytes = bytes, .max_bytes = max_bytes});
}

void HttpConnection::CountInput() {
  if (in_.empty())
    base::FreeIfLarge(in_);
  server_.RemoveInputBytes(
      std::exchange(counted_input_, closed_ ? 0 : InputBytes()));
  server_.AddInputBytes(counted_input_);
}

bool HttpConnection::CountUnread() {
  const bool is_paused = MayGiveUpInput() && !MayParse();
  int size = 0;
  if (is_paused && ioctl(fd_, FIONREAD, &size) != 0)
    size = 0;
  unread_bytes_ = static_cast<size_t>(size);
  CountInput();
  return is_paused;
}

bool HttpConnection::MayGiveUpInput() const {
  return !closed_ && !reads_no_more_ && !streamed_ && ticket_ == 0;
}

void HttpConnection::GiveUpInput() {
  NoteRefusal(client_limits::ClientLimit::kInput, InputBytes(),
              server_.limits().input);
  RefuseAndClose(base::ErrorKind::kOverloaded);
}

size_t HttpConnection::OutputBytes() const {
  size_t bytes = counted_output_;
  for (const auto& exchange : exchanges_)
    bytes += exchange->buffered();
  return bytes;
}

double HttpConnection::OutputBurden(base::Instant now) const {
  if (!output_since_)
    return 0;
  const std::chrono::duration<double> age = now - *output_since_;
  return age.count() * static_cast<double>(OutputBytes());
}

void HttpConnection::CountOutput() {
  // Even an empty string has some capacity.
  server_.RemoveAnswerBytes(
      std::exchange(counted_output_, closed_ ? 0 : out_.capacity()));
  server_.AddAnswerBytes(counted_output_);
  if (!HasOutput())
    output_since_.reset();
  else if (!output_since_)
    output_since_ = server_.loop().now();
}

void HttpConnection::GiveUpOutput() {
  NoteRefusal(client_limits::ClientLimit::kOutput, OutputBytes(),
              server_.limits().answers);
  Close(true);
}

bool HttpConnection::IsIdle() const {
  return !closed_ && !lingers_ && !parser_ && in_.empty() &&
         exchanges_.empty() && !HasOutput();
}

std::optional<client_limits::Dispensability>
HttpConnection::FindDispensability() const {
  using Kind = client_limits::Dispensability::Kind;
  if (closed_ || ticket_ != 0)
    return std::nullopt;
  if (IsIdle())
    return client_limits::Dispensability{
        is_used_ ? Kind::kKept : Kind::kNeverUsed, last_used_};
  if (output_since_)
    return client_limits::Dispensability{Kind::kUnreadAnswer, *output_since_};
  if (!exchanges_.empty() || !request_began_at_)
    return std::nullopt;
  if (!parser_)
    return client_limits::Dispensability{Kind::kUnfinishedHead,
                                         *request_began_at_};
  // A body that comes fast enough counts as begun later.
  const auto earned = std::chrono::seconds(body_.size() / kFairBytesPerSecond);
  return client_limits::Dispensability{Kind::kUnfinishedBody,
                                       *request_began_at_ + earned};
}

bool HttpConnection::CloseForOthers() {
  char next = 0;
  if (!IsIdle())
    NoteRefusal(client_limits::ClientLimit::kConnections,
                InputBytes() + OutputBytes(), 0);
  else if (recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
    return false;
  Close(HasOutput());
  return true;
}

}  // namespace chestnutport::net
