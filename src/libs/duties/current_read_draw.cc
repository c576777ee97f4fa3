#include "duties/current_read_draw.h"

#include <algorithm>
#include <random>

namespace chestnutport::duties {

bool CurrentReadDraw::Draw(base::Random& random) const {
  return std::uniform_real_distribution<>(0, 1)(random) < probability_;
}

void CurrentReadDraw::OnStaleResponse() {
  probability_ = std::min(1.0, 2 * probability_);
}

}  // namespace chestnutport::duties
