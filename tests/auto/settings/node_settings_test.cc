// The settings of a node: each is checked, and all problems are told.
#include "settings/node_settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace chestnutport::settings {
namespace {

constexpr char kGood[] =
    "[node]\nname = a\ndata_centre = poa-a\nregion = south\nfleet = test\n"
    "[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\n"
    "control = 127.0.0.1:3\noperator = 127.0.0.1:4\nserver = 127.0.0.1:5\n"
    "gossip = 127.0.0.1:6\n[store]\naddresses = 127.0.0.1:7, 127.0.0.1:8\n"
    "[keys]\npeer = 0123456789abcdef\n[operators]\nalice = token-token-token\n";

Problems Check(const std::string& line, const std::string& other) {
  std::string text = kGood;
  text.replace(text.find(line), line.size(), other);
  Problems problems;
  ParseNodeSettings("f", text, problems);
  return problems;
}

TEST_CASE("good settings are taken") {
  Problems problems;
  const NodeSettings settings = ParseNodeSettings("f", kGood, problems);
  CHECK(problems.empty());
  CHECK(settings.store.size() == 2);
  CHECK(settings.operator_tokens.at("alice") == "token-token-token");
  CHECK(settings.stop_grace == std::chrono::seconds(30));
}

TEST_CASE("a wrong setting is told with its line, and no secret is shown") {
  struct Row {
    const char* line;
    const char* other;
    const char* told;
  };
  const std::vector<Row> rows = {
      {"name = a", "name = A", "f:2: [node] name = A: accepted: 1 to 64"},
      {"name = a", "nam = a", "f:2: [node] nam = a: accepted: a known key"},
      {"fleet = test", "stop_grace = 30", "stop_grace = 30: accepted: up to"},
      {"127.0.0.1:3", "localhost:3",
       "control = localhost:3: accepted: an IPv4"},
      {"127.0.0.1:7,", "127.0.0.1:7;", "addresses = 127.0.0.1:7; 127.0.0.1:8"},
      {"0123456789abcdef", "hush", "f:16: [keys] peer = (hidden): accepted"},
      {"token-token-token", "hush", "f:18: [operators] alice = (hidden)"},
  };
  for (const Row& row : rows) {
    INFO(row.other);
    const Problems problems = Check(row.line, row.other);
    REQUIRE_FALSE(problems.empty());
    bool told = false;
    for (const Problem& problem : problems) {
      told = told || problem.ToString().find(row.told) != std::string::npos;
      CHECK(problem.ToString().find("hush") == std::string::npos);
    }
    CHECK(told);
  }
}

// A platform that fills in the settings may state any number.
TEST_CASE("numbers may be fractions") {
  Problems problems;
  const NodeSettings settings = ParseNodeSettings(
      "f",
      std::string(kGood) +
          "[retries]\nshare = 0.25\nburst = 37.61904761904762\n"
          "[cold_servers]\nrate_factor = 1.5\nburst = 7.5\n"
          "[tenants]\nrevocation_time = 2.5s\nlimit_lease = 1500ms\n"
          "[link]\nrate = 11.5\n[memory]\nlimit = 260.0\n",
      problems);
  CHECK(problems.empty());
  CHECK(settings.fleet_retry_burst == 37.61904761904762);
  CHECK(settings.cold_burst == 7.5);
  CHECK(settings.revocation_time == std::chrono::milliseconds(2500));
  CHECK(settings.limit_lease == std::chrono::milliseconds(1500));
  CHECK(settings.link_rate == 11.5e6);
  CHECK(settings.memory_limit == 260 * 1024 * 1024);
}

TEST_CASE("every setting that must be given is missed") {
  Problems problems;
  ParseNodeSettings("f", "", problems);
  size_t required = 0;
  for (const SettingDescription& setting : DescribeNodeSettings())
    required += setting.default_text.empty();
  CHECK(problems.size() == required);
}

TEST_CASE("docs/SETTINGS.md has a row for each setting, as the code has it") {
  const char* source = std::getenv("CHESTNUTPORT_SOURCE");
  std::stringstream page;
  page << std::ifstream(std::string(source ? source : ".") +
                        "/docs/SETTINGS.md")
              .rdbuf();
  CHECK(page.str().find(SettingsTable()) != std::string::npos);
}

}  // namespace
}  // namespace chestnutport::settings
