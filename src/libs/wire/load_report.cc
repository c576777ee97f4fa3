#include "wire/load_report.h"

#include <cmath>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::wire {
namespace {

constexpr int kPercent = 100;
constexpr size_t kWords = 5;

}  // namespace

std::string LoadReport::ToHeader() const {
  const auto wait =
      std::chrono::duration_cast<std::chrono::microseconds>(expected_wait);
  std::string header =
      absl::StrCat(in_flight, " ", limit, " ", queued, " ", wait.count());
  if (strain)
    absl::StrAppend(&header, " ", std::llround(*strain * kPercent));
  return header;
}

std::optional<LoadReport> LoadReport::FromHeader(std::string_view text) {
  const std::vector<std::string_view> words = base::Split(text, ' ');
  LoadReport report;
  int64_t wait = 0;
  int strain = 0;
  const bool has_strain = words.size() == kWords;
  const bool has_size = has_strain || words.size() == kWords - 1;
  if (!has_size || !base::ParseNumber(words[0], &report.in_flight) ||
      !base::ParseNumber(words[1], &report.limit) ||
      !base::ParseNumber(words[2], &report.queued) ||
      !base::ParseNumber(words[3], &wait) ||
      (has_strain && !base::ParseNumber(words[4], &strain))) {
    return std::nullopt;
  }
  if (has_strain)
    report.strain = static_cast<double>(strain) / kPercent;
  report.expected_wait = std::chrono::microseconds(wait);
  return report;
}

}  // namespace chestnutport::wire
