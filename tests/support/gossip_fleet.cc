#include "support/gossip_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "membership/pull_message.h"

namespace chestnutport::test {
namespace {

using membership::GossipOutput;
using membership::Member;
using membership::MemberChange;
using membership::MemberState;

constexpr size_t kDataCentres = 14;
constexpr std::array<size_t, kDataCentres> kRegions = {0, 0, 0, 1, 1, 1, 2,
                                                       2, 3, 3, 4, 4, 5, 5};
constexpr size_t kServices = 200;
constexpr uint16_t kPort = 7400;
constexpr uint32_t kNetwork = 10U << 24;
constexpr size_t kPacketOverhead = 28;
// Headers of a control call and its response, including those of TCP.
constexpr size_t kCallHeaderBytes = 900;
// Datagrams that the kernel buffers for a socket that is not read.
constexpr size_t kMaxPendingDatagrams = 200;
constexpr std::chrono::microseconds kLocalDelay(250);
constexpr std::chrono::microseconds kRegionDelay(750);
constexpr std::chrono::milliseconds kFarDelay(30);
constexpr std::chrono::milliseconds kFarDelayStep(10);
constexpr std::chrono::seconds kPullTimeout(2);

base::SocketAddress AddressOf(size_t slot) {
  return {kNetwork + static_cast<uint32_t>(slot), kPort};
}

size_t SlotAt(const base::SocketAddress& address) {
  return address.ip - kNetwork;
}

}  // namespace

GossipFleet::GossipFleet(const GossipFleetOptions& options)
    : options_(options),
      data_centres_(std::clamp<size_t>(options.members / 3, 1, kDataCentres)),
      random_(options.seed),
      slots_(options.members) {
  for (size_t slot = 0; slot < slots_.size(); ++slot)
    AddGossip(slot);
  if (options.converged)
    Converge();
}

size_t GossipFleet::RegionOf(size_t slot) const {
  return kRegions[DataCentreOf(slot)];
}

void GossipFleet::AddGossip(size_t slot) {
  Slot& node = slots_[slot];
  Member& member = node.member;
  member.id = base::NodeId::Draw(random_);
  member.name = absl::StrCat("vm-", slot);
  member.data_centre = absl::StrCat("dc-", DataCentreOf(slot));
  member.region = absl::StrCat("region-", RegionOf(slot));
  member.gossip_address = AddressOf(slot);
  member.peer_address = AddressOf(slot);
  member.control_address = AddressOf(slot);
  member.operator_address = AddressOf(slot);
  member.server = membership::ServerAnnouncement{
      absl::StrCat("service-", slot % kServices), 12, false};
  member.departure.reset();
  node.predecessors.clear();
  slot_of_[member.id] = slot;
  node.ledger = std::make_unique<quarantine::CrashLedger>();
  node.gossip = std::make_unique<membership::Gossip>(
      member, options_.gossip,
      membership::DatagramAuthenticator("fleet", "0123456789abcdef", ""),
      records_, *node.ledger, base::Random(random_()), now_);
  node.frozen = false;
  ++node.life;
  node.pending_datagrams.clear();
  GossipOutput none;
  Apply(slot, none);
}

void GossipFleet::Converge() {
  const std::string view = FullPullResponse();
  for (Slot& slot : slots_) {
    GossipOutput output;
    slot.gossip->OnPullResponse(now_, view, output);
  }
}

std::string GossipFleet::FullPullResponse() const {
  membership::PullResponse all;
  all.sender = slots_[0].member.id;
  for (size_t part = 0; part < membership::kViewParts; ++part)
    all.parts.push_back(static_cast<uint8_t>(part));
  for (const Slot& slot : slots_) {
    const auto* entry = slot.gossip->table().Find(slot.member.id);
    all.members.push_back({entry->id, entry->incarnation, entry->state,
                           entry->hash, entry->record->bytes});
  }
  return all.Encode();
}

void GossipFleet::Schedule(base::Instant when,
                           Kind kind,
                           size_t to,
                           size_t from,
                           std::string bytes) {
  events_.push({when, ++order_, kind, static_cast<uint32_t>(to),
                static_cast<uint32_t>(from), std::move(bytes)});
}

void GossipFleet::RunFor(base::Duration duration) {
  const base::Instant end = now_ + duration;
  while (!events_.empty() && events_.top().when <= end) {
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.when;
    Handle(event);
  }
  now_ = end;
}

bool GossipFleet::RunUntil(const std::function<bool()>& condition,
                           base::Duration limit) {
  const base::Instant end = now_ + limit;
  while (!condition()) {
    if (now_ >= end)
      return false;
    RunFor(std::chrono::milliseconds(10));
  }
  return true;
}

void GossipFleet::Handle(Event& event) {
  Slot& slot = slots_[event.to];
  const base::SocketAddress from = AddressOf(event.from);
  if (!slot.gossip)
    return;
  if (event.kind == Kind::kDatagram && slot.frozen) {
    if (slot.pending_datagrams.size() < kMaxPendingDatagrams)
      slot.pending_datagrams.emplace_back(from, std::move(event.bytes));
    return;
  }
  if (slot.frozen)
    return;
  GossipOutput output;
  switch (event.kind) {
    case Kind::kTimer:
      if (event.when != slot.timer)
        return;
      slot.timer = {};
      slot.gossip->Run(now_, output);
      break;
    case Kind::kDatagram:
      slot.gossip->Receive(now_, from, event.bytes, output);
      break;
    case Kind::kPull: {
      std::string answer = slot.gossip->AnswerPull(now_, event.bytes);
      CountBytes(traffic_.pull_bytes, answer.size(), event.to, event.from);
      Schedule(now_ + Delay(event.to, event.from), Kind::kPullAnswer,
               event.from, event.to, std::move(answer));
      return;
    }
    case Kind::kPullAnswer:
      slot.gossip->OnPullResponse(now_, event.bytes, output);
      break;
    case Kind::kPullFailed:
      slot.gossip->OnPullFailed(now_);
      break;
  }
  Apply(event.to, output);
}

void GossipFleet::Apply(size_t slot, GossipOutput& output) {
  for (auto& datagram : output.datagrams) {
    const size_t to = SlotAt(datagram.to);
    ++traffic_.datagrams;
    CountBytes(traffic_.datagram_bytes, datagram.bytes.size() + kPacketOverhead,
               slot, to);
    if (to >= slots_.size() || !Delivers(slot, to))
      continue;
    if (Chance() < options_.duplication)
      Schedule(now_ + 2 * Delay(slot, to), Kind::kDatagram, to, slot,
               datagram.bytes);
    Schedule(now_ + Delay(slot, to), Kind::kDatagram, to, slot,
             std::move(datagram.bytes));
  }
  for (auto& pull : output.pulls)
    SendPull(slot, pull);
  for (const MemberChange& change : output.changes)
    Observe(slot, change);
  if (output.revision && on_revision_)
    on_revision_(slot, output.revision->revision);
  Slot& node = slots_[slot];
  node.predecessors.insert(node.predecessors.end(), output.predecessors.begin(),
                           output.predecessors.end());
  const base::Instant next = std::max(node.gossip->NextRun(), now_);
  if (node.timer == base::Instant() || next < node.timer) {
    node.timer = next;
    Schedule(next, Kind::kTimer, slot, slot, "");
  }
}

void GossipFleet::SendPull(size_t slot, membership::OutgoingPull& pull) {
  const size_t to = SlotAt(pull.control_address);
  ++traffic_.pulls;
  CountBytes(traffic_.pull_bytes, pull.request.size() + kCallHeaderBytes, slot,
             to);
  const bool is_cut_off = is_partitioned_ && is_partitioned_(slot, to);
  if (to >= slots_.size() || is_cut_off || !IsUp(to)) {
    Schedule(now_ + kPullTimeout, Kind::kPullFailed, slot, slot, "");
    return;
  }
  Schedule(now_ + Delay(slot, to), Kind::kPull, to, slot,
           std::move(pull.request));
}

void GossipFleet::CountBytes(uint64_t& counter,
                             size_t bytes,
                             size_t from,
                             size_t to) {
  counter += bytes;
  if (to < slots_.size() && DataCentreOf(from) != DataCentreOf(to))
    traffic_.bytes_between_data_centres += bytes;
}

void GossipFleet::Observe(size_t observer, const MemberChange& change) {
  const auto found = slot_of_.find(change.member.id);
  const size_t slot = found == slot_of_.end() ? size() : found->second;
  const bool is_reachable =
      slot < size() && IsUp(slot) &&
      slots_[slot].member.id == change.member.id &&
      !(is_partitioned_ && is_partitioned_(observer, slot));
  const auto key = std::make_pair(observer, change.member.id);
  if (change.member.state == MemberState::kAlive) {
    const auto gone = gone_since_.find(key);
    if (gone != gone_since_.end()) {
      false_positives_.longest_gone =
          std::max(false_positives_.longest_gone, now_ - gone->second);
      gone_since_.erase(gone);
    }
  } else if (is_reachable) {
    const bool is_gone = change.member.state >= MemberState::kGone;
    ++(is_gone ? false_positives_.gone : false_positives_.suspected);
    if (is_gone)
      gone_since_.try_emplace(key, now_);
  }
  if (on_change_)
    on_change_(observer, change);
}

bool GossipFleet::Delivers(size_t from, size_t to) {
  if (is_partitioned_ && is_partitioned_(from, to))
    return false;
  return options_.loss <= 0 || Chance() >= options_.loss;
}

base::Duration GossipFleet::Delay(size_t from, size_t to) {
  base::Duration delay = kLocalDelay;
  const size_t a = RegionOf(from);
  const size_t b = RegionOf(to);
  if (a != b)
    delay = kFarDelay + kFarDelayStep * (a > b ? a - b : b - a);
  else if (DataCentreOf(from) != DataCentreOf(to))
    delay = kRegionDelay;
  if (options_.jitter.count() > 0)
    delay += base::Duration(static_cast<base::Duration::rep>(
        Chance() * static_cast<double>(options_.jitter.count())));
  return delay;
}

double GossipFleet::Chance() {
  return std::uniform_real_distribution<>(0, 1)(random_);
}

void GossipFleet::Kill(size_t slot) {
  slots_[slot].gossip.reset();
  slots_[slot].timer = {};
}

void GossipFleet::Leave(size_t slot) {
  GossipOutput output;
  slots_[slot].gossip->Leave(output);
  Apply(slot, output);
  Kill(slot);
}

void GossipFleet::Freeze(size_t slot) {
  slots_[slot].frozen = true;
}

void GossipFleet::Resume(size_t slot) {
  Slot& node = slots_[slot];
  node.frozen = false;
  node.timer = {};
  GossipOutput output;
  node.gossip->Run(now_, output);
  Apply(slot, output);
  for (auto& [from, bytes] : std::exchange(node.pending_datagrams, {})) {
    GossipOutput received;
    node.gossip->Receive(now_, from, bytes, received);
    Apply(slot, received);
  }
}

void GossipFleet::Start(size_t slot, size_t seed) {
  StartWithoutSeed(slot);
  ContactSeed(slot, seed);
}

void GossipFleet::StartWithoutSeed(size_t slot) {
  Kill(slot);
  AddGossip(slot);
}

void GossipFleet::ContactSeed(size_t slot, size_t seed) {
  GossipOutput output;
  slots_[slot].gossip->Contact(now_, AddressOf(seed), output);
  Apply(slot, output);
}

void GossipFleet::Drain(size_t slot) {
  Slot& node = slots_[slot];
  node.member.server->draining = true;
  GossipOutput output;
  node.gossip->Update(now_, node.member, output);
  Apply(slot, output);
}

void GossipFleet::Depart(size_t slot, const base::ServerDeparture& departure) {
  Slot& node = slots_[slot];
  node.member.departure = departure;
  GossipOutput output;
  node.gossip->Update(now_, node.member, output);
  Apply(slot, output);
}

void GossipFleet::AnnounceRevision(size_t slot, uint64_t revision) {
  GossipOutput output;
  slots_[slot].gossip->AnnounceRevision(now_, revision, output);
  Apply(slot, output);
}

void GossipFleet::ReadEvacuations(size_t slot,
                                  const evacuation::Evacuations& read) {
  GossipOutput output;
  slots_[slot].gossip->OnEvacuationsRead(now_, read, output);
  Apply(slot, output);
}

void GossipFleet::CrashServer(
    size_t slot,
    uint32_t life,
    const std::vector<quarantine::RunningRequest>& running) {
  Slot& node = slots_[slot];
  std::vector<base::RequestFingerprint> fingerprints;
  for (const auto& evidence :
       node.ledger->AddCrash({{node.member.id, life}, running}, now_)) {
    fingerprints.push_back(evidence.fingerprint);
  }
  GossipOutput output;
  node.gossip->AnnounceEvidence(now_, fingerprints, output);
  Apply(slot, output);
}

void GossipFleet::Refute(size_t slot, base::RequestFingerprint fingerprint) {
  GossipOutput output;
  if (slots_[slot].ledger->Refute(fingerprint, now_))
    slots_[slot].gossip->AnnounceEvidence(now_, {&fingerprint, 1}, output);
  Apply(slot, output);
}

void GossipFleet::Inject(size_t slot, const std::string& datagram) {
  Schedule(now_, Kind::kDatagram, slot, slot, datagram);
}

bool GossipFleet::HasConverged() {
  size_t up = 0;
  uint64_t digest = 0;
  for (Slot& slot : slots_) {
    if (!slot.gossip || slot.frozen)
      continue;
    if (up++ == 0)
      digest = slot.gossip->table().digest();
    if (slot.gossip->table().digest() != digest)
      return false;
  }
  for (Slot& slot : slots_) {
    if (!slot.gossip || slot.frozen)
      continue;
    if (slot.gossip->table().live() + 1 != up)
      return false;
  }
  return true;
}

}  // namespace chestnutport::test
