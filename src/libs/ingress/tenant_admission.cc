#include "ingress/tenant_admission.h"

#include <algorithm>
#include <utility>

#include "ingress/tenant_limits.h"

namespace chestnutport::ingress {
namespace {

// The longest time that the limiter holds a request. A shorter deadline needs a
// timer of its own.
constexpr std::chrono::milliseconds kLongestWait(100);
constexpr std::chrono::milliseconds kMinTimer(1);

}  // namespace

TenantAdmission::TenantAdmission(net::EventLoop& loop,
                                 base::NodeId process,
                                 StartHandler start,
                                 RefuseHandler refuse)
    : loop_(loop),
      start_(std::move(start)),
      refuse_(std::move(refuse)),
      limiter_(process, {}) {}

TenantAdmission::~TenantAdmission() {
  loop_.Cancel(timer_);
  for (const auto& [id, waiting] : held_)
    loop_.Cancel(waiting.deadline_timer);
}

void TenantAdmission::SetLimits(const declarations::TenantDirectory& tenants) {
  limiter_.SetLimits(LimitsOf(tenants), base::BootClock::now());
  Run();
}

void TenantAdmission::SetAllocator(uint64_t epoch) {
  limiter_.SetAllocator(epoch, base::BootClock::now());
  Run();
}

void TenantAdmission::OnAnswer(const limits::LimitAnswer& answer) {
  limiter_.OnAnswer(answer, base::BootClock::now());
  Run();
}

void TenantAdmission::Admit(HeldRequest held) {
  const auto& account = held.request.tenant_account;
  if (!account || account->rate <= 0) {
    start_(std::move(held));
    return;
  }
  const limits::RequestId id = ++last_id_;
  const limits::Decision decision =
      limiter_.Admit(account->name, base::BootClock::now(), id);
  if (decision.kind == limits::DecisionKind::kWait) {
    Hold(id, std::move(held));
    Run();
    return;
  }
  Decide(std::move(held), decision);
  Schedule();
}

void TenantAdmission::Refund(const std::string& tenant) {
  limiter_.Refund(tenant, base::BootClock::now());
}

void TenantAdmission::Hold(limits::RequestId id, HeldRequest held) {
  held.reply.OnGone([this, id] {
    limiter_.Cancel(id);
    Release(id);
  });
  Waiting waiting;
  const base::Instant deadline = held.arrived_at + held.request.remaining;
  if (held.request.remaining < kLongestWait)
    waiting.deadline_timer =
        loop_.CallAt(deadline, [this, id] { OnDeadline(id); });
  waiting.held = std::move(held);
  held_.emplace(id, std::move(waiting));
}

void TenantAdmission::OnDeadline(limits::RequestId id) {
  limiter_.Cancel(id);
  if (auto held = Release(id)) {
    constexpr auto kError = base::ErrorKind::kDeadlineTooClose;
    refuse_(*std::move(held), kError, base::AnswerTo(kError).retry_after);
  }
}

std::optional<HeldRequest> TenantAdmission::Release(limits::RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end())
    return std::nullopt;
  loop_.Cancel(found->second.deadline_timer);
  std::optional<HeldRequest> held = std::move(found->second.held);
  held_.erase(found);
  held->reply.OnGone(nullptr);
  return held;
}

void TenantAdmission::Decide(HeldRequest held,
                             const limits::Decision& decision) {
  switch (decision.kind) {
    case limits::DecisionKind::kAdmitted:
      held.has_token = true;
      start_(std::move(held));
      return;
    case limits::DecisionKind::kRejected:
      refuse_(std::move(held), base::ErrorKind::kRateLimited,
              decision.retry_after);
      return;
    case limits::DecisionKind::kUnknown:
    case limits::DecisionKind::kWait:
      refuse_(std::move(held), base::ErrorKind::kRateLimitUnknown,
              decision.retry_after);
      return;
  }
}

void TenantAdmission::Run() {
  const base::BootInstant now = base::BootClock::now();
  auto requests = limiter_.RequestsDue(now);
  if (!requests.empty() && ask_)
    ask_(std::move(requests));
  for (const limits::ReadyRequest& ready : limiter_.TakeReady(now)) {
    if (auto held = Release(ready.id))
      Decide(*std::move(held), ready.decision);
  }
  Schedule();
}

void TenantAdmission::Schedule() {
  const auto due = limiter_.NextDue();
  // A timer that fires too early costs less than one set for each request.
  if (!due || (timer_ != 0 && timer_due_ <= *due))
    return;
  loop_.Cancel(timer_);
  timer_due_ = *due;
  const auto delay = std::max<std::chrono::nanoseconds>(
      *due - base::BootClock::now(), kMinTimer);
  timer_ = loop_.CallAfter(delay, [this] {
    timer_ = 0;
    Run();
  });
}

}  // namespace chestnutport::ingress
