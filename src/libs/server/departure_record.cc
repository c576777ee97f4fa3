#include "server/departure_record.h"

#include <utility>

namespace chestnutport::server {
namespace {

// A server that leaves is gone by then. Without a start time, its next
// incarnation may have the same name.
constexpr std::chrono::minutes kInheritedTime(2);

}  // namespace

bool DepartureRecord::OnTold(base::ServerDeparture departure) {
  if (departure.instance.empty() || departure_ == departure)
    return false;
  // A server that has left does not drain any more.
  if (departure_ && departure_->has_left &&
      departure_->IsOf(departure.instance, departure.started_at)) {
    return false;
  }
  departure_ = std::move(departure);
  inherited_until_.reset();
  return true;
}

bool DepartureRecord::OnInherited(const base::ServerDeparture& departure,
                                  bool is_current,
                                  base::Instant now) {
  const bool is_recorded = (is_current || !departure_) && OnTold(departure);
  if (is_recorded)
    inherited_until_ = now + kInheritedTime;
  return is_recorded;
}

bool DepartureRecord::OnUndrained() {
  if (!departure_ || departure_->has_left)
    return false;
  departure_.reset();
  inherited_until_.reset();
  return true;
}

bool DepartureRecord::OnUsed(const std::string& instance,
                             std::chrono::milliseconds started_at) {
  if (!departure_ || !departure_->IsOf(instance, started_at))
    return false;
  if (inherited_until_)
    return true;
  departure_.reset();
  return false;
}

bool DepartureRecord::DropExpired(base::Instant now) {
  if (!inherited_until_ || now < *inherited_until_)
    return false;
  departure_.reset();
  inherited_until_.reset();
  return true;
}

}  // namespace chestnutport::server
