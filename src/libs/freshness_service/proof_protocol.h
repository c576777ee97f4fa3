// Decides what a node asks and answers about the newest configuration. Does no
// I/O; see ProofExchange.
#ifndef FRESHNESS_SERVICE_PROOF_PROTOCOL_H_
#define FRESHNESS_SERVICE_PROOF_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/boot_clock.h"
#include "base/random.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "freshness/key_policy.h"
#include "freshness/pending_queries.h"
#include "freshness/proof_keeper.h"
#include "freshness_service/peer_chooser.h"
#include "membership/member.h"

namespace chestnutport::freshness_service {

// Interval between two queries, and while the proof is old or missing.
inline constexpr std::chrono::milliseconds kQueryInterval(300);
inline constexpr std::chrono::milliseconds kUrgentQueryInterval(100);

class ProofProtocol {
 public:
  struct Query {
    base::SocketAddress to;
    std::string payload;
  };

  // `revocation_time` zero: there are neither queries nor answers, and the
  // policy has no time.
  ProofProtocol(base::Duration revocation_time, const base::Random& random);

  bool is_on() const { return revocation_time_ > base::Duration::zero(); }

  void SetMembers(const membership::Member& self,
                  std::span<const membership::Member> members) {
    peers_.SetMembers(self, members);
  }
  // See ProofKeeper.
  void OnStoreRead(uint64_t revision, base::BootInstant asked_at);
  // Another node is known to hold `revision`.
  void OnRevisionReported(uint64_t revision);
  void OnRevisionInForce(uint64_t revision) { own_revision_ = revision; }

  // Returns the query that is due, if any. Call at least once in
  // kUrgentQueryInterval. `now` must have been read since the last event.
  std::optional<Query> Run(base::BootInstant now);
  // Handles a datagram of another node and returns the answer to it, if any.
  // `now` must have been read after the datagram was received: it is the time
  // at which the age in the answer is measured.
  std::optional<std::string> OnDatagram(std::string_view payload,
                                        base::BootInstant now);

  freshness::KeyPolicy Policy() const;
  // Returns the age of the latest proof of the configuration in force; nothing
  // if there is none.
  std::optional<base::Duration> ProofAge(base::BootInstant now) const;

 private:
  base::Duration QueryInterval(base::BootInstant now) const;

  base::Duration revocation_time_;
  base::Random random_;
  freshness::ProofKeeper keeper_;
  freshness::PendingQueries queries_;
  PeerChooser peers_;
  uint64_t own_revision_ = 0;
  uint64_t reported_revision_ = 0;  // The greatest.
  std::optional<base::BootInstant> last_query_;
};

}  // namespace chestnutport::freshness_service

#endif  // FRESHNESS_SERVICE_PROOF_PROTOCOL_H_
