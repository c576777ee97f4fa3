#include "membership/member.h"

#include <nlohmann/json.hpp>

namespace chestnutport::membership {
namespace {

using nlohmann::json;

bool ReadAddress(const json& object,
                 const char* name,
                 base::SocketAddress& address) {
  const auto parsed = base::SocketAddress::Parse(object.value(name, ""));
  if (parsed)
    address = *parsed;
  return parsed.has_value();
}

}  // namespace

std::string Member::ToJson() const {
  json object = {{"id", id.ToString()},
                 {"name", name},
                 {"data_centre", data_centre},
                 {"region", region},
                 {"gossip", gossip_address.ToString()},
                 {"peer", peer_address.ToString()},
                 {"control", control_address.ToString()},
                 {"operator", operator_address.ToString()},
                 {"incarnation", incarnation},
                 {"state", static_cast<int>(state)},
                 {"revision", revision}};
  if (has_lost_store)
    object["has_lost_store"] = true;
  if (server) {
    object["service"] = server->service;
    object["slots"] = server->slots;
    object["draining"] = server->draining;
    object["cold_rate"] = server->rate_limit;
  }
  if (departure) {
    object["departure"] = {{"instance", departure->instance},
                           {"started_at", departure->started_at.count()},
                           {"has_left", departure->has_left}};
  }
  // The instance comes from a server and may hold any bytes.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Member> Member::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    Member member;
    const auto id = base::NodeId::Parse(object.value("id", ""));
    if (!id || !ReadAddress(object, "gossip", member.gossip_address) ||
        !ReadAddress(object, "peer", member.peer_address) ||
        !ReadAddress(object, "control", member.control_address) ||
        !ReadAddress(object, "operator", member.operator_address)) {
      return std::nullopt;
    }
    member.id = *id;
    member.name = object.value("name", "");
    member.data_centre = object.value("data_centre", "");
    member.region = object.value("region", "");
    member.incarnation = object.value("incarnation", uint64_t{0});
    member.revision = object.value("revision", uint64_t{0});
    member.state = static_cast<MemberState>(object.value("state", 0));
    member.has_lost_store = object.value("has_lost_store", false);
    if (object.contains("service")) {
      member.server = ServerAnnouncement{
          object.value("service", ""), object.value("slots", 1),
          object.value("draining", false), object.value("cold_rate", 0.0)};
    }
    if (object.contains("departure")) {
      const json& read = object["departure"];
      member.departure = base::ServerDeparture{
          read.value("instance", ""),
          std::chrono::milliseconds(read.value("started_at", int64_t{0})),
          read.value("has_left", false)};
    }
    return member;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::membership
