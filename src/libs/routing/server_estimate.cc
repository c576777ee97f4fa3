#include "routing/server_estimate.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::routing {
namespace {

// Age at which a load report has half its weight.
constexpr Seconds kReportHalfLife(0.02);
// Weight of a new report against the previous ones. Small, because a report may
// be older than it seems, and all nodes that receive it react to it.
constexpr double kReportWeight = 0.15;
// Penalty on the expected time at full load, even before requests queue: a
// share of the usual latency, plus a fixed time. Keeps loads even, and keeps
// short requests from filling a nearby server before its load is reported to
// the other nodes.
constexpr double kLoadPenaltyShare = 0.5;
constexpr Seconds kLoadPenaltyTime(0.008);

// Half-life of a reported strain. Slow periods caused by a busy neighbour of a
// VM last about 300 ms, and the report does not include when the period began.
constexpr Seconds kStrainHalfLife(0.15);

// A new server starts with this share of its slots and has all of them after
// the warm-up time.
constexpr double kInitialSlotShare = 0.5;
constexpr Seconds kWarmUpTime(0.3);
// Penalty if a request has to queue, as a share of the usual latency. The time
// for which the requests ahead hold their slots is unknown, especially if they
// make calls of their own.
constexpr double kQueueingPenalty = 0.5;

// Time for which a server is avoided after a refusal. Longer if it was below
// its limit, because it is then probably shutting down.
constexpr std::chrono::milliseconds kAvoidAfterRefusalAtLimit(5);
constexpr std::chrono::milliseconds kAvoidAfterRefusalBelowLimit(200);

// Weights of an answer and of a lost attempt in a server's average latency.
constexpr double kAnswerWeight = 0.3;
constexpr double kLossWeight = 0.5;
// Multiples of the usual latency.
constexpr double kFailurePenaltyFactor = 10;
constexpr double kMaxSlowness = 20;
// Slowness below this is normal variation of the work.
constexpr double kSlownessThreshold = 1.5;
// Half-life of a server's slowness without further answers, so that the server
// is tried again. It doubles with each consecutive slow answer: a server that
// was slow for a moment is used again at once, a straggler is not.
constexpr Seconds kSlownessHalfLife(0.02);
constexpr int kMaxConsecutiveSlow = 6;
// Time without a response while requests are in flight, in multiples of the
// usual latency, from which on a server is penalised.
constexpr double kSilenceThreshold = 3;

}  // namespace

void ServerEstimate::OnSent(base::Instant now) {
  if (own_in_flight_ == 0)
    silent_since_ = now;
  ++own_in_flight_;
}

void ServerEstimate::OnEnded(const AttemptResult& result,
                             int slots,
                             ServiceEstimate& service,
                             base::Instant now) {
  own_in_flight_ = std::max(0, own_in_flight_ - 1);
  if (result.load)
    OnReport(*result.load, slots, service, now);
  const Seconds latency = result.latency;
  const Seconds failure = service.typical_latency() * kFailurePenaltyFactor;
  switch (result.kind) {
    case AttemptResultKind::kAnswered:
      silent_since_ = now;
      service.OnAnswer(latency);
      UpdateLatency(latency, kAnswerWeight, service, now);
      return;
    case AttemptResultKind::kFailed:
      silent_since_ = now;
      UpdateLatency(std::max(latency, failure), kAnswerWeight, service, now);
      return;
    case AttemptResultKind::kRefused:
      silent_since_ = now;
      OnRefused(result, now);
      return;
    case AttemptResultKind::kUnreachable:
      UpdateLatency(std::max(latency, failure), kLossWeight, service, now);
      return;
    case AttemptResultKind::kCancelled:
      // The answer would have taken at least this long.
      if (latency > latency_)
        UpdateLatency(latency, kAnswerWeight, service, now);
      return;
  }
}

void ServerEstimate::OnRefused(const AttemptResult& result, base::Instant now) {
  const auto& load = result.load;
  // A slow server returns work although it has capacity; its report already
  // includes the strain.
  const bool was_below_limit = load && load->in_flight < load->limit &&
                               load->strain.value_or(1) < kSlownessThreshold;
  avoided_until_ = now + (was_below_limit ? kAvoidAfterRefusalBelowLimit
                                          : kAvoidAfterRefusalAtLimit);
}

