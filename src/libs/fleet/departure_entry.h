// The entry of a node in the platform's store that says which servers have told
// it that they leave.
#ifndef FLEET_DEPARTURE_ENTRY_H_
#define FLEET_DEPARTURE_ENTRY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/server_departure.h"

namespace chestnutport::fleet {

struct DepartureEntry {
  std::vector<base::ServerDeparture> departures;
  // Wall-clock time of the write, since the epoch.
  std::chrono::milliseconds written_at{};

  // Whether the servers in the entry are gone by `now`, in wall-clock time.
  // Without start times, a server that runs may have the name of one of them.
  bool IsOutdated(std::chrono::milliseconds now) const;

  std::string ToJson() const;
  // Returns nothing if the text is malformed.
  static std::optional<DepartureEntry> FromJson(std::string_view text);
};

}  // namespace chestnutport::fleet

#endif  // FLEET_DEPARTURE_ENTRY_H_
