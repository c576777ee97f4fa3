#include "routing/server_estimate.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::routing {
namespace {

// A report counts half after so long.
constexpr Seconds kReportHalfLife(0.02);
// The weight of one report against those before: a report may be older than it
// seems, and every node that believes it follows it.
constexpr double kReportWeight = 0.15;
// What a full server's load adds to an answer before anything has to wait: a
// share of the usual latency, and a time. It keeps loads even, and keeps
// requests of short work from filling a near server to the brim while others
// do not know of it.
constexpr double kPressureWeight = 0.5;
constexpr Seconds kLeastPressure(0.008);

// A reported slowness counts half after so long: spells of a busy neighbour on
// a VM last some 300 ms, and the report tells nothing of when one began.
constexpr Seconds kSpellHalfLife(0.15);

// A new server counts as having this share of its slots, then all of them
// after the warm-up.
constexpr double kColdShare = 0.5;
constexpr Seconds kWarmUp(0.3);
// What having to wait at all adds, as a share of the usual latency: how long
// the requests ahead hold their slots is not known, least of all if they wait
// for calls of their own.
constexpr double kAnyWait = 0.5;

// A server that refuses is left alone for a moment; for longer if it had room,
// as it is leaving then.
constexpr std::chrono::milliseconds kRefusesAtLimit(5);
constexpr std::chrono::milliseconds kRefusesWithRoom(200);

// The weight of one answer in a server's latency, and of a lost attempt.
constexpr double kAnswerWeight = 0.3;
constexpr double kLossWeight = 0.5;
// Times the usual latency.
constexpr double kFailureCountsAs = 10;
constexpr double kMostSlowness = 20;
// Slowness below this is the usual spread of the work.
constexpr double kUsualSpread = 1.5;
// Without further answers, half of a server's slowness is forgotten after so
// long, so that it is tried again. It doubles with each slow answer in a row:
// a server that was slow for a moment is back at once, a straggler is not.
constexpr Seconds kFirstHalfLife(0.02);
constexpr int kMostInARow = 6;
// Times the usual latency without an answer, with something in flight.
constexpr double kUsualSilence = 3;

}  // namespace

void ServerEstimate::OnSent(base::Instant now) {
  if (in_flight_here_ == 0)
    silent_since_ = now;
  ++in_flight_here_;
}

void ServerEstimate::OnEnded(const AttemptResult& result,
                             int slots,
                             ServiceEstimate& service,
                             base::Instant now) {
  in_flight_here_ = std::max(0, in_flight_here_ - 1);
  if (result.load)
    OnReport(*result.load, slots, service, now);
  const Seconds latency = result.latency;
  const Seconds failure = service.typical_latency() * kFailureCountsAs;
  switch (result.verdict) {
    case AttemptVerdict::kAnswered:
      silent_since_ = now;
      service.OnAnswer(latency);
      OnLatency(latency, kAnswerWeight, service, now);
      return;
    case AttemptVerdict::kFailed:
      silent_since_ = now;
      OnLatency(std::max(latency, failure), kAnswerWeight, service, now);
      return;
    case AttemptVerdict::kRefused:
      silent_since_ = now;
      OnRefused(result, now);
      return;
    case AttemptVerdict::kUnreachable:
      OnLatency(std::max(latency, failure), kLossWeight, service, now);
      return;
    case AttemptVerdict::kCancelled:
      // It took at least so long.
      if (latency > latency_)
        OnLatency(latency, kAnswerWeight, service, now);
      return;
  }
}

void ServerEstimate::OnRefused(const AttemptResult& result, base::Instant now) {
  const auto& load = result.load;
  // A slow server hands work back though it has room: its report says enough.
  const bool had_room = load && load->in_flight < load->limit &&
                        load->strain.value_or(1) < kUsualSpread;
  refusing_until_ = now + (had_room ? kRefusesWithRoom : kRefusesAtLimit);
}

