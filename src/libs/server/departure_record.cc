#include "server/departure_record.h"

#include <algorithm>
#include <utility>

namespace chestnutport::server {
namespace {

// A server that leaves is gone by then. Without a start time, its next
// incarnation may have the same name.
constexpr std::chrono::minutes kLeavingTime(2);
// Late messages are about few earlier servers.
constexpr size_t kMaxDepartures = 4;

}  // namespace

bool DepartureRecord::OnTold(base::ServerDeparture departure,
                             base::Instant now) {
  if (departure.instance.empty())
    return false;
  const auto known = FindEntry(departure.instance, departure.started_at);
  if (known != entries_.end()) {
    const bool is_new = departure != known->departure;
    // A server that has left does not drain any more.
    if (known->departure.has_left || !is_new)
      return false;
    entries_.erase(known);
  }
  entries_.push_back({std::move(departure), false, now + kLeavingTime});
  LimitEntries();
  return true;
}

bool DepartureRecord::OnInherited(const base::ServerDeparture& departure,
                                  bool is_current,
                                  base::Instant now) {
  const auto known = FindEntry(departure.instance, departure.started_at);
  const bool is_known = known != entries_.end() &&
                        (known->departure.has_left || !departure.has_left);
  if (departure.instance.empty() || is_known)
    return false;
  const bool is_told = std::ranges::any_of(
      entries_, [](const Entry& entry) { return !entry.is_inherited; });
  const bool is_last = is_current || !is_told;
  if (known != entries_.end())
    entries_.erase(known);
  entries_.insert(is_last ? entries_.end() : entries_.begin(),
                  {departure, true, now + kLeavingTime});
  LimitEntries();
  return is_last;
}

bool DepartureRecord::OnUndrained(const std::string& instance,
                                  std::chrono::milliseconds started_at) {
  const auto known = FindEntry(instance, started_at);
  if (known == entries_.end() || known->departure.has_left)
    return false;
  entries_.erase(known);
  return true;
}

bool DepartureRecord::OnUsed(const std::string& instance,
                             std::chrono::milliseconds started_at) {
  const auto known = FindEntry(instance, started_at);
  if (known == entries_.end())
    return false;
  if (known->is_inherited)
    return true;
  entries_.erase(known);
  return false;
}

bool DepartureRecord::DropExpired(base::Instant now) {
  const auto before = departure();
  std::erase_if(entries_, [now](const Entry& entry) {
    return entry.is_inherited && now >= entry.gone_at;
  });
  return departure() != before;
}

bool DepartureRecord::IsEarlierStart(const std::string& instance,
                                     std::chrono::milliseconds started_at,
                                     base::Instant now) const {
  return std::ranges::any_of(entries_, [&](const Entry& entry) {
    return now < entry.gone_at && entry.departure.IsAfter(instance, started_at);
  });
}

const base::ServerDeparture* DepartureRecord::Find(
    const std::string& instance,
    std::chrono::milliseconds started_at) const {
  const auto known = std::ranges::find_if(entries_, [&](const Entry& entry) {
    return entry.departure.IsOf(instance, started_at);
  });
  return known == entries_.end() ? nullptr : &known->departure;
}

std::optional<base::ServerDeparture> DepartureRecord::departure() const {
  return entries_.empty() ? std::nullopt
                          : std::optional(entries_.back().departure);
}

std::vector<base::ServerDeparture> DepartureRecord::departures() const {
  std::vector<base::ServerDeparture> all;
  all.reserve(entries_.size());
  for (const Entry& entry : entries_)
    all.push_back(entry.departure);
  return all;
}

std::vector<DepartureRecord::Entry>::iterator DepartureRecord::FindEntry(
    const std::string& instance,
    std::chrono::milliseconds started_at) {
  return std::ranges::find_if(entries_, [&](const Entry& entry) {
    return entry.departure.IsOf(instance, started_at);
  });
}

void DepartureRecord::LimitEntries() {
  if (entries_.size() > kMaxDepartures)
    entries_.erase(entries_.begin());
}

}  // namespace chestnutport::server
