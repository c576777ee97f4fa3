// Takes a token of its tenant's rate limit for each request with an account,
// and holds requests that wait for one. Runs on the ingress thread.
#ifndef INGRESS_TENANT_ADMISSION_H_
#define INGRESS_TENANT_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "base/node_id.h"
#include "declarations/tenant_directory.h"
#include "ingress/held_request.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limiter.h"
#include "net/event_loop.h"

namespace chestnutport::ingress {

class TenantAdmission {
 public:
  using AskHandler = std::function<void(std::vector<limits::LimitRequest>)>;
  using StartHandler = std::function<void(HeldRequest)>;
  using RefuseHandler = std::function<
      void(HeldRequest, base::ErrorKind error, base::Duration retry_after)>;

  // `loop` must outlive this object. `process` is this node. `start` and
  // `refuse` receive each request that was admitted or refused.
  TenantAdmission(net::EventLoop& loop,
                  base::NodeId process,
                  StartHandler start,
                  RefuseHandler refuse);
  ~TenantAdmission();
  TenantAdmission(const TenantAdmission&) = delete;
  TenantAdmission& operator=(const TenantAdmission&) = delete;

  // Sets who sends requests for tokens to the allocator. The VM's address is
  // added there.
  void OnAsk(AskHandler ask) { ask_ = std::move(ask); }
  void SetLimits(const declarations::TenantDirectory& tenants);
  void SetAllocator(uint64_t epoch);
  void OnAnswer(const limits::LimitAnswer& answer);

  // Starts or refuses the request, now or within 100 ms. A request without an
  // account is started now: it is public, a nested call, or there are no
  // tenants.
  void Admit(HeldRequest held);
  // Returns the token of a request of `tenant` that certainly did not run.
  void Refund(const std::string& tenant);

  std::vector<limits::TenantLimiterView> View() {
    return limiter_.View(base::BootClock::now());
  }
  // Requests that wait for a token.
  size_t waiting() const { return held_.size(); }

 private:
  struct Waiting {
    HeldRequest held;
    net::EventLoop::TimerId deadline_timer = 0;
  };

  void Hold(limits::RequestId id, HeldRequest held);
  void OnDeadline(limits::RequestId id);
  // Removes a waiting request, whose caller is no longer watched.
  std::optional<HeldRequest> Release(limits::RequestId id);
  void Decide(HeldRequest held, const limits::Decision& decision);
  // Asks the allocator if that is due, and decides on waiting requests.
  void Run();
  void Schedule();

  net::EventLoop& loop_;
  StartHandler start_;
  RefuseHandler refuse_;
  AskHandler ask_;
  limits::TenantLimiter limiter_;
  limits::RequestId last_id_ = 0;
  absl::flat_hash_map<limits::RequestId, Waiting> held_;
  net::EventLoop::TimerId timer_ = 0;
  base::BootInstant timer_due_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_TENANT_ADMISSION_H_
