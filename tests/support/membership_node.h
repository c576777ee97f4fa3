// The membership of a node on a socket of its own, without a store.
#ifndef SUPPORT_MEMBERSHIP_NODE_H_
#define SUPPORT_MEMBERSHIP_NODE_H_

#include <stdexcept>
#include <string>

#include "fleet/fleet_membership.h"
#include "http_client/http_client.h"

namespace chestnutport::test {

class MembershipNode {
 public:
  // `loop` must outlive the node. Throws on failure.
  MembershipNode(net::EventLoop& loop,
                 uint64_t id,
                 const std::string& key = "key")
      : settings_(SettingsWithKey(key)),
        http_(loop, {}),
        store_(http_, {kNoStore}, std::chrono::seconds(1)),
        listener_(loop, {key, ""}),
        caller_(loop, {key, ""}),
        membership_(loop,
                    store_,
                    listener_,
                    caller_,
                    ledger_,
                    settings_,
                    base::Random(id)) {
    if (!membership_.Listen(*base::SocketAddress::Parse("127.0.0.1:0")))
      throw std::runtime_error("cannot bind a socket");
    self_.id.value = id;
    self_.data_centre = "one";
    self_.gossip_address = address();
    membership_.Start(self_, [](const auto&) {});
  }

  fleet::FleetMembership& membership() { return membership_; }
  const membership::Member& self() const { return self_; }
  const base::SocketAddress& address() const {
    return membership_.gossip_address();
  }

 private:
  // Nothing listens at this address.
  static constexpr base::SocketAddress kNoStore{0x7f000001, 1};

  static settings::NodeSettings SettingsWithKey(const std::string& key) {
    settings::NodeSettings settings;
    settings.fleet = "fleet";
    settings.peer_key = key;
    return settings;
  }

  settings::NodeSettings settings_;
  http_client::HttpClient http_;
  store::StoreClient store_;
  control_calls::ControlListener listener_;
  control_calls::ControlCaller caller_;
  quarantine::CrashLedger ledger_;
  membership::Member self_;
  fleet::FleetMembership membership_;
};

// Runs `loop` until `condition` holds or `limit` has passed. Returns whether it
// held.
template <typename Condition>
bool RunUntil(net::EventLoop& loop,
              base::Duration limit,
              const Condition& condition) {
  bool is_over = false;
  const auto timer = loop.CallAfter(limit, [&] { is_over = true; });
  while (!is_over && !condition()) {
    loop.CallAfter(std::chrono::milliseconds(5), [&loop] { loop.Stop(); });
    loop.Run();
  }
  loop.Cancel(timer);
  return condition();
}

}  // namespace chestnutport::test

#endif  // SUPPORT_MEMBERSHIP_NODE_H_
