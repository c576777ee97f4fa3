#include "ingress/attempt_sender.h"

#include <algorithm>
#include <utility>

#include "traffic/peer_paths.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::ingress {
namespace {

using base::ErrorKind;
using calls::AttemptVerdict;

constexpr int kServerError = 500;
// The call itself watches its deadline; a transfer must not end before it.
constexpr std::chrono::milliseconds kTransferSlack(500);

// Another node answers the opening of a connection within a round trip, and
// nothing was sent before: another one is tried instead.
constexpr std::chrono::milliseconds kConnectTimeout(150);

// Bodies from this size on, in bytes, are sent only to a gate that has a place.
// A round trip between nodes costs a millisecond; 8 kB take 5 ms of a link of
// 12 Mbit/s, and a request is handed back several times when servers are full.
constexpr size_t kLeastInquired = 8 * 1024;
// A gate that has to ask its server first answers within some 20 ms.
constexpr std::chrono::milliseconds kInquiryTimeout(150);

net::HttpClientOptions PeerConnections() {
  net::HttpClientOptions options;
  options.connect_timeout = kConnectTimeout;
  return options;
}

// Said by the owner of the key, who alone knows, or of what no other server
// may be handed.
bool IsFinal(ErrorKind error) {
  return error == ErrorKind::kRequestStopped || error == ErrorKind::kKeyInUse ||
         error == ErrorKind::kKeyUncertain ||
         error == ErrorKind::kKeyMismatch ||
         error == ErrorKind::kAnsweredBefore ||
         error == ErrorKind::kKeyRecordUnavailable;
}

calls::AttemptEnd ReadEnd(const net::TransferResult& result,
                          const wire::PeerAnswerHead& head) {
  switch (result.end) {
    case net::TransferEnd::kNotSent:
      return {AttemptVerdict::kNotSent, ErrorKind::kConnectFailed};
    case net::TransferEnd::kTimedOut:
      return {AttemptVerdict::kLost, ErrorKind::kDeadlinePassed};
    case net::TransferEnd::kLost:
      return {AttemptVerdict::kLost, ErrorKind::kConnectionLost};
    case net::TransferEnd::kComplete:
      break;
  }
  const ErrorKind error = head.error.value_or(ErrorKind::kConnectionLost);
  if (IsFinal(error))
    return {AttemptVerdict::kEnded, error, head.retry_after};
  if (head.outcome == base::Outcome::kNotRun)
    return {AttemptVerdict::kRefused, error, head.retry_after};
  if (head.outcome != base::Outcome::kAnswered)
    return {AttemptVerdict::kLost, error};
  return {result.answer.status < kServerError ? AttemptVerdict::kAnswered
                                              : AttemptVerdict::kFailed};
}

routing::AttemptVerdict ToRouting(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kAnswered:
      return routing::AttemptVerdict::kAnswered;
    case AttemptVerdict::kFailed:
      return routing::AttemptVerdict::kFailed;
    case AttemptVerdict::kRefused:
    case AttemptVerdict::kEnded:
      return routing::AttemptVerdict::kRefused;
    case AttemptVerdict::kNotSent:
    case AttemptVerdict::kLost:
      break;
  }
  return routing::AttemptVerdict::kUnreachable;
}

}  // namespace

AttemptSender::AttemptSender(net::EventLoop& loop, control_calls::PeerKeys keys)
    : loop_(loop), keys_(std::move(keys)), client_(loop, PeerConnections()) {}

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
  sent.sent_at = now;
  sent.method = request.method;
  sent.handler = std::move(handler);
  Held held{head, server.peer_address, std::move(request)};
  if (held.request.body.size() >= kLeastInquired) {
    sent.held = std::make_unique<Held>(std::move(held));
    Inquire(sent);
  } else {
    Transmit(sent, std::move(held));
  }
}

void AttemptSender::Transmit(InFlight& sent, Held held) {
  const base::AttemptId attempt = held.head.attempt;
  held.head.AppendTo(held.request.headers, keys_.current);
  sent.transfer = client_.Stream(
      held.to, std::move(held.request), held.head.remaining + kTransferSlack,
      [this, attempt](const net::HttpAnswer& answer) {
        return StartRelay(attempt, answer);
      },
      [this, attempt](std::string_view part) {
        return RelayPart(attempt, part);
      },
      [this, attempt](net::TransferResult result) {
        OnDone(attempt, std::move(result));
      });
}

