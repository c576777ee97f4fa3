#include "server/start_confirmation.h"

namespace chestnutport::server {
namespace {

// Announcements that were delayed together arrive within this time. Those of a
// running server are one or two seconds apart.
constexpr std::chrono::milliseconds kMinConfirmationDelay(500);

}  // namespace

void StartConfirmation::OnAnnounced(const ServerAnnouncement& announcement,
                                    base::Instant now) {
  const bool is_same = first_ && first_->instance == announcement.instance &&
                       first_->started_at == announcement.started_at;
  if (!is_same) {
    first_ = announcement;
    first_at_ = now;
  }
  last_ = announcement;
  last_at_ = now;
}

void StartConfirmation::OnRejected() {
  healthy_.reset();
  first_.reset();
  last_.reset();
}

std::optional<ServerAnnouncement> StartConfirmation::Confirmed() const {
  if (departures_ == Departures::kReading)
    return std::nullopt;
  const bool has_evidence =
      !needs_evidence_ || IsAnnouncedTwice() || (last_ && IsHealthy());
  if (last_ && has_evidence)
    return last_;
  const bool is_found = departures_ == Departures::kKnown || !needs_evidence_;
  return is_found ? healthy_ : std::nullopt;
}

bool StartConfirmation::IsAnnouncedTwice() const {
  return first_ && last_->sequence > first_->sequence &&
         last_at_ - first_at_ >= kMinConfirmationDelay;
}

bool StartConfirmation::IsHealthy() const {
  return healthy_ && healthy_->instance == last_->instance;
}

}  // namespace chestnutport::server