void ServerEstimate::OnLatency(Seconds latency,
                               double weight,
                               const ServiceEstimate& service,
                               base::Instant now) {
  const Seconds before =
      service.typical_latency() * RememberedSlowness(service, now);
  const Seconds known = latency_ > Seconds::zero() ? std::min(latency_, before)
                                                   : service.typical_latency();
  const Seconds bounded =
      std::min(latency, service.typical_latency() * kMostSlowness);
  latency_ = known + weight * (bounded - known);
  latency_at_ = now;
  const bool is_slow = latency > service.typical_latency() * kUsualSpread;
  slow_in_a_row_ = is_slow ? std::min(slow_in_a_row_ + 1, kMostInARow) : 0;
}

double ServerEstimate::Slowness(const ServiceEstimate& service,
                                base::Instant now) const {
  const double slowness = RememberedSlowness(service, now);
  // What is left is forgotten at last, or the server would be starved.
  return slowness < kUsualSpread ? 1 : slowness;
}

double ServerEstimate::RememberedSlowness(const ServiceEstimate& service,
                                          base::Instant now) const {
  const double seen = latency_ / service.typical_latency();
  if (seen <= 1)
    return 1;
  const Seconds age = now - latency_at_;
  const Seconds half_life = kFirstHalfLife * (1 << slow_in_a_row_);
  return 1 + (seen - 1) * std::exp2(-(age / half_life));
}

double ServerEstimate::Silence(const ServiceEstimate& service,
                               base::Instant now) const {
  if (in_flight_here_ == 0)
    return 0;
  const Seconds silent = now - silent_since_;
  const double usual = silent / service.typical_latency();
  return usual < kUsualSilence ? 0 : usual;
}

void ServerEstimate::OnReport(const wire::LoadReport& load,
                              int slots,
                              ServiceEstimate& service,
                              base::Instant now) {
  const int others = load.in_flight + load.queued - in_flight_here_;
  const double share = std::max(0, others) / static_cast<double>(slots);
  const double before = LoadOfOthers(service, now);
  load_of_others_ = before + kReportWeight * (share - before);
  limit_ = load.limit;
  has_report_ = true;
  reported_at_ = now;
  service.OnLoadOfOthers(share);
  if (!load.strain)
    return;
  reported_strain_ = *load.strain;
  strain_at_ = now;
  service.OnStrain(*load.strain);
}

Seconds ServerEstimate::ExpectedTime(int slots,
                                     const ServiceEstimate& service,
                                     base::Instant now) const {
  const double load = Load(slots, service, now);
  const double waiting = load > 1 ? kAnyWait + load - 1 : 0;
  const double slowness = Strain(service, now);
  const Seconds usual = service.typical_latency();
  const Seconds pressure =
      (usual * kPressureWeight + kLeastPressure) * load * load;
  return slowness * (usual * (1 + waiting) + pressure) +
         Silence(service, now) * usual;
}

double ServerEstimate::Load(int slots,
                            const ServiceEstimate& service,
                            base::Instant now) const {
  const double ahead = in_flight_here_ + LoadOfOthers(service, now) * slots;
  return (ahead + 1) / UsableSlots(slots, now);
}

double ServerEstimate::Strain(const ServiceEstimate& service,
                              base::Instant now) const {
  const double strain = std::max(Slowness(service, now), ReportedStrain(now));
  return now < refusing_until_ ? std::max(strain, kFailureCountsAs) : strain;
}

double ServerEstimate::ReportedStrain(base::Instant now) const {
  if (reported_strain_ <= 1)
    return 1;
  const Seconds age = now - strain_at_;
  return 1 + (reported_strain_ - 1) * std::exp2(-(age / kSpellHalfLife));
}

double ServerEstimate::UsableSlots(int slots, base::Instant now) const {
  // A node may lower the limit of its server; a higher one is not believed.
  const int usable = limit_ > 0 ? std::min(limit_, slots) : slots;
  if (!cold_since_)
    return usable;
  const double warm = (now - *cold_since_) / kWarmUp;
  return usable * std::clamp(warm, kColdShare, 1.0);
}

double ServerEstimate::LoadOfOthers(const ServiceEstimate& service,
                                    base::Instant now) const {
  const double usual = service.typical_load_of_others();
  if (!has_report_)
    return usual;
  const Seconds age = now - reported_at_;
  const double trust = 1 / (1 + age / kReportHalfLife);
  return usual + (load_of_others_ - usual) * trust;
}

}  // namespace chestnutport::routing
