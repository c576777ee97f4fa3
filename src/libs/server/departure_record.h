// Keeps which server has told a node that it leaves, so that the node can
// publish it and an earlier run's knowledge is applied. Reads no clock.
#ifndef SERVER_DEPARTURE_RECORD_H_
#define SERVER_DEPARTURE_RECORD_H_

#include <chrono>
#include <optional>
#include <string>

#include "base/server_departure.h"
#include "base/time.h"

namespace chestnutport::server {

// Functions that return a truth value return whether departure() has changed,
// unless stated otherwise.
class DepartureRecord {
 public:
  // Called when an incarnation has told this run of the node that it leaves.
  bool OnTold(base::ServerDeparture departure);
  // Called with what an earlier run of the node was told. `is_current`: it is
  // about the current incarnation; any other is recorded only if this run was
  // told nothing, as that is newer.
  bool OnInherited(const base::ServerDeparture& departure,
                   bool is_current,
                   base::Instant now);
  // Called when the server is not to drain any more.
  bool OnUndrained();
  // Called when an incarnation that is not known to drain is used, or one is
  // used again after it was withdrawn. Returns whether it drains, as an earlier
  // run was told; if only this run was told so, that is over.
  bool OnUsed(const std::string& instance,
              std::chrono::milliseconds started_at);
  // Drops an inherited departure once its server is gone.
  bool DropExpired(base::Instant now);

  const std::optional<base::ServerDeparture>& departure() const {
    return departure_;
  }

 private:
  std::optional<base::ServerDeparture> departure_;
  // When an inherited departure is dropped; not set if this run was told.
  std::optional<base::Instant> inherited_until_;
};

}  // namespace chestnutport::server

#endif  // SERVER_DEPARTURE_RECORD_H_
