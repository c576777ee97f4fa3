// The attempts that wait for a server, in fair order: start-time fair queueing
// over classes, and within a class over tenants; within a flow the earliest
// deadline goes first. Each class has eight times the weight of the next less
// urgent one: nearly strict, yet none starves. Work-conserving.
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
  // Classes weigh by rank; from this one on all weigh the same.
  static constexpr int kLeastUrgentRank = 3;

  explicit FairQueue(const TrafficShares& shares);

  // Flows and what waits in them stay; their weights follow the new shares.
  void SetShares(const TrafficShares& shares);

  // The flow of a tenant in a class. Invented names cannot grow memory: past a
  // fixed number of flows, further tenants share one flow a class.
  FlowId FlowFor(std::string_view traffic_class, std::string_view tenant);

  void Push(const QueuedAttempt& attempt);
  // The next to run, or nothing if none waits; of ranks up to `max_rank` only.
  std::optional<QueuedAttempt> Pop(int max_rank = kLeastUrgentRank);
  // Takes out one whose deadline has passed.
  std::optional<QueuedAttempt> PopExpired(base::Instant now);
  // Takes out the latest deadline of the flow that has most waiting for its
  // share.
  std::optional<QueuedAttempt> PopMostOverShare();
  // Whether the attempt waited.
  bool Remove(const base::AttemptId& attempt);

  // Takes note of the server's time that a request of the flow took.
  void OnServed(FlowId flow, base::Duration service_time);

  // What requests of the flow take as a rule; nothing until one was served.
  std::optional<base::Duration> MeanServiceTime(FlowId flow) const;
  // What they took of late, which follows a server that turns slow or well
  // within a few requests.
  std::optional<base::Duration> RecentServiceTime(FlowId flow) const;

  // How many would run before one that is pushed to the flow now.
  double RequestsAhead(FlowId flow) const;

  // The rank of the flow's class by urgency; 0 is the most urgent.
  int RankOf(FlowId flow) const;
  // Whether anything of that rank waits, or of a more urgent one.
  bool HasQueuedUpTo(int rank) const;

  size_t size() const { return size_; }
  size_t flows() const { return flows_.size(); }

 private:
  static constexpr double kCostGain = 0.05;  // Of a sample in the mean cost.
  // Of a sample in what requests took of late: after ten, what a server did
  // before counts next to nothing.
  static constexpr double kRecentGain = 0.25;

  // A participant in fair queueing: its next start in virtual time.
  struct Tag {
    double start = 0;
    double weight = 1;
  };
  struct FlowState {
    std::string tenant;
    size_t traffic_class = 0;
    Tag tag;
    // Seconds of the server's time a request.
    SmoothedMean cost{kCostGain};
    SmoothedMean recent{kRecentGain};   // The same, of late.
    std::deque<QueuedAttempt> waiting;  // By deadline.
  };
  struct ClassState {
    std::string name;
    int rank = 0;
    Tag tag;
    double virtual_time = 0;
    std::vector<FlowId> active;  // Flows with something waiting.
    absl::flat_hash_map<std::string, FlowId> by_tenant;
  };

  size_t ClassIndex(std::string_view name) const;
  double ShareOf(std::string_view tenant) const;
  FlowId AddFlow(size_t class_index, std::string_view tenant);
  double Cost(const FlowState& flow) const;
  double Weight(const FlowState& flow) const;
  QueuedAttempt TakeAt(FlowId id, size_t position);

  std::vector<TenantShare> tenants_;
  std::vector<ClassState> classes_;  // From the most urgent on.
  std::vector<FlowState> flows_;
  double virtual_time_ = 0;
  SmoothedMean mean_cost_{kCostGain};
  size_t size_ = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_FAIR_QUEUE_H_
