#include "calls/retry_budget.h"

#include <algorithm>

namespace chestnutport::calls {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share), burst_(burst), tokens_(burst) {}

RetryBudget RetryBudget::Empty(double share, double burst) {
  RetryBudget budget(share, burst);
  budget.tokens_ = 0;
  return budget;
}

void RetryBudget::set_burst(double burst) {
  burst_ = burst;
  tokens_ = std::min(tokens_, burst_);
}

void RetryBudget::OnCall() {
  tokens_ = std::min(burst_, tokens_ + share_);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace chestnutport::calls
