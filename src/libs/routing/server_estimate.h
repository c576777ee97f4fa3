// What this node has learned of one server, from the requests that it sent
// there and the load that came back with the answers.
#ifndef ROUTING_SERVER_ESTIMATE_H_
#define ROUTING_SERVER_ESTIMATE_H_

#include <optional>

#include "base/time.h"
#include "routing/attempt_result.h"
#include "routing/service_estimate.h"

namespace chestnutport::routing {

class ServerEstimate {
 public:
  // The server is new, and may be cold: it gets its share by and by.
  void StartWarmUp(base::Instant now) { warm_up_since_ = now; }

  void OnSent(base::Instant now);
  void OnEnded(const AttemptResult& result,
               int slots,
               ServiceEstimate& service,
               base::Instant now);

  // Until an answer to one more request would be here, but for the distance.
  Seconds ExpectedTime(int slots,
                       const ServiceEstimate& service,
                       base::Instant now) const;

  // What the server would have in flight with one more, as a share of what it
  // is given at most.
  double Load(int slots,
              const ServiceEstimate& service,
              base::Instant now) const;
  // How many times longer than usual an answer takes just now, as far as is
  // known.
  double Strain(const ServiceEstimate& service, base::Instant now) const;

  // Requests sent from here and not ended.
  int own_in_flight() const { return own_in_flight_; }

 private:
  void OnRefused(const AttemptResult& result, base::Instant now);
  void UpdateLatency(Seconds latency,
                     double weight,
                     const ServiceEstimate& service,
                     base::Instant now);
  // How many times slower than usual the server seems to be; at least 1.
  double Slowness(const ServiceEstimate& service, base::Instant now) const;
  double DecayedSlowness(const ServiceEstimate& service,
                         base::Instant now) const;
  double SilencePenalty(const ServiceEstimate& service,
                        base::Instant now) const;
  void OnReport(const wire::LoadReport& load,
                int slots,
                ServiceEstimate& service,
                base::Instant now);
  // As the server's own node said, while that is recent.
  double ReportedStrain(base::Instant now) const;
  double UsableSlots(int slots, base::Instant now) const;
  double LoadFromOtherNodes(const ServiceEstimate& service,
                            base::Instant now) const;

  std::optional<base::Instant> warm_up_since_;
  int own_in_flight_ = 0;
  // Nothing was heard from the server since, though something is in flight.
  base::Instant silent_since_{};
  Seconds latency_{0};  // Failures count as long ones. Zero: not known.
  base::Instant latency_updated_at_{};
  int consecutive_slow_ = 0;
  base::Instant avoided_until_{};
  // As of the last report.
  base::Instant reported_at_{};
  bool has_report_ = false;
  double load_from_other_nodes_ = 0;  // A share of the slots.
  int limit_ = 0;
  double reported_strain_ = 1;
  base::Instant
      strain_reported_at_{};  // Of the last report that told the strain.
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_ESTIMATE_H_
