#include "limit_service/allocator_locator.h"

#include <algorithm>
#include <utility>

namespace chestnutport::limit_service {

void AllocatorLocator::SetCandidates(
    std::vector<base::SocketAddress> candidates) {
  candidates_ = std::move(candidates);
}

bool AllocatorLocator::OnNotice(const limits::AllocatorNotice& notice) {
  if (known_ && notice.epoch < known_->epoch)
    return false;
  if (!known_ || notice.epoch > known_->epoch) {
    OnAnswered();
    next_candidate_ = 0;
  }
  known_ = notice;
  return true;
}

void AllocatorLocator::OnAsked(base::BootInstant now) {
  if (unanswered_++ == 0)
    unanswered_since_ = now;
}

void AllocatorLocator::OnAnswered() {
  unanswered_ = 0;
}

std::vector<base::SocketAddress> AllocatorLocator::InquiriesDue(
    bool is_needed,
    base::BootInstant now) {
  const auto due = NextDue(is_needed);
  if (!due || *due > now || candidates_.empty())
    return {};
  inquired_at_ = now;
  std::vector<base::SocketAddress> asked;
  const size_t count = std::min(kInquiries, candidates_.size());
  for (size_t i = 0; i < count; ++i)
    asked.push_back(candidates_[next_candidate_++ % candidates_.size()]);
  return asked;
}

std::optional<base::BootInstant> AllocatorLocator::NextDue(
    bool is_needed) const {
  const base::BootInstant next_round = inquired_at_ + kInquiryInterval;
  if (known_ && IsUnanswered())
    return std::max(next_round, unanswered_since_ + kAnswerTime);
  if (!known_ && is_needed)
    return next_round;
  return std::nullopt;
}

}  // namespace chestnutport::limit_service
