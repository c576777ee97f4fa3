#include "fleet/fleet_membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"

namespace chestnutport::fleet {
namespace {

using membership::GossipOutput;
using nlohmann::json;

constexpr char kPullMethod[] = "membership.pull";
constexpr char kViewField[] = "view";
constexpr std::chrono::seconds kPullTimeout(2);
// Changes within this time are reported together.
constexpr std::chrono::milliseconds kPublishDelay(20);

// Pull messages are binary, but control calls carry JSON.
std::string WrapView(const std::string& bytes) {
  return json{{kViewField, absl::Base64Escape(bytes)}}.dump();
}

std::optional<std::string> UnwrapView(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object() || !object.contains(kViewField) ||
      !object[kViewField].is_string()) {
    return std::nullopt;
  }
  std::string bytes;
  if (!absl::Base64Unescape(object[kViewField].get<std::string>(), &bytes))
    return std::nullopt;
  return bytes;
}

}  // namespace

FleetMembership::FleetMembership(net::EventLoop& loop,
                                 store::StoreClient& store,
                                 control_calls::ControlListener& listener,
                                 control_calls::ControlCaller& caller,
                                 quarantine::CrashLedger& ledger,
                                 const settings::NodeSettings& settings,
                                 const base::Random& random)
    : loop_(loop),
      listener_(listener),
      caller_(caller),
      authenticator_(settings.fleet,
                     settings.peer_key,
                     settings.previous_peer_key),
      ledger_(ledger),
      random_(random),
      seeds_(loop, store, settings, base::Random(random_())) {}

FleetMembership::~FleetMembership() {
  loop_.Cancel(run_timer_);
  loop_.Cancel(publish_timer_);
  if (!gossip_)
    return;
  GossipOutput output;
  gossip_->Leave(output);
  for (const auto& datagram : output.datagrams)
    socket_->Send(datagram.to, datagram.bytes);
}

base::Result<bool> FleetMembership::Listen(const base::SocketAddress& address) {
  auto opened = UdpSocket::Open(
      loop_, address,
      [this](const base::SocketAddress& from, std::string_view datagram) {
        OnDatagram(from, datagram);
      });
  if (!opened)
    return opened.error();
  socket_ = std::move(opened).value();
  return true;
}

void FleetMembership::Start(const membership::Member& self, Handler handler) {
  handler_ = std::move(handler);
  gossip_ = std::make_unique<membership::Gossip>(
      self, membership::GossipOptions{}, authenticator_, records_, ledger_,
      base::Random(random_()), loop_.now());
  listener_.Add(kPullMethod, [this](const std::string& params) {
    return AnswerPull(params);
  });
  seeds_.Start(self, [this](const base::SocketAddress& seed) {
    GossipOutput output;
    gossip_->Contact(loop_.now(), seed, output);
    Apply(output);
  });
  PublishSoon();
  GossipOutput output;
  gossip_->AnnounceRevision(loop_.now(), announced_revision_, output);
  Apply(output);
}

void FleetMembership::Update(const membership::Member& self) {
  if (!gossip_)
    return;
  GossipOutput output;
  gossip_->Update(loop_.now(), self, output);
  Apply(output);
}

void FleetMembership::OnRevisionReported(RevisionHandler handler) {
  revision_handler_ = std::move(handler);
}

void FleetMembership::AnnounceRevision(uint64_t revision) {
  announced_revision_ = std::max(announced_revision_, revision);
  if (!gossip_)
    return;
  GossipOutput output;
  gossip_->AnnounceRevision(loop_.now(), revision, output);
  Apply(output);
}

void FleetMembership::OnEvidence(EvidenceHandler handler) {
  evidence_handler_ = std::move(handler);
}

void FleetMembership::AnnounceEvidence(
    std::span<const base::RequestFingerprint> requests) {
  if (!gossip_)
    return;
  GossipOutput output;
  gossip_->AnnounceEvidence(loop_.now(), requests, output);
  Apply(output);
}

void FleetMembership::AnnounceEvacuations(const evacuation::Evacuations& read) {
  if (!gossip_)
    return;
  GossipOutput output;
  gossip_->OnEvacuationsRead(loop_.now(), read, output);
  Apply(output);
}

