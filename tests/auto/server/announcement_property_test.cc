// Guards against a malformed announcement that is accepted or crashes the
// parser.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "server/server_announcement.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

const json kValidAnnouncement = {{"service", "dossie"},
                                 {"address", "10.0.0.9:8080"},
                                 {"zone", "a"},
                                 {"version", "v1"},
                                 {"slots", 6},
                                 {"state", "ready"},
                                 {"cold_for", "250ms"},
                                 {"sequence", 4},
                                 {"born", 1790000000000000},
                                 {"unknown", "kept"}};

const std::vector<std::string> kParsedFields = {"service",  "address",  "slots",
                                                "zone",     "version",  "state",
                                                "cold_for", "sequence", "born"};

const AnnouncementRequirements kRequirements{
    .fields = {"slots", "zone", "version", "state", "sequence", "cold_for"}};

std::optional<ServerAnnouncement> Parse(const json& body, std::string* fault) {
  return ServerAnnouncement::FromJson(body.dump(), kRequirements, fault);
}

bool IsSameType(const json& one, const json& other) {
  return one.type() == other.type() ||
         (one.is_number_integer() && other.is_number_integer());
}

TEST_CASE("a valid announcement is parsed completely") {
  std::string fault;
  const auto announcement = Parse(kValidAnnouncement, &fault);
  REQUIRE(announcement);
  CHECK(fault.empty());
  CHECK(announcement->started_at ==
        std::chrono::milliseconds(1790000000000000));
  CHECK(announcement->sequence == 4);
}

TEST_CASE("a field of the wrong type is rejected and named as the fault") {
  rc::prop("for each field", [] {
    const std::string name = *rc::gen::elementOf(kParsedFields);
    const json other = *rc::gen::elementOf(std::vector<json>{
        nullptr, true, 1.5, 7, "text", json::array({1}), json::object()});
    RC_PRE(!IsSameType(kValidAnnouncement[name], other));
    json body = kValidAnnouncement;
    body[name] = other;
    std::string fault;
    RC_ASSERT(!Parse(body, &fault));
    RC_ASSERT(fault == name);
  });
}

TEST_CASE("a required field that is missing is named as the fault") {
  const std::string name = GENERATE("service", "address", "slots", "zone",
                                    "version", "state", "sequence", "cold_for");
  json body = kValidAnnouncement;
  body.erase(name);
  std::string fault;
  CHECK_FALSE(Parse(body, &fault));
  CHECK(fault == name);
}

TEST_CASE("a field with an invalid value is rejected and named as the fault") {
  const auto [name, value] =
      GENERATE(table<std::string, json>({{"service", ""},
                                         {"address", "there"},
                                         {"address", "10.0.0.9"},
                                         {"slots", 0},
                                         {"slots", -3},
                                         {"slots", 10000000},
                                         {"state", "resting"},
                                         {"state", ""},
                                         {"cold_for", "long"},
                                         {"sequence", -1},
                                         {"born", -5},
                                         {"born", 1.0}}));
  json body = kValidAnnouncement;
  body[name] = value;
  std::string fault;
  CHECK_FALSE(Parse(body, &fault));
  CHECK(fault == name);
}

TEST_CASE("truncated or altered input never crashes the parser") {
  rc::prop("for any truncation or changed byte", [] {
    std::string text = kValidAnnouncement.dump();
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>())
      text.resize(at);
    else
      text[at] = *rc::gen::arbitrary<char>();
    std::string fault;
    const auto announcement =
        ServerAnnouncement::FromJson(text, kRequirements, &fault);
    RC_ASSERT(announcement.has_value() == fault.empty());
    RC_ASSERT(!announcement ||
              (announcement->slots >= 1 && !announcement->service.empty()));
  });
}

}  // namespace
}  // namespace chestnutport::server
