#include "routing/recent_strain.h"

#include <algorithm>

namespace chestnutport::routing {
namespace {

// The usual strain is the report at this fraction (1/N) of the sorted reports.
constexpr size_t kUsualRankDivisor = 8;

}  // namespace

void RecentStrain::OnReport(double strain) {
  reports_[count_ % kMaxReports] = strain;
  ++count_;
  auto sorted = reports_;
  const size_t held = std::min(count_, kMaxReports);
  const auto usual = sorted.begin() + held / kUsualRankDivisor;
  std::nth_element(sorted.begin(), usual, sorted.begin() + held);
  usual_ = std::max(1.0, *usual);
}

}  // namespace chestnutport::routing
