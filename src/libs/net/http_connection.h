// A caller's connection of an HttpServer. Internal to the library.
#ifndef NET_HTTP_CONNECTION_H_
#define NET_HTTP_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/time.h"
#include "client_limits/client_refusal.h"
#include "client_limits/dispensability.h"
#include "memory/body_builder.h"
#include "memory/memory_budget.h"
#include "net/beast_messages.h"
#include "net/body_policy.h"
#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/part_body.h"

namespace chestnutport::net {

// Reads requests one behind the other and hands each on as soon as it is whole,
// whether or not those before it are answered; gives the answers in the order
// of the requests.
class HttpConnection {
 public:
  // Takes over the socket. `peer`: the caller's IPv4 address.
  HttpConnection(HttpServer& server, int fd, uint32_t peer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void OnReady(uint32_t epoll_events);
  // Writes what there is to write at the end of this round.
  void FlushSoon();
  void Flush();
  // Reads on, in the next round, for a request whose body is streamed.
  void ReadSoon();
  // There is memory for the head or body for which the connection waits.
  void GrantMemory(memory::MemoryReservation reservation);
  // Whether memory is reserved for a body of which nothing came since `since`.
  bool IsBodyStalled(base::Instant since) const;
  // Refuses the request whose body does not come.
  void GiveUpBody();
  // Refuses the request that is being read, and reads no more.
  void GiveUpInput();
  bool MayGiveUpInput() const;
  // Closes the connection whose answers are not read.
  void GiveUpOutput();
  // The server takes no more: a connection without a request ends.
  void Quiesce();
  // Ends the connection if its time has passed.
  void Sweep(base::Instant now);
  // The server is destroyed: nobody is called any more.
  void Drop();

  // How the connection may make room for new ones, if at all. The least one of
  // all connections goes first.
  std::optional<client_limits::Dispensability> FindDispensability() const;
  // Returns false if a request has come meanwhile.
  bool CloseForOthers();
  // Bytes that were received and are not part of a request yet, with those that
  // the system holds while nothing is read, unless a body waits for memory.
  size_t InputBytes() const {
    return reads_no_more_ ? 0 : in_.capacity() + unread_bytes_;
  }
  // Asks the system how much it holds. Returns false if the connection is read,
  // so that this is not worth asking.
  bool CountUnread();
  // Bytes of answers that wait to be written.
  size_t OutputBytes() const;
  // For how long, times how many: who takes most is given up first.
  double OutputBurden(base::Instant now) const;

  HttpServer& server() { return server_; }

  // Requests are read or answered, or an answer is being written.
  bool IsBusy() const { return !exchanges_.empty() || HasOutput(); }

 private:
  using Parser = http::request_parser<PartBody>;

  bool HasOutput() const { return out_offset_ < out_.size(); }
  bool MayParse() const;
  // Whether answers wait that the caller does not read.
  bool IsCallerSlow() const;
  void Read();
  void Parse();
  // Each returns whether there may be more to parse.
  bool ParseHead();
  bool ParseBody();
  bool Feed();
  // The end of the head at the front of the input, if it is whole.
  std::optional<size_t> FindHeadEnd();
  // Refuses what cannot become a head any more.
  void CheckUnfinishedHead();
  // Finds memory for a request whose head has `head_bytes`; false if it has to
  // wait.
  bool ReserveHead(size_t head_bytes);
  void CheckHead();
  // Refuses the request whose head there was no memory for.
  void RefuseHead();
  // Decides whether the body is read, waits for memory, or is refused. Returns
  // whether there may be more to parse.
  bool BeginBody();
  // Bytes to reserve for the body before it is read.
  size_t BytesToReserve() const;
  void AdmitBody(size_t bytes);
  // Reads on once there are `bytes`, or else refuses the request.
  void WaitForMemory(memory::MemoryBudget& budget,
                     memory::MemoryBudget::CallerId caller,
                     size_t bytes,
                     base::Duration max_wait);
  void OnWaitEnded();
  BodyRefusal MakeRefusal(const memory::MemoryBudget& budget,
                          base::ErrorKind error,
                          size_t bytes) const;
  void RefuseBody(base::ErrorKind error, size_t bytes);
  // Answers the request at once; its body is discarded as it comes.
  void RefuseEarly();
  // Hands the request on before its body is read.
  void DispatchStreamed(uint64_t body_bytes);
  void SendContinue();
  void TakeBodyPart();
  // Releases what was read of a body, and waits for no memory.
  void StopReadingBody();
  void Dispatch();
  HttpExchange& AddExchange(bool closes_after);
  void EndRequest();
  // Kept without a request, of which nothing has come.
  bool IsIdle() const;
  // Whether the caller has closed, possibly behind requests not read yet.
  bool HasCallerClosed();
  void NoteRefusal(client_limits::ClientLimit limit,
                   size_t bytes,
                   size_t max_bytes);
  // Answers what is no request, or too large, and reads no more.
  void RefuseAndClose(base::ErrorKind error);
  void OnHalfClosed();
  // Fills the output from the answers; false if there is nothing to write.
  bool FillOutput();
  bool WriteOutput();
  // Whether the connection ends after the answer at the front.
  bool IsLastAnswer(const HttpExchange& front) const;
  void EndFront();
  // All that is to be written was written: tells the other end, and waits for
  // it to close, since unread bytes would make the kernel reset the connection.
  void CloseGently();
  // `by_reset`: the other end must not take what it has for the whole.
  void Close(bool by_reset);
  void Watch();
  // What comes from now on is thrown away.
  void StopReading();
  // Tell the server how much the connection holds.
  void CountInput();
  void CountOutput();

  HttpServer& server_;
  int fd_;
  uint32_t peer_;
  uint32_t watched_ = 0;
  std::string in_;
  size_t scanned_ = 0;        // Bytes of `in_` without the end of a head.
  size_t unread_bytes_ = 0;   // In the system's buffer.
  size_t counted_input_ = 0;  // That the server knows of.
  std::string out_;
  size_t out_offset_ = 0;
  size_t counted_output_ = 0;  // Of `out_`, that the server knows of.
  std::optional<base::Instant> output_since_;
  // Of the request that is being read, from its first byte on.
  std::optional<base::Instant> request_began_at_;
  memory::MemoryReservation head_memory_;
  bool has_head_memory_ = false;
  bool is_head_refused_ = false;    // There was no memory for it in time.
  bool is_behind_answers_ = false;  // Waits until one of them has gone out.
  std::optional<Parser> parser_;
  // Of the request that is being read.
  HttpRequest request_;
  memory::BodyBuilder body_;
  BodyAdmission admission_;
  std::optional<HttpAnswer> refusal_;
  bool expects_continue_ = false;
  bool is_answered_ = false;          // The rest of its body is discarded.
  HttpExchange* streamed_ = nullptr;  // Takes its body; set until it is read.
  // Of a request that waits for memory.
  memory::MemoryBudget::TicketId ticket_ = 0;
  size_t awaited_bytes_ = 0;
  base::Duration max_wait_{};
  std::string held_part_;  // That was read before it was known to be large.
  base::Instant wait_began_;
  base::Instant body_moved_at_;
  EventLoop::TimerId wait_timer_ = 0;
  std::deque<std::unique_ptr<HttpExchange>> exchanges_;
  bool flush_soon_ = false;
  bool read_soon_ = false;
  bool reads_no_more_ = false;  // What comes in is thrown away.
  // The caller has closed; it may have sent requests before.
  bool is_caller_gone_ = false;
  bool closes_after_out_ = false;
  bool lingers_ = false;
  bool closed_ = false;
  // When the connection is closed unless a whole request came or, if it
  // lingers, the other end has closed.
  base::Instant close_at_;
  // When its last answer was complete, or when it was accepted.
  base::Instant last_used_;
  bool is_used_ = false;  // A request was answered.
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_CONNECTION_H_
