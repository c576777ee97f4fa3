// Estimates the state of one server from the requests that this node sent to it
// and the load reports in the answers.
#ifndef ROUTING_SERVER_ESTIMATE_H_
#define ROUTING_SERVER_ESTIMATE_H_

#include <optional>

#include "base/time.h"
#include "routing/attempt_result.h"
#include "routing/service_estimate.h"

namespace chestnutport::routing {

class ServerEstimate {
 public:
  // Starts the warm-up of a new server, which may be cold: its usable slots
  // increase gradually.
  void StartWarmUp(base::Instant now) { warm_up_since_ = now; }

  void OnSent(base::Instant now);
  void OnEnded(const AttemptResult& result,
               int slots,
               ServiceEstimate& service,
               base::Instant now);

  // Returns the expected time to the answer of one more request, without the
  // network round trip.
  Seconds ExpectedTime(int slots,
                       const ServiceEstimate& service,
                       base::Instant now) const;

  // Returns the load with one more request: the number of requests at the
  // server as a multiple of its usable slots.
  double Load(int slots,
              const ServiceEstimate& service,
              base::Instant now) const;
  // Returns the estimated time of an answer relative to the service's usual
  // time.
  double Strain(const ServiceEstimate& service, base::Instant now) const;

  // Returns the number of requests from this node in flight.
  int own_in_flight() const { return own_in_flight_; }

 private:
  void OnRefused(const AttemptResult& result, base::Instant now);
  void UpdateLatency(Seconds latency,
                     double weight,
                     const ServiceEstimate& service,
                     base::Instant now);
  // Returns the observed latency relative to the typical one; at least 1.
  double Slowness(const ServiceEstimate& service, base::Instant now) const;
  double DecayedSlowness(const ServiceEstimate& service,
                         base::Instant now) const;
  double SilencePenalty(const ServiceEstimate& service,
                        base::Instant now) const;
  void OnReport(const wire::LoadReport& load,
                int slots,
                ServiceEstimate& service,
                base::Instant now);
  // Returns the strain that the server's node reported, decayed by its age.
  double ReportedStrain(base::Instant now) const;
  double UsableSlots(int slots, base::Instant now) const;
  double LoadFromOtherNodes(const ServiceEstimate& service,
                            base::Instant now) const;

  std::optional<base::Instant> warm_up_since_;
  int own_in_flight_ = 0;
  // Time of the last response, or of the first send after an idle period.
  base::Instant silent_since_{};
  Seconds latency_{0};  // Failures count as long latencies. Zero if unknown.
  base::Instant latency_updated_at_{};
  int consecutive_slow_ = 0;
  base::Instant avoided_until_{};
  // From the last load report.
  base::Instant reported_at_{};
  bool has_report_ = false;
  double load_from_other_nodes_ = 0;  // As a share of the slots.
  int limit_ = 0;
  double reported_strain_ = 1;
  base::Instant strain_reported_at_{};  // Of the last report with a strain.
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_ESTIMATE_H_
