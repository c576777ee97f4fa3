#include "admission/server_crash_detector.h"

#include <utility>

namespace chestnutport::admission {

using base::Instant;

void ServerCrashDetector::OnInterrupted(const InterruptedRequest& request) {
  if (interrupted_.size() < kMaxInterrupted)
    interrupted_.push_back(request);
}

void ServerCrashDetector::OnAnswer(Instant begun) {
  if (crashed_at_)
    return;
  std::erase_if(interrupted_, [begun](const InterruptedRequest& request) {
    return request.interrupted_at <= begun;
  });
}

void ServerCrashDetector::OnConnectionRefused(Instant now) {
  OnCrashDetected(now);
}

void ServerCrashDetector::OnServerRestarted(Instant now) {
  OnCrashDetected(now);
}

void ServerCrashDetector::OnCrashDetected(Instant now) {
  if (crashed_at_)
    return;
  std::erase_if(interrupted_, [now](const InterruptedRequest& request) {
    return request.interrupted_at + kRetention < now;
  });
  if (!interrupted_.empty())
    crashed_at_ = now;
}

std::optional<std::vector<InterruptedRequest>> ServerCrashDetector::TakeCrash(
    Instant now) {
  if (!crashed_at_ || now < *crashed_at_ + kCollectionTime)
    return std::nullopt;
  crashed_at_.reset();
  return std::exchange(interrupted_, {});
}

}  // namespace chestnutport::admission
