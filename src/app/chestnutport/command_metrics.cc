#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

constexpr double kBarLength = 50;

// Returns a duration such as "3.4ms", with three significant digits.
std::string DurationText(double seconds) {
  if (seconds < 1e-3)
    return absl::StrFormat("%.3gus", seconds * 1e6);
  if (seconds < 1)
    return absl::StrFormat("%.3gms", seconds * 1e3);
  return absl::StrFormat("%.3gs", seconds);
}

std::string Quantile(const json& row, const char* name, const char* field) {
  return absl::StrCat("  ", name, " ",
                      DurationText(row.at(field).get<double>()));
}

// Prints a line per bucket: its upper bound, a bar and the count.
void PrintBars(const json& buckets) {
  uint64_t max_count = 1;
  for (const json& bucket : buckets)
    max_count = std::max(max_count, bucket.at(1).get<uint64_t>());
  for (const json& bucket : buckets) {
    const auto count = bucket.at(1).get<uint64_t>();
    const std::string end = bucket.at(0).is_null()
                                ? "more"
                                : DurationText(bucket.at(0).get<double>());
    const double share =
        static_cast<double>(count) / static_cast<double>(max_count);
    const auto length =
        std::max<size_t>(1, static_cast<size_t>(share * kBarLength));
    std::cout << absl::StreamFormat("  %8s %s %d\n", end,
                                    std::string(length, '#'), count);
  }
}

void PrintHistogram(const json& row) {
  std::cout << row.at("metric").get<std::string>()
            << "  service=" << row.at("service").get<std::string>()
            << " tenant=" << row.at("tenant").get<std::string>()
            << " class=" << row.at("class").get<std::string>() << "\n  count "
            << row.at("count") << Quantile(row, "p50", "p50_seconds")
            << Quantile(row, "p90", "p90_seconds")
            << Quantile(row, "p99", "p99_seconds")
            << Quantile(row, "p99.9", "p999_seconds") << "\n";
  PrintBars(row.at("buckets"));
  std::cout << "\n";
}

}  // namespace

ExitCode Metrics(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("metrics");
    return kExitUsage;
  }
  const ApiAnswer answer =
      CallApi(context, "GET",
              absl::StrCat("/v1/metrics?format=json&service=", context.service,
                           "&tenant=", context.tenant),
              "");
  if (PrintJsonOrError(context, answer))
    return answer.exit_code;
  for (const json& row : answer.body.at("histograms"))
    PrintHistogram(row);
  std::cout << Table({{"COUNT", "metric"},
                      {"SERVICE", "service"},
                      {"TENANT", "tenant"},
                      {"CLASS", "class"},
                      {"OF", "label"},
                      {"VALUE", "value"}},
                     answer.body.at("counts"));
  return answer.exit_code;
}

}  // namespace chestnutport::cli
