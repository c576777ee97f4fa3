#include "gate/keyed_requests.h"

#include <utility>

#include "base/encoding.h"
#include "base/error_kind.h"
#include "net/error_answer.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {
namespace {

using base::ErrorKind;
using keys::ClaimVerdict;
using keys::OwnershipStatus;

// Returns the header that the ingress node sets on each request sent to the
// owner of its key, or an empty string.
std::string_view KeyAge(const net::HttpRequest& request) {
  return net::FindHeader(request.headers, wire::kKeyAgeHeader);
}

// Returns nothing if the key may be used.
std::optional<net::HttpAnswer> AnswerTo(
    const keys::OwnershipDecision& decision) {
  switch (decision.status) {
    case OwnershipStatus::kMayRun:
      return std::nullopt;
    case OwnershipStatus::kUncertain:
      return net::MakeErrorAnswer(ErrorKind::kKeyUncertain,
                                  decision.retry_after);
    case OwnershipStatus::kSettling:
      return net::MakeErrorAnswer(ErrorKind::kKeyRecordUnavailable,
                                  decision.retry_after);
    case OwnershipStatus::kNotOwner:
    case OwnershipStatus::kNoValidView:
      break;
  }
  return net::MakeErrorAnswer(ErrorKind::kKeyRecordUnavailable);
}

// Returns nothing if the request may run.
std::optional<net::HttpAnswer> AnswerTo(const keys::Claim& claim) {
  switch (claim.verdict) {
    case ClaimVerdict::kRun:
      return std::nullopt;
    case ClaimVerdict::kAnswered:
      return *claim.answer;
    case ClaimVerdict::kInUse:
      return net::MakeErrorAnswer(ErrorKind::kKeyInUse);
    case ClaimVerdict::kAnsweredBefore:
      return net::MakeErrorAnswer(ErrorKind::kAnsweredBefore);
    case ClaimVerdict::kUncertain:
      return net::MakeErrorAnswer(ErrorKind::kKeyUncertain);
    case ClaimVerdict::kMismatch:
      return net::MakeErrorAnswer(ErrorKind::kKeyMismatch);
    case ClaimVerdict::kFull:
      break;
  }
  return net::MakeErrorAnswer(ErrorKind::kKeyRecordUnavailable);
}

}  // namespace

KeyedRequests::KeyedRequests(base::NodeId self)
    : ownership_(self, keys::OwnershipOptions{}),
      records_(keys::KeyRecordLimits{}) {}

void KeyedRequests::SetView(std::vector<keys::OwnerNode> nodes,
                            base::Instant as_of) {
  ownership_.SetView(std::move(nodes), as_of);
  records_.Expire(as_of);
}

bool KeyedRequests::HasKey(const net::HttpRequest& request) {
  return !KeyAge(request).empty();
}

std::optional<net::HttpAnswer> KeyedRequests::Begin(
    const wire::PeerRequestHead& head,
    const net::HttpRequest& request,
    base::Instant now) {
  const std::string_view age = KeyAge(request);
  if (age.empty())
    return std::nullopt;
  keys::KeyScope scope{head.service, head.tenant,
                       std::string(net::FindHeader(
                           request.headers, wire::kIdempotencyKeyHeader))};
  const auto ownership =
      ownership_.StatusOf(scope.Hash(), base::ParseDuration(age), now);
  // A record held by this node is used even if the key now has another owner.
  const bool is_known = records_.Contains(scope);
  if (!is_known) {
    if (auto answer = AnswerTo(ownership))
      return answer;
  }
  // The body of a streamed request has not been read yet.
  const uint64_t fingerprint = request.unread_body > 0
                                   ? head.fingerprint.value
                                   : keys::Fingerprint(request);
  const auto claim = records_.Begin(scope, fingerprint, now);
  if (auto answer = AnswerTo(claim))
    return answer;
  active_.emplace(head.attempt, std::move(scope));
  return std::nullopt;
}

bool KeyedRequests::MayStart(const base::AttemptId& attempt,
                             base::Instant now) const {
  return !active_.contains(attempt) || ownership_.IsValid(now);
}

void KeyedRequests::OnStreamed(const base::AttemptId& attempt,
                               base::Instant now) {
  auto ended = active_.extract(attempt);
  if (!ended.empty())
    records_.OnAnswerDiscarded(ended.mapped(), now);
}

void KeyedRequests::OnEnd(const base::AttemptId& attempt,
                          net::HttpAnswer& answer,
                          base::Instant now) {
  auto ended = active_.extract(attempt);
  if (ended.empty())
    return;
  const keys::KeyScope& scope = ended.mapped();
  const auto head = wire::PeerAnswerHead::Read(answer.headers);
  const bool is_unsent = head.error == ErrorKind::kKeyRecordUnavailable;
  net::HttpAnswer stored = answer;
  net::RemoveHeader(stored.headers, wire::kServerTimeHeader);
  if (head.outcome == base::Outcome::kAnswered)
    records_.OnAnswer(scope, stored, now);
  else if (head.outcome == base::Outcome::kNotRun || is_unsent)
    records_.OnNotRun(scope);
  else
    records_.OnUncertain(scope, now);
  if (!is_unsent)
    answer.headers.push_back({wire::kKeyNewHeader, "true"});
}

}  // namespace chestnutport::gate
