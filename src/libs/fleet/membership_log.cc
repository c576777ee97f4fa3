#include "fleet/membership_log.h"

#include <string>
#include <utility>

#include "telemetry/log.h"

namespace chestnutport::fleet {
namespace {

using membership::MemberState;
using telemetry::Event;

constexpr int kLinesPerSecond = 10;

}  // namespace

void MembershipLog::OnChange(base::Instant now,
                             const membership::MemberChange& change) {
  const bool is_gone = change.member.state >= MemberState::kGone;
  const bool was_gone = change.before >= MemberState::kGone;
  if (is_gone == was_gone)
    return;
  if (now - second_began_ >= std::chrono::seconds(1)) {
    second_began_ = now;
    logged_ = 0;
  }
  if (logged_ == kLinesPerSecond) {
    ++omitted_;
    return;
  }
  ++logged_;
  telemetry::LogEvent(
      is_gone ? Event::kMemberGone : Event::kMemberJoined,
      {{"member", change.member.name},
       {"id", change.member.id.ToString()},
       {"data_centre", change.member.data_centre},
       {"left", change.member.state == MemberState::kLeft ? "yes" : "no"},
       {"omitted", std::to_string(std::exchange(omitted_, 0))}});
}

}  // namespace chestnutport::fleet