void ServerEstimate::UpdateLatency(Seconds latency,
                                   double weight,
                                   const ServiceEstimate& service,
                                   base::Instant now) {
  const Seconds decayed =
      service.typical_latency() * DecayedSlowness(service, now);
  const Seconds previous = latency_ > Seconds::zero()
                               ? std::min(latency_, decayed)
                               : service.typical_latency();
  const Seconds bounded =
      std::min(latency, service.typical_latency() * kMaxSlowness);
  latency_ = previous + weight * (bounded - previous);
  latency_updated_at_ = now;
  const bool is_slow = latency > service.typical_latency() * kSlownessThreshold;
  consecutive_slow_ =
      is_slow ? std::min(consecutive_slow_ + 1, kMaxConsecutiveSlow) : 0;
}

double ServerEstimate::Slowness(const ServiceEstimate& service,
                                base::Instant now) const {
  const double slowness = DecayedSlowness(service, now);
  // A small remainder is ignored, so that the server gets requests again.
  return slowness < kSlownessThreshold ? 1 : slowness;
}

double ServerEstimate::DecayedSlowness(const ServiceEstimate& service,
                                       base::Instant now) const {
  const double relative_latency = latency_ / service.typical_latency();
  if (relative_latency <= 1)
    return 1;
  const Seconds age = now - latency_updated_at_;
  const Seconds half_life = kSlownessHalfLife * (1 << consecutive_slow_);
  return 1 + (relative_latency - 1) * std::exp2(-(age / half_life));
}

double ServerEstimate::SilencePenalty(const ServiceEstimate& service,
                                      base::Instant now) const {
  if (own_in_flight_ == 0)
    return 0;
  const Seconds silent = now - silent_since_;
  const double relative_silence = silent / service.typical_latency();
  return relative_silence < kSilenceThreshold ? 0 : relative_silence;
}

void ServerEstimate::OnReport(const wire::LoadReport& load,
                              int slots,
                              ServiceEstimate& service,
                              base::Instant now) {
  const int others = load.in_flight + load.queued - own_in_flight_;
  const double share = std::max(0, others) / static_cast<double>(slots);
  const double previous = LoadFromOtherNodes(service, now);
  load_from_other_nodes_ = previous + kReportWeight * (share - previous);
  limit_ = load.limit;
  has_report_ = true;
  reported_at_ = now;
  service.OnLoadFromOtherNodes(share);
  if (!load.strain)
    return;
  reported_strain_ = *load.strain;
  strain_reported_at_ = now;
  service.OnStrain(*load.strain);
}

Seconds ServerEstimate::ExpectedTime(int slots,
                                     const ServiceEstimate& service,
                                     base::Instant now) const {
  const double load = Load(slots, service, now);
  const double queueing = load > 1 ? kQueueingPenalty + load - 1 : 0;
  const double slowness = Strain(service, now);
  const Seconds usual = service.typical_latency();
  const Seconds load_penalty =
      (usual * kLoadPenaltyShare + kLoadPenaltyTime) * load * load;
  return slowness * (usual * (1 + queueing) + load_penalty) +
         SilencePenalty(service, now) * usual;
}

double ServerEstimate::Load(int slots,
                            const ServiceEstimate& service,
                            base::Instant now) const {
  const double ahead =
      own_in_flight_ + LoadFromOtherNodes(service, now) * slots;
  return (ahead + 1) / UsableSlots(slots, now);
}

double ServerEstimate::Strain(const ServiceEstimate& service,
                              base::Instant now) const {
  const double strain = std::max(Slowness(service, now), ReportedStrain(now));
  return now < avoided_until_ ? std::max(strain, kFailurePenaltyFactor)
                              : strain;
}

double ServerEstimate::ReportedStrain(base::Instant now) const {
  if (reported_strain_ <= 1)
    return 1;
  const Seconds age = now - strain_reported_at_;
  return 1 + (reported_strain_ - 1) * std::exp2(-(age / kStrainHalfLife));
}

double ServerEstimate::UsableSlots(int slots, base::Instant now) const {
  // A node may lower the limit of its server, but not raise it.
  const int usable = limit_ > 0 ? std::min(limit_, slots) : slots;
  if (!warm_up_since_)
    return usable;
  const double warm = (now - *warm_up_since_) / kWarmUpTime;
  return usable * std::clamp(warm, kInitialSlotShare, 1.0);
}

double ServerEstimate::LoadFromOtherNodes(const ServiceEstimate& service,
                                          base::Instant now) const {
  const double usual = service.typical_load_from_other_nodes();
  if (!has_report_)
    return usual;
  const Seconds age = now - reported_at_;
  const double report_weight = 1 / (1 + age / kReportHalfLife);
  return usual + (load_from_other_nodes_ - usual) * report_weight;
}

}  // namespace chestnutport::routing
