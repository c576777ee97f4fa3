#include "freshness_service/proof_exchange.h"

#include <utility>

#include "telemetry/log.h"

namespace chestnutport::freshness_service {

using base::BootClock;
using base::BootInstant;
using freshness::KeyPolicy;
using freshness::ProofChange;
using telemetry::Event;
using telemetry::LogEvent;

ProofExchange::ProofExchange(net::EventLoop& loop,
                             fleet::FleetMembership& membership,
                             base::Duration revocation_time,
                             const base::Random& random,
                             PublishHandler publish)
    : loop_(loop),
      membership_(membership),
      protocol_(revocation_time, random),
      state_(BootClock::now()),
      publish_(std::move(publish)),
      published_(protocol_.Policy()) {}

ProofExchange::~ProofExchange() {
  loop_.Cancel(timer_);
}

void ProofExchange::Start() {
  publish_(published_);
  if (!protocol_.is_on())
    return;
  membership_.OnDirect(
      fleet::Channel::kFreshness,
      [this](const base::SocketAddress& from, std::string_view payload) {
        OnDatagram(from, payload);
      });
  Run();
}

void ProofExchange::SetMembers(const membership::Member& self,
                               const std::vector<membership::Member>& members) {
  protocol_.SetMembers(self, members);
}

void ProofExchange::OnStoreRead(uint64_t revision, BootInstant asked_at) {
  protocol_.OnStoreRead(revision, asked_at);
  PublishIfDue(BootClock::now());
}

void ProofExchange::OnRevisionReported(uint64_t revision) {
  protocol_.OnRevisionReported(revision);
  PublishIfDue(BootClock::now());
}

void ProofExchange::OnRevisionInForce(uint64_t revision) {
  protocol_.OnRevisionInForce(revision);
  has_new_revision_ = true;
  PublishIfDue(BootClock::now());
}

std::optional<base::Duration> ProofExchange::ProofAge() const {
  if (!protocol_.is_on())
    return std::nullopt;
  return protocol_.ProofAge(BootClock::now());
}

void ProofExchange::Run() {
  const BootInstant now = BootClock::now();
  if (const auto query = protocol_.Run(now)) {
    membership_.SendDirect(query->to, fleet::Channel::kFreshness,
                           query->payload);
  }
  PublishIfDue(now);
  LogChange(now);
  timer_ = loop_.CallAfter(kUrgentQueryInterval, [this] { Run(); });
}

void ProofExchange::OnDatagram(const base::SocketAddress& from,
                               std::string_view payload) {
  const BootInstant now = BootClock::now();
  if (const auto answer = protocol_.OnDatagram(payload, now))
    membership_.SendDirect(from, fleet::Channel::kFreshness, *answer);
  else
    PublishIfDue(now);
}

void ProofExchange::PublishIfDue(BootInstant now) {
  const KeyPolicy policy = protocol_.Policy();
  const bool is_new_revision =
      std::exchange(has_new_revision_, false) ||
      policy.newer_revision_known != published_.newer_revision_known;
  if (!is_new_revision && policy == published_)
    return;
  // A node that does not accept keys at present must not wait.
  const bool is_waiting =
      policy.current_until && now >= *published_.current_until;
  if (!is_new_revision && !is_waiting &&
      now - published_at_ < kPublishInterval) {
    return;
  }
  published_ = policy;
  published_at_ = now;
  publish_(policy);
}

void ProofExchange::LogChange(BootInstant now) {
  const KeyPolicy policy = protocol_.Policy();
  switch (state_.Update(now, *policy.current_until)) {
    case ProofChange::kLost:
      LogEvent(Event::kConfigurationProofLost, {});
      break;
    case ProofChange::kRegained:
      LogEvent(Event::kConfigurationProofRegained, {});
      break;
    case ProofChange::kNone:
      break;
  }
}

}  // namespace chestnutport::freshness_service
