#include "freshness_service/proof_protocol.h"

#include <algorithm>
#include <variant>

#include "freshness_service/freshness_message.h"

namespace chestnutport::freshness_service {
namespace {

// A proof older than this part of the revocation time is old. When the last
// path to the store fails, a proof must have three fifths of its time left.
// That of a reader with short watches is up to 1.6 s old, so of 5 s only 0.3 s
// remain for the way to the other nodes. With a half in place of a fifth,
// proofs were up to 2.6 s old, with a third up to 2.1 s.
constexpr int kOldProofDivisor = 5;

}  // namespace

ProofProtocol::ProofProtocol(base::Duration revocation_time,
                             const base::Random& random)
    : revocation_time_(revocation_time),
      random_(random),
      keeper_(revocation_time) {}

void ProofProtocol::OnStoreRead(uint64_t revision, base::BootInstant asked_at) {
  OnRevisionReported(revision);
  if (is_on())
    keeper_.OnStoreRead(revision, asked_at);
}

void ProofProtocol::OnRevisionReported(uint64_t revision) {
  reported_revision_ = std::max(reported_revision_, revision);
}

std::optional<ProofProtocol::Query> ProofProtocol::Run(base::BootInstant now) {
  if (!is_on() || (last_query_ && now - *last_query_ < QueryInterval(now)))
    return std::nullopt;
  const auto to = peers_.Next(random_);
  if (!to)
    return std::nullopt;
  last_query_ = now;
  const FreshnessQuery query{queries_.Add(now, random_)};
  return Query{*to, query.Encode()};
}

std::optional<std::string> ProofProtocol::OnDatagram(std::string_view payload,
                                                     base::BootInstant now) {
  const auto message = DecodeFreshness(payload);
  if (!is_on() || !message)
    return std::nullopt;
  if (const auto* query = std::get_if<FreshnessQuery>(&*message)) {
    const auto proof = keeper_.Latest();
    if (!proof)
      return std::nullopt;
    return FreshnessAnswer{query->number, proof->revision,
                           now - proof->valid_at}
        .Encode();
  }
  const auto& answer = std::get<FreshnessAnswer>(*message);
  if (const auto asked_at = queries_.Take(answer.number)) {
    OnRevisionReported(answer.revision);
    keeper_.OnPeerAnswer(answer.revision, answer.age, *asked_at);
  }
  return std::nullopt;
}

freshness::KeyPolicy ProofProtocol::Policy() const {
  freshness::KeyPolicy policy;
  if (is_on())
    policy.current_until = keeper_.CurrentUntil(own_revision_);
  policy.newer_revision_known = reported_revision_ > own_revision_;
  return policy;
}

std::optional<base::Duration> ProofProtocol::ProofAge(
    base::BootInstant now) const {
  const auto proof = keeper_.ProofOf(own_revision_);
  if (!proof)
    return std::nullopt;
  return now - proof->valid_at;
}

base::Duration ProofProtocol::QueryInterval(base::BootInstant now) const {
  const auto age = ProofAge(now);
  const bool is_old = !age || *age > revocation_time_ / kOldProofDivisor;
  return is_old ? kUrgentQueryInterval : kQueryInterval;
}

}  // namespace chestnutport::freshness_service
