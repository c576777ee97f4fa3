// Keeps which servers have told a node that they leave, so that the node can
// publish it and an earlier run's knowledge is applied. Reads no clock.
#ifndef SERVER_DEPARTURE_RECORD_H_
#define SERVER_DEPARTURE_RECORD_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/server_departure.h"
#include "base/time.h"

namespace chestnutport::server {

// Keeps several departures: a late message may be about a server that has ended
// while the one that runs leaves. Functions that return a truth value return
// whether departure() has changed, unless stated otherwise.
class DepartureRecord {
 public:
  // Called when an incarnation has told this run of the node that it leaves.
  bool OnTold(base::ServerDeparture departure, base::Instant now);
  // Called with what an earlier run of the node was told. `is_current`: it is
  // about the current incarnation; any other becomes departure() only if this
  // run was told nothing, as that is newer.
  bool OnInherited(const base::ServerDeparture& departure,
                   bool is_current,
                   base::Instant now);
  // Called when the server is not to drain any more.
  bool OnUndrained(const std::string& instance,
                   std::chrono::milliseconds started_at);
  // Called when an incarnation that is not known to drain is used, or one is
  // used again after it was withdrawn. Returns whether it drains, as an earlier
  // run was told; if only this run was told so, that is over.
  bool OnUsed(const std::string& instance,
              std::chrono::milliseconds started_at);
  // Drops inherited departures of servers that are gone.
  bool DropExpired(base::Instant now);

  // Returns whether the incarnation started before one that leaves, under the
  // same name: messages of it are late, and requests meant for it would be run
  // by the one that leaves. False once that one is gone, as the wall clock may
  // have been set back before the next start.
  bool IsEarlierStart(const std::string& instance,
                      std::chrono::milliseconds started_at,
                      base::Instant now) const;

  // The departure of an incarnation; null if none is known.
  const base::ServerDeparture* Find(const std::string& instance,
                                    std::chrono::milliseconds started_at) const;
  // The last one that was told, or else inherited.
  std::optional<base::ServerDeparture> departure() const;
  // All that are kept, the last one at the end.
  std::vector<base::ServerDeparture> departures() const;

 private:
  struct Entry {
    base::ServerDeparture departure;
    bool is_inherited = false;  // This run of the node was not told.
    base::Instant gone_at;      // When the server is gone.
  };

  std::vector<Entry>::iterator FindEntry(const std::string& instance,
                                         std::chrono::milliseconds started_at);
  void LimitEntries();

  std::vector<Entry> entries_;
};

}  // namespace chestnutport::server

#endif  // SERVER_DEPARTURE_RECORD_H_
