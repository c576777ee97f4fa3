// Queue of admitted attempts that wait for a slot. Start-time fair queueing
// over classes and, within a class, over tenants; within a flow, the earliest
// deadline goes first. Each class has eight times the weight of the next less
// urgent one: nearly strict priority, without starvation. Work-conserving.
#ifndef ADMISSION_FAIR_QUEUE_H_
#define ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/queued_attempt.h"
#include "admission/smoothed_mean.h"
#include "admission/traffic_shares.h"
#include "base/time.h"

namespace chestnutport::admission {

class FairQueue {
 public:
  // Class weights depend on the rank; all ranks from this one on weigh the
  // same.
  static constexpr int kLeastUrgentRank = 3;

  explicit FairQueue(const TrafficShares& shares);

  // Keeps flows and queued attempts; their weights follow the new shares.
  void SetShares(const TrafficShares& shares);

  // Returns the flow of a tenant in a class. The number of flows is bounded, so
  // that made-up tenant names cannot exhaust memory: above the bound, new
  // tenants share one flow per class.
  FlowId FlowFor(std::string_view traffic_class, std::string_view tenant);

  void Push(const QueuedAttempt& attempt);
  // Removes the next attempt to run with a rank up to `max_rank`. Returns
  // nothing if there is none.
  std::optional<QueuedAttempt> Pop(int max_rank = kLeastUrgentRank);
  // Removes an attempt whose deadline has passed. Returns nothing if there is
  // none.
  std::optional<QueuedAttempt> PopExpired(base::Instant now);
  // Removes the attempt with the latest deadline from the flow that has the
  // most queued attempts relative to its weight.
  std::optional<QueuedAttempt> PopMostOverShare();
  // Returns whether the attempt was queued.
  bool Remove(const base::AttemptId& attempt);

  // Records the service time of a request of the flow.
  void OnServed(FlowId flow, base::Duration service_time);
  // Returns how many queued requests would run before one that is pushed to the
  // flow now.
  double RequestsAhead(FlowId flow) const;

  // Returns the urgency rank of the flow's class; 0 is the most urgent.
  int RankOf(FlowId flow) const;
  // Returns whether any attempt of this rank or a more urgent one is queued.
  bool HasQueuedUpTo(int rank) const;

  size_t size() const { return size_; }
  size_t flows() const { return flows_.size(); }

 private:
  // Smoothing factor of the mean cost.
  static constexpr double kCostGain = 0.05;

  // The start tag of a class or flow in virtual time, and its weight.
  struct Tag {
    double start = 0;
    double weight = 1;
  };
  struct FlowState {
    std::string tenant;
    size_t traffic_class = 0;
    Tag tag;
    // Server time per request in seconds.
    SmoothedMean cost{kCostGain};
    std::deque<QueuedAttempt> waiting;  // Sorted by deadline.
  };
  struct ClassState {
    std::string name;
    int rank = 0;
    Tag tag;
    double virtual_time = 0;
    std::vector<FlowId> active;  // Flows with queued attempts.
    absl::flat_hash_map<std::string, FlowId> by_tenant;
  };

  size_t ClassIndex(std::string_view name) const;
  double ShareOf(std::string_view tenant) const;
  FlowId AddFlow(size_t class_index, std::string_view tenant);
  double Cost(const FlowState& flow) const;
  double Weight(const FlowState& flow) const;
  QueuedAttempt TakeAt(FlowId id, size_t position);

  std::vector<TenantShare> tenants_;
  std::vector<ClassState> classes_;  // The most urgent first.
  std::vector<FlowState> flows_;
  double virtual_time_ = 0;
  SmoothedMean mean_cost_{kCostGain};
  size_t size_ = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_FAIR_QUEUE_H_
