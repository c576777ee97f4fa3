// Requests for tokens, their answers, and datagrams about the allocator.
#include <utility>

#include "limit_service/limit_coordinator.h"

namespace chestnutport::limit_service {

using limits::AllocatorNotice;
using limits::LimitAnswer;
using limits::LimitRequest;

void LimitCoordinator::Ask(LimitRequest request) {
  const auto& known = locator_.known();
  // A request may be sent only to the allocator of its epoch.
  if (!IsOn() || !known || known->epoch != request.epoch)
    return;
  request.vm = address_;
  const base::BootInstant now = base::BootClock::now();
  if (known->holder == self_) {
    const auto answer = role_.OnRequest(request, now);
    if (answer)
      Deliver(*answer);
    else
      locator_.OnAsked(now);
  } else {
    locator_.OnAsked(now);
    Send(known->vm, LimitDatagramKind::kRequest, request.Encode());
  }
  Update();
}

void LimitCoordinator::OnDatagram(const base::SocketAddress& from,
                                  std::string_view payload) {
  const auto datagram = LimitDatagram::Decode(payload);
  if (!datagram || !IsOn())
    return;
  switch (datagram->kind) {
    case LimitDatagramKind::kRequest:
      OnRequest(from, datagram->message);
      break;
    case LimitDatagramKind::kAnswer:
      OnAnswer(datagram->message);
      break;
    case LimitDatagramKind::kNotice:
      OnNotice(datagram->message);
      break;
    case LimitDatagramKind::kInquiry:
      OnInquiry(from, datagram->message);
      break;
    case LimitDatagramKind::kHandOver:
      OnHandOver(datagram->message);
      break;
  }
  Update();
}

void LimitCoordinator::OnRequest(const base::SocketAddress& from,
                                 std::string_view message) {
  const auto request = LimitRequest::Decode(message);
  if (!request)
    return;
  const auto answer = role_.OnRequest(*request, base::BootClock::now());
  if (answer)
    Send(from, LimitDatagramKind::kAnswer, answer->Encode());
  else
    TellAllocator(from, request->epoch);
}

void LimitCoordinator::OnAnswer(std::string_view message) {
  const auto answer = LimitAnswer::Decode(message);
  const auto& known = locator_.known();
  if (!answer || answer->process != self_ || !known ||
      known->epoch != answer->epoch) {
    return;
  }
  election_->OnNotice(*known, base::BootClock::now());
  Deliver(*answer);
}

void LimitCoordinator::Deliver(const LimitAnswer& answer) {
  locator_.OnAnswered();
  outputs_.deliver(answer);
}

void LimitCoordinator::OnNotice(std::string_view message) {
  const auto notice = AllocatorNotice::Decode(message);
  if (notice && notice->holder != self_)
    Adopt(*notice);
}

void LimitCoordinator::Adopt(const AllocatorNotice& notice) {
  const uint64_t previous = locator_.known() ? locator_.known()->epoch : 0;
  if (!locator_.OnNotice(notice))
    return;
  const base::BootInstant now = base::BootClock::now();
  election_->OnNotice(notice, now);
  // The ingress must not ask the other allocator while this node may still
  // grant.
  if (!election_->authority(now))
    role_.Stop();
  // It could not renew its authority for a time, and can again.
  const bool is_back =
      handed_over_epoch_ == notice.epoch && notice.epoch == previous;
  if (is_back)
    handed_over_epoch_ = 0;
  if (is_back || notice.epoch != previous)
    PassMembers();
}

void LimitCoordinator::OnInquiry(const base::SocketAddress& from,
                                 std::string_view message) {
  if (const auto known_there = AllocatorNotice::Decode(message))
    TellAllocator(from, known_there->epoch);
}

void LimitCoordinator::OnHandOver(std::string_view message) {
  const auto notice = AllocatorNotice::Decode(message);
  const auto& known = locator_.known();
  if (!notice || !known || notice->epoch != known->epoch)
    return;
  handed_over_epoch_ = notice->epoch;
  PassMembers();
}

void LimitCoordinator::TellAllocator(const base::SocketAddress& to,
                                     uint64_t epoch) {
  const auto own = election_->notice(base::BootClock::now());
  // The allocator also confirms its present epoch; others tell only what is
  // new, because a notice makes its receiver believe that the allocator lives.
  const bool is_newer = locator_.known() && locator_.known()->epoch > epoch;
  if (own)
    Send(to, LimitDatagramKind::kNotice, own->Encode());
  else if (is_newer)
    Send(to, LimitDatagramKind::kNotice, locator_.known()->Encode());
}

void LimitCoordinator::Send(const base::SocketAddress& to,
                            LimitDatagramKind kind,
                            const std::string& message) {
  outputs_.send(to, LimitDatagram{kind, message}.Encode());
}

void LimitCoordinator::SendToMembers(LimitDatagramKind kind,
                                     const std::string& message,
                                     size_t most) {
  size_t sent = 0;
  for (const Candidate& candidate : candidates_) {
    if (candidate.member.id == self_ || sent == most)
      continue;
    Send(candidate.address, kind, message);
    ++sent;
  }
}

}  // namespace chestnutport::limit_service
