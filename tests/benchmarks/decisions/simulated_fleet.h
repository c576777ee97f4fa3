// Simulates a fleet in virtual time: its servers, the network between the VMs,
// the membership, and the faults of a condition.
#ifndef DECISIONS_SIMULATED_FLEET_H_
#define DECISIONS_SIMULATED_FLEET_H_

#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "decisions/condition.h"
#include "decisions/event_queue.h"
#include "decisions/fleet_shape.h"
#include "decisions/simulated_server.h"

namespace chestnutport::bench {

class SimulatedFleet {
 public:
  // Called when the membership changes.
  using OnMembersChanged = std::function<void()>;
  // Called when a new node starts on a VM.
  using OnNodeStarted = std::function<void(int vm)>;

  SimulatedFleet(const FleetShape& shape,
                 const Condition& condition,
                 uint64_t seed);

  // Starts the servers and schedules the faults.
  void Start(OnMembersChanged on_members, OnNodeStarted on_node_started);

  EventQueue& queue() { return queue_; }
  const EventQueue& queue() const { return queue_; }
  const FleetShape& shape() const { return shape_; }
  const Condition& condition() const { return condition_; }

  int vms() const { return static_cast<int>(current_.size()); }
  // Whether the VM's node accepts new requests from callers and servers.
  bool IsTakingCallers(int vm) const;
  SimulatedServer& ServerOf(int vm) { return *current_[vm]; }
  SimulatedServer* Find(base::NodeId node) const;
  std::vector<routing::ServerCandidate> Candidates(int service) const;
  // Returns the one-way network delay.
  base::Duration Distance(int vm, int other_vm) const;
  int service_slots(int service) const;

 private:
  SimulatedServer& StartNode(int vm);
  void ScheduleCondition();
  void ScheduleAlternatingSlowdown();
  // `share`: the stated rate limit relative to the usual rate of the server.
  void ScheduleRateLimit(SimulatedServer& server, double share);
  // The server states the limit from now on; the members learn it later.
  void SetRateLimit(SimulatedServer& server, std::optional<double> rate);
  void ScheduleUpgrade();
  void UpgradeOne(int vm, base::Instant when);
  void ScheduleLoss();
  void RestartCold(int vm);
  void Announce(SimulatedServer& server, routing::ServerState state);
  void RemoveMember(base::NodeId node);
  std::string DataCentreOf(int vm) const;

  FleetShape shape_;
  Condition condition_;
  base::Random random_;
  EventQueue queue_;
  OnMembersChanged on_members_;
  OnNodeStarted on_node_started_;
  std::vector<int> service_of_vm_;
  std::vector<SimulatedServer*> current_;
  std::vector<std::unique_ptr<SimulatedServer>> servers_;
  absl::flat_hash_map<base::NodeId, SimulatedServer*> by_id_;
  std::vector<base::NodeId> members_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SIMULATED_FLEET_H_
