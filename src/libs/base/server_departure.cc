#include "base/server_departure.h"

namespace chestnutport::base {

bool ServerDeparture::IsOf(const std::string& other_instance,
                           std::chrono::milliseconds other_started_at) const {
  const bool are_both_known =
      started_at.count() != 0 && other_started_at.count() != 0;
  return instance == other_instance &&
         (!are_both_known || started_at == other_started_at);
}

bool ServerDeparture::IsAfter(
    const std::string& other_instance,
    std::chrono::milliseconds other_started_at) const {
  return instance == other_instance && other_started_at.count() != 0 &&
         other_started_at < started_at;
}

}  // namespace chestnutport::base
