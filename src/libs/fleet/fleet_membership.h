// Runs the gossip of this node on a UDP socket and reports the members. Runs on
// the control thread.
#ifndef FLEET_FLEET_MEMBERSHIP_H_
#define FLEET_FLEET_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "control_calls/control_caller.h"
#include "control_calls/control_listener.h"
#include "control_calls/peer_keys.h"
#include "fleet/direct_counters.h"
#include "fleet/direct_datagram.h"
#include "fleet/membership_log.h"
#include "fleet/seed_manager.h"
#include "fleet/udp_socket.h"
#include "membership/gossip.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::fleet {

class FleetMembership {
 public:
  using Handler = std::function<void(std::vector<membership::Member>)>;
  // Called when another node holds a higher configuration revision than this
  // node; it can be fetched from `from.control_address`. Repeated with another
  // source until this node announces the revision.
  using RevisionHandler =
      std::function<void(uint64_t revision, const membership::Member& from)>;

  // Called when evidence on requests running at crashes was received.
  using EvidenceHandler = std::function<void()>;

  // Called with an authenticated datagram of another part. `payload` is valid
  // during the call only.
  using DirectHandler = std::function<void(const base::SocketAddress& from,
                                           std::string_view payload)>;
  // Limit in bytes of the payload of a direct datagram.
  static constexpr size_t kMaxDirectPayload =
      UdpSocket::kMaxDatagramSize -
      membership::DatagramAuthenticator::kTagSize - DirectDatagram::kHeaderSize;

  // The references must outlive this object.
  FleetMembership(net::EventLoop& loop,
                  store::StoreClient& store,
                  control_calls::ControlListener& listener,
                  control_calls::ControlCaller& caller,
                  quarantine::CrashLedger& ledger,
                  const settings::NodeSettings& settings,
                  const base::Random& random);
  // Announces to the fleet that this node leaves.
  ~FleetMembership();

  // Binds the UDP socket.
  base::Result<bool> Listen(const base::SocketAddress& address);
  const base::SocketAddress& gossip_address() const {
    return socket_->address();
  }

  // Joins the fleet as `self` and reports all live members after each change.
  void Start(const membership::Member& self, Handler handler);
  // Announces a change of `self` at once, for example that it is draining.
  void Update(const membership::Member& self);

  // Set before Start().
  void OnRevisionReported(RevisionHandler handler);
  // Announces that this node holds `revision`. Lower revisions than before are
  // ignored.
  void AnnounceRevision(uint64_t revision);

  // Set before Start().
  void OnEvidence(EvidenceHandler handler);
  // Announces new evidence that the ledger holds on these requests.
  void AnnounceEvidence(std::span<const base::RequestFingerprint> requests);

  // Called with each earlier run of this node that other members know. Must be
  // set before Start().
  void OnPredecessor(std::function<void(const membership::Member&)> handler) {
    predecessor_handler_ = std::move(handler);
  }

  // Called when the set of evacuated data centres has changed. Must be set
  // before Start().
  void OnEvacuations(
      std::function<void(const evacuation::Evacuations&)> handler) {
    evacuations_handler_ = std::move(handler);
  }
  // Announces the evacuated data centres that this node has read from the
  // store.
  void AnnounceEvacuations(const evacuation::Evacuations& read);

  // Called with the store entries that are not seeds; see SeedManager. Must be
  // set before Start().
  void OnOtherStoreEntries(SeedManager::OtherEntriesHandler others) {
    seeds_.OnOtherEntries(std::move(others));
  }
  const std::string& store_prefix() const { return seeds_.prefix(); }
  void ListStoreNow() { seeds_.ListNow(); }

  // Sends a signed datagram of another part to the gossip address `to`. Best
  // effort: it may be lost, delayed or duplicated, and any of these may also be
  // done by an attacker who cannot sign. Longer payloads than kMaxDirectPayload
  // are dropped. Call after Listen().
  void SendDirect(const base::SocketAddress& to,
                  Channel channel,
                  std::string_view payload);
  // Sets the handler of `channel` in place of any other; an empty one removes
  // it. Datagrams are received after Start().
  void OnDirect(Channel channel, DirectHandler handler);

  // Returns all live members at present, including this node.
  std::vector<membership::Member> Members() const;
  // When the last message from another node was received; nothing if none was.
  std::optional<base::Instant> last_contact() const {
    return gossip_ ? gossip_->last_contact() : std::nullopt;
  }
  const membership::GossipCounters& counters() const {
    return gossip_->counters();
  }
  const DirectCounters& direct_counters() const { return direct_counters_; }

 private:
  void OnDatagram(const base::SocketAddress& from, std::string_view datagram);
  void OnDirectDatagram(const base::SocketAddress& from,
                        std::string_view datagram);
  void Run();
  void Apply(membership::GossipOutput& output);
  void Pull(const membership::OutgoingPull& pull);
  void OnPulled(const base::Result<std::string>& answer);
  std::string AnswerPull(const std::string& params) const;
  void PublishSoon();
  void Publish();

  net::EventLoop& loop_;
  control_calls::ControlListener& listener_;
  control_calls::ControlCaller& caller_;
  membership::DatagramAuthenticator authenticator_;
  quarantine::CrashLedger& ledger_;
  base::Random random_;
  SeedManager seeds_;
  membership::RecordCache records_;
  std::unique_ptr<UdpSocket> socket_;
  std::unique_ptr<membership::Gossip> gossip_;
  Handler handler_;
  RevisionHandler revision_handler_;
  EvidenceHandler evidence_handler_;
  std::function<void(const evacuation::Evacuations&)> evacuations_handler_;
  std::function<void(const membership::Member&)> predecessor_handler_;
  std::map<Channel, DirectHandler> direct_handlers_;
  DirectCounters direct_counters_;
  MembershipLog log_;
  uint64_t announced_revision_ = 0;
  net::EventLoop::TimerId run_timer_ = 0;
  net::EventLoop::TimerId publish_timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_FLEET_MEMBERSHIP_H_