void AttemptSender::Inquire(InFlight& sent) {
  const Held& held = *sent.held;
  net::HttpRequest inquiry{.method = "POST",
                           .target = traffic::kCapacityInquiryPath};
  held.head.AppendTo(inquiry.headers, keys_.current);
  sent.transfer = client_.Send(
      held.to, std::move(inquiry),
      std::min<base::Duration>(held.head.remaining, kInquiryTimeout),
      [this, attempt = held.head.attempt](net::TransferResult result) {
        OnInquired(attempt, std::move(result));
      });
}

void AttemptSender::OnInquired(const base::AttemptId& attempt,
                               net::TransferResult result) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end())
    return;
  InFlight& sent = found->second;
  const bool is_whole = result.end == net::TransferEnd::kComplete;
  const bool has_place =
      is_whole && result.answer.status == traffic::kCapacityAvailable;
  // Nothing of the request was sent, whatever became of the question.
  if (!is_whole)
    result.end = net::TransferEnd::kNotSent;
  if (!has_place || !sent.handler) {
    OnDone(attempt, std::move(result));
    return;
  }
  Held held = *std::exchange(sent.held, nullptr);
  const base::Duration waited = loop_.now() - sent.sent_at;
  held.head.remaining = std::max<base::Duration>(
      held.head.remaining - waited, wire::PeerRequestHead::kLeastRemaining);
  if (held.head.target_in) {
    held.head.target_in =
        std::max<base::Duration>(*held.head.target_in - waited, {});
  }
  // The way of the body is paid for: it is not handed back any more.
  held.head.may_move = false;
  held.head.may_move_if_full = false;
  Transmit(sent, std::move(held));
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
      [this, attempt] { GiveUp(attempt); });
}

bool AttemptSender::StartRelay(const base::AttemptId& attempt,
                               const net::HttpAnswer& head) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end() ||
      !traffic::ShouldRelay(found->second.method, head))
    return false;
  const calls::AttemptEnd end =
      ReadEnd({.end = net::TransferEnd::kComplete, .answer = head},
              wire::PeerAnswerHead::Read(head.headers));
  // Another server may still do better than a failure.
  if (end.verdict != AttemptVerdict::kAnswered)
    return false;
  found->second.is_streamed = true;
  const Handler handler = std::exchange(found->second.handler, nullptr);
  if (handler)
    handler(end, head);
  const auto still = in_flight_.find(attempt);
  if (still != in_flight_.end() && !still->second.relay)
    GiveUp(attempt);
  return true;
}

bool AttemptSender::RelayPart(const base::AttemptId& attempt,
                              std::string_view part) {
  const auto found = in_flight_.find(attempt);
  return found == in_flight_.end() || !found->second.relay ||
         found->second.relay->Write(part);
}

void AttemptSender::GiveUp(const base::AttemptId& attempt) {
  const auto given_up = in_flight_.extract(attempt);
  if (given_up.empty())
    return;
  const InFlight& sent = given_up.mapped();
  client_.Cancel(sent.transfer);
  sent.service->chooser().OnEnded(
      sent.node,
      {routing::AttemptVerdict::kCancelled, loop_.now() - sent.sent_at},
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
      {routing::AttemptVerdict::kUnreachable, loop_.now() - dropped.sent_at},
      loop_.now());
}

void AttemptSender::Abandon(const base::AttemptId& attempt) {
  const auto found = in_flight_.find(attempt);
  if (found != in_flight_.end())
    found->second.handler = nullptr;
}

void AttemptSender::OnDone(const base::AttemptId& attempt,
                           net::TransferResult result) {
  auto node = in_flight_.extract(attempt);
  if (node.empty())
    return;
  const InFlight& sent = node.mapped();
  const base::Instant now = loop_.now();
  const base::Duration latency = now - sent.sent_at;
  const auto head = wire::PeerAnswerHead::Read(result.answer.headers);
  const calls::AttemptEnd end = ReadEnd(result, head);
  const bool is_cancelled = !sent.handler && !sent.is_streamed &&
                            end.verdict != AttemptVerdict::kAnswered;
  auto verdict = is_cancelled ? routing::AttemptVerdict::kCancelled
                              : ToRouting(end.verdict);
  // Failed by another service, which any server of this one would be.
  const bool has_failed_call =
      !net::FindHeader(result.answer.headers, wire::kCallFailedHeader).empty();
  if (verdict == routing::AttemptVerdict::kFailed && has_failed_call)
    verdict = routing::AttemptVerdict::kAnswered;
  sent.service->chooser().OnEnded(sent.node, {verdict, latency, head.load},
                                  now);
  if (end.verdict == AttemptVerdict::kAnswered)
    sent.service->timing().OnAnswer(latency, now);
  if (sent.relay)
    sent.relay->End(result.end);
  if (sent.handler)
    sent.handler(end, std::move(result.answer));
}

}  // namespace chestnutport::ingress
