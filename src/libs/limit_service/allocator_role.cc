#include "limit_service/allocator_role.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"

namespace chestnutport::limit_service {

using telemetry::Event;
using telemetry::LogEvent;

void AllocatorRole::SetLimits(std::vector<limits::TenantLimit> limits,
                              base::BootInstant now) {
  limits_ = std::move(limits);
  allocator_.SetLimits(limits_, now);
}

bool AllocatorRole::Update(limits::AllocatorElection& election,
                           base::BootInstant now) {
  const auto authority = election.authority(now);
  if (!authority || authority->epoch != authority_.epoch)
    Stop();
  if (!authority)
    return false;
  const bool is_new = !is_active();
  if (is_new)
    Start(*authority, now);
  authority_ = *authority;
  allocator_.SetAuthority(authority->until, authority->renewed_at);
  LogEndOfTakeover(now);
  if (allocator_.has_roster_changed())
    election.SetRoster(allocator_.roster());
  return is_new;
}

void AllocatorRole::Start(const limits::Authority& authority,
                          base::BootInstant now) {
  allocator_.Start(authority.epoch, authority.roster, authority.takeover_until,
                   now);
  allocator_.SetLimits(limits_, now);
  was_taking_over_ = allocator_.is_taking_over(now);
  LogEvent(Event::kLimitAllocatorStarted,
           {{"epoch", absl::StrCat(authority.epoch)},
            {"takeover", was_taking_over_ ? "yes" : "no"}});
}

void AllocatorRole::LogEndOfTakeover(base::BootInstant now) {
  const bool is_taking_over = allocator_.is_taking_over(now);
  if (std::exchange(was_taking_over_, is_taking_over) && !is_taking_over) {
    LogEvent(Event::kLimitTakeoverComplete,
             {{"epoch", absl::StrCat(authority_.epoch)}});
  }
}

void AllocatorRole::OnRosterStored(const limits::Roster& roster) {
  if (is_active())
    allocator_.OnRosterStored(roster);
}

void AllocatorRole::Stop() {
  if (!is_active())
    return;
  allocator_.Stop();
  LogEvent(Event::kLimitAllocatorStopped,
           {{"epoch", absl::StrCat(authority_.epoch)}});
}

std::optional<limits::LimitAnswer> AllocatorRole::OnRequest(
    const limits::LimitRequest& request,
    base::BootInstant now) {
  auto answer = allocator_.OnRequest(request, now);
  if (answer)
    at_limit_log_.OnAnswer(*answer, now);
  return answer;
}

std::optional<base::BootInstant> AllocatorRole::NextDue(
    base::BootInstant now) const {
  if (!is_active())
    return std::nullopt;
  const bool is_taking_over =
      authority_.takeover_until && allocator_.is_taking_over(now);
  return is_taking_over ? std::min(authority_.until, *authority_.takeover_until)
                        : authority_.until;
}

}  // namespace chestnutport::limit_service
