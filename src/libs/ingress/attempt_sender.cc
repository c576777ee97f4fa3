#include "ingress/attempt_sender.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::ingress {
namespace {

using base::ErrorKind;
using calls::AttemptVerdict;

constexpr int kServerError = 500;
// Added to the time-out of a transfer: the call enforces its deadline itself,
// and the transfer must not time out before it.
constexpr std::chrono::milliseconds kTransferSlack(500);

// Connecting to another node takes one round trip. After a time-out nothing was
// sent yet, so another node can be tried.
constexpr std::chrono::milliseconds kConnectTimeout(150);

// Minimum body size in bytes for a capacity inquiry before the body is sent. A
// round trip between nodes takes about 1 ms, while 8 kB take 5 ms on a link of
// 12 Mbit/s, and a request is returned several times when servers are full.
constexpr size_t kMinInquiryBytes = 8 * 1024;
// A gate that first has to probe its server replies within about 20 ms, and one
// whose link is in use by other bodies within 150 ms.
constexpr std::chrono::milliseconds kInquiryTimeout(250);

http_client::HttpClientOptions PeerClientOptions() {
  http_client::HttpClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.answers_after_reading = true;
  return options;
}

// Errors after which no other server may be tried: those about an idempotency
// key, for which only its owner is authoritative, and a stopped request.
bool IsFinal(ErrorKind error) {
  return error == ErrorKind::kRequestStopped || error == ErrorKind::kKeyInUse ||
         error == ErrorKind::kKeyUncertain ||
         error == ErrorKind::kKeyMismatch ||
         error == ErrorKind::kAnsweredBefore ||
         error == ErrorKind::kKeyRecordUnavailable;
}

calls::AttemptEnd ReadEnd(const http_client::TransferResult& result,
                          const wire::PeerAnswerHead& head) {
  switch (result.end) {
    case http_client::TransferEnd::kNotSent:
      return {AttemptVerdict::kNotSent, ErrorKind::kConnectFailed};
    case http_client::TransferEnd::kTimedOut:
      return {AttemptVerdict::kLost, ErrorKind::kDeadlinePassed};
    case http_client::TransferEnd::kLost:
      return {AttemptVerdict::kLost, ErrorKind::kConnectionLost};
    case http_client::TransferEnd::kComplete:
      break;
  }
  const ErrorKind error = head.error.value_or(ErrorKind::kConnectionLost);
  if (IsFinal(error))
    return {AttemptVerdict::kFinalError, error, head.retry_after};
  if (head.outcome == base::Outcome::kNotRun)
    return {AttemptVerdict::kRefused, error, head.retry_after};
  if (head.outcome != base::Outcome::kAnswered)
    return {AttemptVerdict::kLost, error};
  return {result.answer.status < kServerError ? AttemptVerdict::kAnswered
                                              : AttemptVerdict::kFailed};
}

routing::AttemptResultKind ToRouting(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kAnswered:
      return routing::AttemptResultKind::kAnswered;
    case AttemptVerdict::kFailed:
      return routing::AttemptResultKind::kFailed;
    case AttemptVerdict::kRefused:
    case AttemptVerdict::kFinalError:
      return routing::AttemptResultKind::kRefused;
    case AttemptVerdict::kNotSent:
    case AttemptVerdict::kLost:
      break;
  }
  return routing::AttemptResultKind::kUnreachable;
}

}  // namespace

AttemptSender::AttemptSender(net::EventLoop& loop, control_calls::PeerKeys keys)
    : loop_(loop), keys_(std::move(keys)), client_(loop, PeerClientOptions()) {}

void AttemptSender::Send(ServiceTraffic& service,
                         const routing::ServerCandidate& server,
                         const wire::PeerRequestHead& head,
                         net::HttpRequest request,
                         Handler handler) {
  const base::Instant now = loop_.now();
  service.chooser().OnSent(server.node, now);
  InFlight& sent = in_flight_[head.attempt];
  sent.service = &service;
  sent.node = server.node;
  sent.to = server.peer_address;
  sent.sent_at = now;
  sent.method = request.method;
  sent.handler = std::move(handler);
  PendingRequest pending{head, server.peer_address, std::move(request)};
  pending.head.server_notice = notices_.Find(server.peer_address, now);
  if (pending.request.body.size() >= kMinInquiryBytes) {
    sent.pending = std::make_unique<PendingRequest>(std::move(pending));
    InquireCapacity(sent);
  } else {
    Transmit(sent, std::move(pending));
  }
}

void AttemptSender::Transmit(InFlight& sent, PendingRequest pending) {
  const base::AttemptId attempt = pending.head.attempt;
  pending.head.AppendTo(pending.request.headers, keys_.current);
  sent.transfer = client_.Stream(
      pending.to, std::move(pending.request),
      pending.head.remaining + kTransferSlack,
      [this, attempt](const net::HttpAnswer& answer) {
        return StartRelay(attempt, answer);
      },
      [this, attempt](std::string_view part) {
        return RelayPart(attempt, part);
      },
      [this, attempt](http_client::TransferResult result) {
        OnDone(attempt, std::move(result));
      });
}

void AttemptSender::InquireCapacity(InFlight& sent) {
  const PendingRequest& pending = *sent.pending;
  net::HttpRequest inquiry{.method = "POST",
                           .target = traffic::kCapacityInquiryPath};
  pending.head.AppendTo(inquiry.headers, keys_.current);
  inquiry.headers.push_back(
      {wire::kBodyBytesHeader, absl::StrCat(pending.request.body.size())});
  sent.transfer = client_.Send(
      pending.to, std::move(inquiry),
      std::min<base::Duration>(pending.head.remaining, kInquiryTimeout),
      [this,
       attempt = pending.head.attempt](http_client::TransferResult result) {
        OnCapacityReply(attempt, std::move(result));
      });
}

