#include "fleet/departure_entry.h"

#include <nlohmann/json.hpp>

namespace chestnutport::fleet {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Longer than a server takes to leave, and than wall clocks differ.
constexpr std::chrono::minutes kMaxAge(10);

std::optional<base::ServerDeparture> ReadDeparture(const json& object) {
  base::ServerDeparture departure;
  departure.instance = object.at("instance").get<std::string>();
  departure.started_at = milliseconds(object.at("started_at").get<int64_t>());
  departure.has_left = object.at("has_left").get<bool>();
  if (departure.instance.empty() || departure.started_at.count() < 0)
    return std::nullopt;
  return departure;
}

}  // namespace

bool DepartureEntry::IsOutdated(milliseconds now) const {
  return now - written_at > kMaxAge;
}

std::string DepartureEntry::ToJson() const {
  json list = json::array();
  for (const base::ServerDeparture& departure : departures) {
    list.push_back({{"instance", departure.instance},
                    {"started_at", departure.started_at.count()},
                    {"has_left", departure.has_left}});
  }
  const json object{{"departures", list}, {"written_at", written_at.count()}};
  // The names come from servers and may hold any bytes.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<DepartureEntry> DepartureEntry::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    DepartureEntry entry;
    entry.written_at = milliseconds(object.at("written_at").get<int64_t>());
    for (const json& item : object.at("departures")) {
      const auto departure = ReadDeparture(item);
      if (!departure)
        return std::nullopt;
      entry.departures.push_back(*departure);
    }
    return entry;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::fleet