void FleetMembership::SendDirect(const base::SocketAddress& to,
                                 Channel channel,
                                 std::string_view payload) {
  if (payload.size() > kMaxDirectPayload)
    return;
  ++direct_counters_.sent;
  const DirectDatagram datagram{channel, payload};
  socket_->Send(to, authenticator_.Sign(datagram.Encode()));
}

void FleetMembership::OnDirect(Channel channel, DirectHandler handler) {
  if (handler)
    direct_handlers_[channel] = std::move(handler);
  else
    direct_handlers_.erase(channel);
}

std::vector<membership::Member> FleetMembership::Members() const {
  if (!gossip_)
    return {};
  return gossip_->Members();
}

void FleetMembership::OnDatagram(const base::SocketAddress& from,
                                 std::string_view datagram) {
  if (!gossip_)
    return;
  const size_t tag_size = membership::DatagramAuthenticator::kTagSize;
  if (datagram.size() > tag_size &&
      DirectDatagram::Matches(datagram.substr(tag_size))) {
    OnDirectDatagram(from, datagram);
    return;
  }
  GossipOutput output;
  gossip_->Receive(loop_.now(), from, datagram, output);
  Apply(output);
}

void FleetMembership::OnDirectDatagram(const base::SocketAddress& from,
                                       std::string_view datagram) {
  const auto message = authenticator_.Verify(datagram);
  if (!message) {
    ++direct_counters_.unauthenticated;
    return;
  }
  const auto direct = DirectDatagram::Decode(*message);
  const auto found =
      direct ? direct_handlers_.find(direct->channel) : direct_handlers_.end();
  if (found == direct_handlers_.end()) {
    ++direct_counters_.unknown_channel;
    return;
  }
  ++direct_counters_.received;
  found->second(from, direct->payload);
}

void FleetMembership::Run() {
  GossipOutput output;
  gossip_->Run(loop_.now(), output);
  Apply(output);
}

void FleetMembership::Apply(GossipOutput& output) {
  for (const auto& datagram : output.datagrams)
    socket_->Send(datagram.to, datagram.bytes);
  for (const auto& pull : output.pulls)
    Pull(pull);
  for (const auto& change : output.changes)
    log_.OnChange(loop_.now(), change);
  if (!output.changes.empty())
    PublishSoon();
  loop_.Cancel(run_timer_);
  run_timer_ = loop_.CallAt(gossip_->NextRun(), [this] { Run(); });
  for (const membership::Member& predecessor : output.predecessors) {
    if (predecessor_handler_)
      predecessor_handler_(predecessor);
  }
  if (output.evidence_changed && evidence_handler_)
    evidence_handler_();
  if (output.evacuations_changed && evacuations_handler_)
    evacuations_handler_(gossip_->evacuations());
  if (output.revision && revision_handler_)
    revision_handler_(output.revision->revision, output.revision->from);
}

void FleetMembership::Pull(const membership::OutgoingPull& pull) {
  caller_.Call(
      pull.control_address, kPullMethod, WrapView(pull.request), kPullTimeout,
      [this](const base::Result<std::string>& answer) { OnPulled(answer); });
}

void FleetMembership::OnPulled(const base::Result<std::string>& answer) {
  const auto view = answer ? UnwrapView(answer.value()) : std::nullopt;
  GossipOutput output;
  if (view)
    gossip_->OnPullResponse(loop_.now(), *view, output);
  else
    gossip_->OnPullFailed(loop_.now());
  Apply(output);
}

std::string FleetMembership::AnswerPull(const std::string& params) const {
  const auto request = UnwrapView(params);
  const std::string answer =
      request ? gossip_->AnswerPull(loop_.now(), *request) : "";
  return answer.empty() ? "" : WrapView(answer);
}

void FleetMembership::PublishSoon() {
  if (publish_timer_ != 0)
    return;
  publish_timer_ = loop_.CallAfter(kPublishDelay, [this] { Publish(); });
}

void FleetMembership::Publish() {
  publish_timer_ = 0;
  std::vector<membership::Member> members = gossip_->Members();
  seeds_.SetMembers(members);
  handler_(std::move(members));
}

}  // namespace chestnutport::fleet
