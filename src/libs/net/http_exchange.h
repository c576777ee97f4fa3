// One request and its answer on a connection of an HttpServer. Internal to the
// library: other code holds a Reply.
#ifndef NET_HTTP_EXCHANGE_H_
#define NET_HTTP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "memory/memory_budget.h"
#include "net/http_message.h"

namespace chestnutport::net {

class HttpConnection;
class Reply;

// What the request says about how it is to be answered.
struct AnswerForm {
  bool is_head = false;       // The answer has no body.
  bool is_http_10 = false;    // The caller does not know chunks.
  bool closes_after = false;  // The caller wants the connection closed.
};

// Owned by its connection, from the whole request to the last byte of the
// answer. Nothing is serialized before the connection takes it, so that an
// answer may be replaced until then.
class HttpExchange {
 public:
  HttpExchange(HttpConnection& connection, AnswerForm form);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  void Attach(Reply* reply) { reply_ = reply; }
  void Send(HttpAnswer answer);
  void Start(int status, HttpHeaders headers, std::optional<uint64_t> length);
  void Write(std::string_view bytes);
  void Finish();
  void Abort();

  // See Reply.
  void ReadBody(std::function<bool(std::string part)> handler);
  void ContinueBody();

  bool IsHeadTaken() const { return head_taken_; }
  size_t buffered() const { return body_.size() - body_offset_; }
  size_t BufferSize() const;
  void set_on_gone(std::function<void()> handler) {
    on_gone_ = std::move(handler);
  }
  void set_on_drained(std::function<void()> handler) {
    on_drained_ = std::move(handler);
  }

  // The steps below are taken by HttpConnection.

  // Held until the request is answered.
  void set_head_memory(memory::MemoryReservation memory) {
    head_memory_ = std::move(memory);
  }
  // Moves bytes of the answer behind `out`, until that holds about `enough`.
  // `closes`: the connection is closed after this answer.
  void Take(std::string& out, size_t enough, bool closes);
  // All of the answer was taken.
  bool IsTaken() const { return end_taken_; }
  // The answer was given up: what was taken is all that there is.
  bool IsAborted() const { return aborted_; }
  // Whether only the end of the connection tells the end of the answer.
  bool EndsWithConnection() const { return ends_with_connection_; }
  bool closes_after() const { return form_.closes_after; }
  // Whether parts of a streamed body may be read: they are wanted, or there is
  // nobody any more to want them.
  bool TakesBody() const {
    return !reply_ || (on_body_part_ && !is_body_paused_);
  }
  void GiveBodyPart(std::string part);
  // Calls the handler for a buffer that was emptied, if one is due.
  void RunDrained();
  // Tells the reply's owner that there is nobody to answer any more.
  void NoteGone();
  // Lets go of the reply without telling anybody.
  void Detach();

 private:
  void TakeHead(std::string& out, bool closes);
  void TakeBody(std::string& out, size_t enough);
  // Tells the server how much of the answer is buffered.
  void CountBuffered();
  // Nothing: only the end tells.
  std::optional<uint64_t> Length() const;

  HttpConnection& connection_;
  AnswerForm form_;
  memory::MemoryReservation head_memory_;
  bool head_ready_ = false;
  bool head_taken_ = false;
  bool finished_ = false;
  bool end_taken_ = false;
  bool aborted_ = false;
  bool drained_ = false;
  bool is_chunked_ = false;
  bool has_body_ = true;
  bool ends_with_connection_ = false;
  int status_ = 0;
  HttpHeaders headers_;
  std::optional<uint64_t> length_;
  std::string body_;
  size_t body_offset_ = 0;
  size_t counted_ = 0;  // Buffered bytes that the server knows of.
  Reply* reply_ = nullptr;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  std::function<bool(std::string part)> on_body_part_;
  bool is_body_paused_ = false;
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_EXCHANGE_H_
