// Checks that the tables in the documentation match those in the code. If
// CHESTNUTPORT_WRITE_DOCS is set, the test rewrites them instead.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/error_kind.h"
#include "settings/node_settings.h"
#include "source_tree.h"
#include "telemetry/event.h"
#include "telemetry/metric.h"

namespace chestnutport::test {
namespace {

constexpr char kTableBegin[] = "<!-- table begins -->\n";
constexpr char kTableEnd[] = "<!-- table ends -->\n";

std::string EventRows() {
  std::ostringstream rows;
  rows << "| number | name | level | meaning | what to do |\n"
          "| --- | --- | --- | --- | --- |\n";
  for (const auto& row : telemetry::EventTable()) {
    rows << "| " << static_cast<int>(row.event) << " | " << row.name << " | "
         << ToString(row.level) << " | " << row.meaning << " | " << row.action
         << " |\n";
  }
  return rows.str();
}

std::string ErrorRows() {
  std::ostringstream rows;
  rows << "| error | status | outcome | Retry-After | event | meaning |\n"
          "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : base::ErrorTable()) {
    const auto seconds = row.retry_after.count();
    rows << "| " << row.name << " | " << row.http_status << " | "
         << ToString(row.outcome) << " | "
         << (seconds ? std::to_string(seconds) + " s" : "-") << " | "
         << (row.event ? std::to_string(row.event) : "-") << " | " << row.text
         << " |\n";
  }
  return rows.str();
}

std::string MetricRows() {
  std::ostringstream rows;
  rows << "| metric | type | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& row : telemetry::MetricTable()) {
    rows << "| " << row.name << " | " << ToString(row.type) << " | "
         << (row.labels.empty() ? "-" : row.labels) << " | " << row.help
         << " |\n";
  }
  return rows.str();
}

void CheckTable(const std::string& page, const std::string& rows) {
  const auto path = SourceFolder() / "docs" / page;
  const std::string text = ReadFile(path);
  const size_t begin = text.find(kTableBegin);
  const size_t end = text.find(kTableEnd);
  REQUIRE(begin != std::string::npos);
  REQUIRE(end != std::string::npos);
  const size_t first = begin + sizeof(kTableBegin) - 1;
  if (std::getenv("CHESTNUTPORT_WRITE_DOCS")) {
    std::ofstream(path) << text.substr(0, first) << rows << text.substr(end);
    return;
  }
  CHECK(text.substr(first, end - first) == rows);
}

TEST_CASE("the tables in the pages match the code") {
  CheckTable("EVENTS.md", EventRows());
  CheckTable("ERRORS.md", ErrorRows());
  CheckTable("METRICS.md", MetricRows());
  CheckTable("SETTINGS.md", settings::SettingsTable());
}

TEST_CASE("each error names an event that exists") {
  for (const auto& error : base::ErrorTable()) {
    const auto event = static_cast<telemetry::Event>(error.event);
    if (error.event != 0)
      CHECK(telemetry::Describe(event).event == event);
  }
}

}  // namespace
}  // namespace chestnutport::test
