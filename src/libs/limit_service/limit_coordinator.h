// This node's part in the rate limits over all nodes, outside the ingress:
// takes part in the election of the allocator, is the allocator if elected, and
// carries requests for tokens and their answers. Runs on the control thread.
//
// Does nothing, in particular no store call, while no tenant has a limit.
// Decisions use the boot clock at the time of each event, since the time of the
// event loop may be old when a process was paused.
#ifndef LIMIT_SERVICE_LIMIT_COORDINATOR_H_
#define LIMIT_SERVICE_LIMIT_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "base/socket_address.h"
#include "limit_service/allocator_locator.h"
#include "limit_service/allocator_role.h"
#include "limit_service/limit_datagram.h"
#include "limit_service/limit_report.h"
#include "limits/allocator_election.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limit.h"
#include "membership/member.h"
#include "net/event_loop.h"

namespace chestnutport::limit_service {

class LimitCoordinator {
 public:
  using StoreHandler = std::function<void(const limits::StoreOperationResult&)>;

  struct Outputs {
    // Executes a store call and passes its result on, once.
    std::function<void(const limits::StoreOperation&, StoreHandler)> call_store;
    // Sends a datagram to the gossip address of another node.
    std::function<void(const base::SocketAddress& to, std::string_view payload)>
        send;
    // Tells the ingress the epoch of the allocator to ask.
    std::function<void(uint64_t epoch)> set_allocator;
    // Passes an answer on to the ingress.
    std::function<void(const limits::LimitAnswer&)> deliver;
  };

  // `loop` must outlive this object.
  LimitCoordinator(net::EventLoop& loop,
                   limits::ElectionOptions options,
                   Outputs outputs);
  ~LimitCoordinator();
  LimitCoordinator(const LimitCoordinator&) = delete;
  LimitCoordinator& operator=(const LimitCoordinator&) = delete;

  // Call before the other functions; `self` has its gossip address.
  void Start(const membership::Member& self);
  // Sets the tenants that have a limit. The parts that nodes hold of unchanged
  // tenants are kept.
  void SetLimits(std::vector<limits::TenantLimit> limits);
  // Sets the members, including this node.
  void SetMembers(const std::vector<membership::Member>& members);
  // Sends a request of this node's ingress to the allocator.
  void Ask(limits::LimitRequest request);
  void OnDatagram(const base::SocketAddress& from, std::string_view payload);
  // Gives up authority because this node stops. It may still ask others.
  void HandOver();

  LimitReport Report();
  // Whether this node divides the limits.
  bool IsAllocator() const { return IsOn() && role_.is_active(); }

 private:
  struct Candidate {
    base::SocketAddress address;
    limits::ElectionMember member;
  };

  bool IsOn() const { return election_ != nullptr; }
  void StartElection();
  // Ends the election once this node has handed over, because there are no
  // limits. Starts another one if there are some again.
  void EndElection();
  void PassMembers();

  // Brings everything up to date after an event.
  void Update();
  void UpdateOnce(base::BootInstant now);
  void CallStore(base::BootInstant now);
  void OnStoreResult(const limits::StoreOperationResult& result);
  void Announce(base::BootInstant now);
  void DropAbsent(base::BootInstant now);
  void Inquire(base::BootInstant now);
  void Schedule(base::BootInstant now);
  std::optional<base::BootInstant> NextDue(base::BootInstant now) const;

  void OnRequest(const base::SocketAddress& from, std::string_view message);
  void OnAnswer(std::string_view message);
  void OnNotice(std::string_view message);
  void OnInquiry(const base::SocketAddress& from, std::string_view message);
  void OnHandOver(std::string_view message);
  // Adopts an allocator with a higher epoch or the known one.
  void Adopt(const limits::AllocatorNotice& notice);
  // Tells `to` who the allocator is, if it is a later one than that of `epoch`.
  void TellAllocator(const base::SocketAddress& to, uint64_t epoch);
  void Deliver(const limits::LimitAnswer& answer);
  void Send(const base::SocketAddress& to,
            LimitDatagramKind kind,
            const std::string& message);
  // Sends to the first members in duty order.
  void SendToMembers(LimitDatagramKind kind,
                     const std::string& message,
                     size_t most);

  net::EventLoop& loop_;
  limits::ElectionOptions options_;
  Outputs outputs_;
  base::NodeId self_;
  base::SocketAddress address_;
  bool is_stopping_ = false;  // The process ends.
  bool is_ending_ = false;    // The limits were removed: the election ends.
  std::vector<limits::TenantLimit> limits_;
  std::vector<Candidate> candidates_;  // In duty order, including this node.
  // Null while this part is off. The number tells the results of earlier
  // elections apart.
  std::unique_ptr<limits::AllocatorElection> election_;
  uint64_t election_number_ = 0;
  AllocatorRole role_;
  AllocatorLocator locator_;
  uint64_t published_epoch_ = 0;
  // The epoch whose allocator has told that it stops.
  uint64_t handed_over_epoch_ = 0;
  base::BootInstant announce_at_;
  bool was_at_risk_ = false;  // At the last announcement.
  bool is_updating_ = false;
  bool must_update_again_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_LIMIT_COORDINATOR_H_
