// Announcements that another writer has spoilt.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "server/server_announcement.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

const json kGood = {{"service", "dossie"},
                    {"address", "10.0.0.9:8080"},
                    {"zone", "a"},
                    {"version", "v1"},
                    {"slots", 6},
                    {"state", "ready"},
                    {"cold_for", "250ms"},
                    {"sequence", 4},
                    {"born", 1790000000000000},
                    {"unknown", "kept"}};

const std::vector<std::string> kRead = {
    "service", "address", "slots", "state", "cold_for", "sequence", "born"};

std::optional<ServerAnnouncement> Read(const json& body, std::string* fault) {
  return ServerAnnouncement::FromJson(body.dump(), fault);
}

bool IsSameKind(const json& one, const json& other) {
  return one.type() == other.type() ||
         (one.is_number_integer() && other.is_number_integer());
}

TEST_CASE("a good announcement is read whole") {
  std::string fault;
  const auto said = Read(kGood, &fault);
  REQUIRE(said);
  CHECK(fault.empty());
  CHECK(said->started_at == std::chrono::milliseconds(1790000000000000));
  CHECK(said->sequence == 4);
}

TEST_CASE("a member of another kind names no server, and the fault names it") {
  rc::prop("for each member", [] {
    const std::string name = *rc::gen::elementOf(kRead);
    const json other = *rc::gen::elementOf(std::vector<json>{
        nullptr, true, 1.5, 7, "text", json::array({1}), json::object()});
    RC_PRE(!IsSameKind(kGood[name], other));
    json body = kGood;
    body[name] = other;
    std::string fault;
    RC_ASSERT(!Read(body, &fault));
    RC_ASSERT(fault == name);
  });
}

TEST_CASE("a value that cannot be names no server") {
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
  json body = kGood;
  body[name] = value;
  std::string fault;
  CHECK_FALSE(Read(body, &fault));
  CHECK(fault == name);
}

TEST_CASE("bytes that are cut or changed never end the reader") {
  rc::prop("whatever the bytes", [] {
    std::string text = kGood.dump();
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>())
      text.resize(at);
    else
      text[at] = *rc::gen::arbitrary<char>();
    std::string fault;
    const auto said = ServerAnnouncement::FromJson(text, &fault);
    RC_ASSERT(said.has_value() == fault.empty());
    RC_ASSERT(!said || (said->slots >= 1 && !said->service.empty()));
  });
}

}  // namespace
}  // namespace chestnutport::server