void AttemptSender::OnCapacityReply(const base::AttemptId& attempt,
                                    http_client::TransferResult result) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end())
    return;
  InFlight& sent = found->second;
  const bool is_complete = result.end == http_client::TransferEnd::kComplete;
  const bool has_capacity =
      is_complete && result.answer.status == traffic::kCapacityAvailable;
  // The request itself was not sent, regardless of the result of the inquiry.
  if (!is_complete)
    result.end = http_client::TransferEnd::kNotSent;
  if (!has_capacity || !sent.handler) {
    OnDone(attempt, std::move(result));
    return;
  }
  PendingRequest pending = *std::exchange(sent.pending, nullptr);
  const base::Duration waited = loop_.now() - sent.sent_at;
  pending.head.remaining = std::max<base::Duration>(
      pending.head.remaining - waited, wire::PeerRequestHead::kLeastRemaining);
  if (pending.head.target_in) {
    pending.head.target_in =
        std::max<base::Duration>(*pending.head.target_in - waited, {});
  }
  // The gate may no longer return the request: its body would be transferred
  // again.
  pending.head.may_move = false;
  pending.head.may_move_if_full = false;
  Transmit(sent, std::move(pending));
}

void AttemptSender::Relay(const base::AttemptId& attempt,
                          net::HttpAnswer answer,
                          net::Reply reply) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end() || !found->second.is_streamed) {
    reply.Send(std::move(answer));
    return;
  }
  InFlight& sent = found->second;
  sent.relay = std::make_unique<traffic::AnswerRelay>(
      client_, sent.transfer, std::move(answer), std::move(reply),
      [this, attempt] { CancelTransfer(attempt); });
}

bool AttemptSender::StartRelay(const base::AttemptId& attempt,
                               const net::HttpAnswer& head) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end() ||
      !traffic::ShouldRelay(found->second.method, head))
    return false;
  const calls::AttemptEnd end =
      ReadEnd({.end = http_client::TransferEnd::kComplete, .answer = head},
              wire::PeerAnswerHead::Read(head.headers));
  // A failure is not relayed yet: a retry at another server may succeed.
  if (end.verdict != AttemptVerdict::kAnswered)
    return false;
  notices_.OnAnswer(found->second.to, head.headers, true, found->second.sent_at,
                    loop_.now());
  found->second.is_streamed = true;
  const Handler handler = std::exchange(found->second.handler, nullptr);
  if (handler)
    handler(end, head);
  const auto still = in_flight_.find(attempt);
  if (still != in_flight_.end() && !still->second.relay)
    CancelTransfer(attempt);
  return true;
}

bool AttemptSender::RelayPart(const base::AttemptId& attempt,
                              std::string_view part) {
  const auto found = in_flight_.find(attempt);
  return found == in_flight_.end() || !found->second.relay ||
         found->second.relay->Write(part);
}

void AttemptSender::CancelTransfer(const base::AttemptId& attempt) {
  const auto cancelled = in_flight_.extract(attempt);
  if (cancelled.empty())
    return;
  const InFlight& sent = cancelled.mapped();
  client_.Cancel(sent.transfer);
  sent.service->chooser().OnEnded(
      sent.node,
      {routing::AttemptResultKind::kCancelled, loop_.now() - sent.sent_at},
      loop_.now());
}

void AttemptSender::Drop(const base::AttemptId& attempt) {
  auto sent = in_flight_.extract(attempt);
  if (sent.empty())
    return;
  const InFlight& dropped = sent.mapped();
  client_.Cancel(dropped.transfer);
  dropped.service->chooser().OnEnded(
      dropped.node,
      {routing::AttemptResultKind::kUnreachable, loop_.now() - dropped.sent_at},
      loop_.now());
}

void AttemptSender::Abandon(const base::AttemptId& attempt) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end())
    return;
  if (client_.IsSentWhole(found->second.transfer))
    found->second.handler = nullptr;
  else
    CancelTransfer(attempt);
}

void AttemptSender::OnDone(const base::AttemptId& attempt,
                           http_client::TransferResult result) {
  auto node = in_flight_.extract(attempt);
  if (node.empty())
    return;
  const InFlight& sent = node.mapped();
  const base::Instant now = loop_.now();
  const base::Duration latency = now - sent.sent_at;
  const auto head = wire::PeerAnswerHead::Read(result.answer.headers);
  const calls::AttemptEnd end = ReadEnd(result, head);
  if (!sent.is_streamed) {
    const bool is_from_server = end.verdict == AttemptVerdict::kAnswered ||
                                end.verdict == AttemptVerdict::kFailed;
    notices_.OnAnswer(sent.to, result.answer.headers, is_from_server,
                      sent.sent_at, now);
  }
  const bool is_cancelled = !sent.handler && !sent.is_streamed &&
                            end.verdict != AttemptVerdict::kAnswered;
  auto kind = is_cancelled ? routing::AttemptResultKind::kCancelled
                           : ToRouting(end.verdict);
  // The request failed because of a nested call to another service, as it would
  // at any server of this service.
  const bool has_failed_call =
      !net::FindHeader(result.answer.headers, wire::kCallFailedHeader).empty();
  if (kind == routing::AttemptResultKind::kFailed && has_failed_call)
    kind = routing::AttemptResultKind::kAnswered;
  sent.service->chooser().OnEnded(sent.node, {kind, latency, head.load}, now);
  if (end.verdict == AttemptVerdict::kAnswered)
    sent.service->timeouts().OnAnswer(latency, now);
  if (sent.relay)
    sent.relay->End(result.end);
  if (sent.handler)
    sent.handler(end, std::move(result.answer));
}

}  // namespace chestnutport::ingress
