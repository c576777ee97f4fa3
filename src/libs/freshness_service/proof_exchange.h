// Keeps the proof that this node's configuration is current: asks other nodes
// by datagram, answers them, and publishes until when keys may be accepted.
// Runs on the control thread.
#ifndef FRESHNESS_SERVICE_PROOF_EXCHANGE_H_
#define FRESHNESS_SERVICE_PROOF_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet/fleet_membership.h"
#include "freshness/key_policy.h"
#include "freshness/proof_state.h"
#include "freshness_service/proof_protocol.h"
#include "membership/member.h"
#include "net/event_loop.h"

namespace chestnutport::freshness_service {

class ProofExchange {
 public:
  // Called when a newer revision becomes known or comes into force, and at most
  // once in kPublishInterval when only the time has grown. Without a revocation
  // time, called only for the revisions.
  using PublishHandler = std::function<void(const freshness::KeyPolicy&)>;
  static constexpr std::chrono::milliseconds kPublishInterval{100};

  // `loop` and `membership` must outlive this object. `revocation_time` zero:
  // nothing is sent or answered.
  ProofExchange(net::EventLoop& loop,
                fleet::FleetMembership& membership,
                base::Duration revocation_time,
                const base::Random& random,
                PublishHandler publish);
  ~ProofExchange();
  ProofExchange(const ProofExchange&) = delete;
  ProofExchange& operator=(const ProofExchange&) = delete;

  // Call after the membership has started.
  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // A read or watch that was sent to the store at `asked_at` found `revision`.
  void OnStoreRead(uint64_t revision, base::BootInstant asked_at);
  // Another node has announced that it holds `revision`.
  void OnRevisionReported(uint64_t revision);
  // Call after the configuration itself was published.
  void OnRevisionInForce(uint64_t revision);

  // Returns the age of the proof of the configuration in force; nothing if
  // there is none or no revocation time is set.
  std::optional<base::Duration> ProofAge() const;

 private:
  void Run();
  void OnDatagram(const base::SocketAddress& from, std::string_view payload);
  // Publishes the policy if it has changed in a way that is due.
  void PublishIfDue(base::BootInstant now);
  void LogChange(base::BootInstant now);

  net::EventLoop& loop_;
  fleet::FleetMembership& membership_;
  ProofProtocol protocol_;
  freshness::ProofState state_;
  PublishHandler publish_;
  freshness::KeyPolicy published_;
  base::BootInstant published_at_;
  bool has_new_revision_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::freshness_service

#endif  // FRESHNESS_SERVICE_PROOF_EXCHANGE_H_
