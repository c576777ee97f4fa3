#include "net/http_exchange.h"

#include <algorithm>
#include <boost/beast/http/chunk_encode.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "net/beast_messages.h"
#include "net/http_connection.h"
#include "net/http_server.h"
#include "net/reply.h"

namespace chestnutport::net {
namespace {

constexpr char kContentLength[] = "Content-Length";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string& out) {
  for (const auto buffer : boost::beast::buffers_range_ref(buffers))
    out.append(static_cast<const char*>(buffer.data()), buffer.size());
}

void AppendChunk(std::string_view part, std::string& out) {
  const boost::asio::const_buffer body(part.data(), part.size());
  AppendBuffers(http::make_chunk(body), out);
}

}  // namespace

HttpExchange::HttpExchange(HttpConnection& connection, AnswerForm form)
    : connection_(connection), form_(form) {}

HttpExchange::~HttpExchange() {
  connection_.server().RemoveAnswerBytes(counted_);
}

void HttpExchange::CountBuffered() {
  connection_.server().RemoveAnswerBytes(std::exchange(counted_, buffered()));
  connection_.server().AddAnswerBytes(counted_);
}

size_t HttpExchange::BufferSize() const {
  return connection_.server().AnswerBufferSize();
}

void HttpExchange::Send(HttpAnswer answer) {
  status_ = answer.status;
  headers_ = std::move(answer.headers);
  body_ = std::move(answer.body);
  body_offset_ = 0;
  length_ = body_.size();
  CountBuffered();
  finished_ = true;
  head_ready_ = true;
  reply_ = nullptr;
  connection_.FlushSoon();
}

void HttpExchange::Start(int status,
                         HttpHeaders headers,
                         std::optional<uint64_t> length) {
  status_ = status;
  headers_ = std::move(headers);
  length_ = length;
  head_ready_ = true;
  connection_.FlushSoon();
}

void HttpExchange::Write(std::string_view bytes) {
  // Most of the buffer has been taken: what is left moves to its beginning.
  if (body_offset_ > body_.size() / 2) {
    body_.erase(0, body_offset_);
    body_offset_ = 0;
  }
  body_.append(bytes);
  CountBuffered();
  connection_.FlushSoon();
}

void HttpExchange::Finish() {
  finished_ = true;
  reply_ = nullptr;
  connection_.FlushSoon();
}

void HttpExchange::Abort() {
  aborted_ = true;
  reply_ = nullptr;
  connection_.FlushSoon();
}

void HttpExchange::ReadBody(std::function<bool(std::string part)> handler) {
  on_body_part_ = std::move(handler);
  connection_.ReadSoon();
}

void HttpExchange::ContinueBody() {
  if (std::exchange(is_body_paused_, false))
    connection_.ReadSoon();
}

void HttpExchange::GiveBodyPart(std::string part) {
  if (!reply_ || !on_body_part_)
    return;
  // The handler may be replaced while it runs.
  const auto handler = on_body_part_;
  if (!handler(std::move(part)))
    is_body_paused_ = true;
}

void HttpExchange::Take(std::string& out, size_t enough, bool closes) {
  if (!head_ready_ || out.size() >= enough)
    return;
  if (!std::exchange(head_taken_, true))
    TakeHead(out, closes);
  TakeBody(out, enough);
  CountBuffered();
}

std::optional<uint64_t> HttpExchange::Length() const {
  if (form_.is_head) {
    uint64_t length = 0;
    if (base::ParseNumber(FindHeader(headers_, kContentLength), &length))
      return length;
  }
  return length_;
}

void HttpExchange::TakeHead(std::string& out, bool closes) {
  http::response<http::empty_body> head;
  head.version(kHttp11);
  head.result(static_cast<unsigned>(status_));
  for (const HttpHeader& header : headers_) {
    if (!IsWritable(header) || IsFraming(header.name) ||
        base::EqualsIgnoreCase(header.name, "Connection")) {
      continue;
    }
    // A tab means no more than a space does.
    std::string value = header.value;
    std::ranges::replace(value, '\t', ' ');
    head.insert(ToBeast(header.name), value);
  }
  const bool bodiless = status_ == kNoContent || status_ == kNotModified;
  has_body_ = !form_.is_head && !bodiless;
  if (const auto length = Length()) {
    if (!bodiless)
      head.set(http::field::content_length, absl::StrCat(*length));
  } else if (has_body_ && form_.is_http_10) {
    ends_with_connection_ = true;
  } else if (has_body_) {
    is_chunked_ = true;
    head.set(http::field::transfer_encoding, "chunked");
  }
  if (closes || ends_with_connection_)
    head.set(http::field::connection, "close");
  AppendHead(head, out);
}

void HttpExchange::TakeBody(std::string& out, size_t enough) {
  if (!has_body_) {
    body_.clear();
    body_offset_ = 0;
    end_taken_ = finished_;
    return;
  }
  const size_t room = enough > out.size() ? enough - out.size() : 0;
  const std::string_view part =
      std::string_view(body_).substr(body_offset_, room);
  if (!part.empty()) {
    if (is_chunked_)
      AppendChunk(part, out);
    else
      out.append(part);
    body_offset_ += part.size();
    drained_ = drained_ || buffered() == 0;
  }
  if (buffered() > 0)
    return;
  body_.clear();
  body_offset_ = 0;
  if (!finished_ || std::exchange(end_taken_, true))
    return;
  if (is_chunked_)
    AppendBuffers(http::make_chunk_last(), out);
}

void HttpExchange::RunDrained() {
  if (!std::exchange(drained_, false) || finished_ || !reply_ || !on_drained_)
    return;
  const auto handler = on_drained_;
  handler();
}

void HttpExchange::Detach() {
  if (Reply* reply = std::exchange(reply_, nullptr))
    reply->exchange_ = nullptr;
}

void HttpExchange::NoteGone() {
  const bool was_open = reply_ != nullptr;
  Detach();
  on_drained_ = nullptr;
  on_body_part_ = nullptr;
  const auto handler = std::exchange(on_gone_, nullptr);
  if (was_open && handler)
    handler();
}

}  // namespace chestnutport::net
