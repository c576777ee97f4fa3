#include "admission/server_end_watch.h"

#include <utility>

namespace chestnutport::admission {

using base::Instant;

void ServerEndWatch::OnBroken(const BrokenRequest& request) {
  if (broken_.size() < kMostBroken)
    broken_.push_back(request);
}

void ServerEndWatch::OnAnswer(Instant begun) {
  if (ended_at_)
    return;
  std::erase_if(broken_, [begun](const BrokenRequest& request) {
    return request.broken_at <= begun;
  });
}

void ServerEndWatch::OnRefused(Instant now) {
  OnEnded(now);
}

void ServerEndWatch::OnStarted(Instant now) {
  OnEnded(now);
}

void ServerEndWatch::OnEnded(Instant now) {
  if (ended_at_)
    return;
  std::erase_if(broken_, [now](const BrokenRequest& request) {
    return request.broken_at + kMemory < now;
  });
  if (!broken_.empty())
    ended_at_ = now;
}

std::optional<std::vector<BrokenRequest>> ServerEndWatch::TakeCrash(
    Instant now) {
  if (!ended_at_ || now < *ended_at_ + kSettle)
    return std::nullopt;
  ended_at_.reset();
  return std::exchange(broken_, {});
}

}  // namespace chestnutport::admission
