#include "membership/gossip.h"

#include <algorithm>
#include <utility>

namespace chestnutport::membership {
namespace {

// How long members that left are kept. Such a member cannot return, but another
// node may start at its address, and old updates may still be in transit.
constexpr std::chrono::minutes kLeftRetention(2);
// A member whose record no node could supply in this time is removed.
constexpr std::chrono::seconds kRecordTimeout(30);
// A revision not fetched in this time is reported again, with another source.
constexpr std::chrono::milliseconds kRevisionReportInterval(500);

}  // namespace

Gossip::Gossip(const Member& self,
               const GossipOptions& options,
               DatagramAuthenticator authenticator,
               RecordCache& records,
               quarantine::CrashLedger& ledger,
               const base::Random& random,
               base::Instant now)
    : options_(options),
      authenticator_(std::move(authenticator)),
      records_(records),
      random_(random),
      self_(self.id),
      data_centre_(self.data_centre),
      table_(self.id, self.data_centre),
      evidence_(ledger, options, now),
      budget_(options.bytes_per_second, options.burst_bytes, now),
      acks_(options.acks_per_second, 2 * options.acks_per_second, now),
      last_sequence_(static_cast<uint32_t>(random_())),
      probe_turn_(static_cast<unsigned>(random_())),
      next_probe_(now + std::uniform_int_distribution<base::Duration::rep>(
                            0,
                            options.probe_interval.count())(random_) *
                            base::Duration(1)),
      next_flush_(now),
      next_sweep_(now),
      next_pull_(now) {
  const SharedRecord record = records_.Intern(MemberRecord::Encode(self).bytes);
  table_.Put({.id = self_,
              .incarnation = incarnation_,
              .record = record,
              .hash = record->hash});
  updates_.Push(self_, true, options_.retransmissions);
}

base::Instant Gossip::NextRun() const {
  base::Instant next = next_probe_;
  for (const Probe& probe : probes_)
    next = std::min(next, probe.deadline);
  if (updates_.HasUnsent())
    next = std::min(next, next_flush_);
  if (evidence_.HasUnsent())
    next = std::min(next, evidence_.next_flush());
  return next;
}

void Gossip::Run(base::Instant now, GossipOutput& output) {
  if (has_left_)
    return;
  CompensateForPause(now);
  ExpireProbes(now, output);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.probe_interval, now);
    ProbeNext(now, output);
    ProbeDoubted(now, output);
    PingAbsent(output);
    ExpireSuspicions(now, output);
    RemoveExpired(now);
  }
  if (updates_.HasUnsent() && now >= next_flush_)
    Flush(now, output);
  if (evidence_.HasUnsent() && now >= evidence_.next_flush())
    FlushEvidence(now, output);
  PullIfDue(now, output);
}

void Gossip::Receive(base::Instant now,
                     const base::SocketAddress& from,
                     std::string_view datagram,
                     GossipOutput& output) {
  if (has_left_)
    return;
  const auto payload = authenticator_.Verify(datagram);
  if (!payload) {
    ++counters_.unauthenticated;
    return;
  }
  const auto message = GossipMessage::Decode(*payload);
  if (!message) {
    ++counters_.malformed;
    return;
  }
  if (message->sender == self_)
    return;
  last_contact_ = now;
  const bool was_unknown = table_.Find(message->sender) == nullptr;
  ApplyUpdate(now,
              {message->sender, message->incarnation, MemberState::kAlive,
               message->hash, ""},
              Source::kDatagram, output);
  const MemberEntry* sender = table_.Find(message->sender);
  // A member that was declared gone has to refute that first; until then only
  // its updates on this node and on itself are accepted.
  const bool is_trusted = sender && sender->IsLive();
  for (const MemberUpdate& item : message->updates) {
    if (is_trusted || item.id == self_ || item.id == message->sender)
      ApplyUpdate(now, item, Source::kDatagram, output);
  }
  if (is_trusted) {
    table_.SetRevision(message->sender, message->revision);
    HandleRevision(now, *message, output);
    MergeEvacuations(now, message->evacuations, output);
    MergeEvidence(now, message->evidence, true, output);
    CompareDigest(now, *message);
  }
  switch (message->type) {
    case MessageType::kPing:
      AnswerPing(now, from, *message, was_unknown, output);
      break;
    case MessageType::kAck:
    case MessageType::kWrongTarget:
      OnAck(now, *message, output);
      break;
    case MessageType::kPingRequest:
      if (is_trusted)
        OnPingRequest(now, from, *message, output);
      break;
    case MessageType::kUpdate:
      break;
  }
  // A node that is known to others may have no record of any of them, as probes
  // carry none. The answer to a join does.
  if (table_.live() == 0)
    Contact(now, from, output);
}

void Gossip::Contact(base::Instant now,
                     const base::SocketAddress& address,
                     GossipOutput& output) {
  GossipMessage ping = MakeMessage(MessageType::kPing, {});
  ping.sequence = ++last_sequence_;
  ping.updates.push_back(MakeUpdate(*table_.Find(self_), true));
  SendWithUpdates(now, address, std::move(ping), output);
}

void Gossip::Update(base::Instant now,
                    const Member& self,
                    GossipOutput& output) {
  const SharedRecord record = records_.Intern(MemberRecord::Encode(self).bytes);
  if (has_left_ || !record || record == table_.Find(self_)->record)
    return;
  ++incarnation_;
  ReplaceEntry({.id = self_,
                .incarnation = incarnation_,
                .revision = revision_,
                .record = record,
                .hash = record->hash},
               output);
  EnqueueUpdate(now, self_, true);
  Flush(now, output);
}

void Gossip::AnnounceRevision(base::Instant now,
                              uint64_t revision,
                              GossipOutput& output) {
  if (has_left_ || revision <= revision_)
    return;
  revision_ = revision;
  table_.SetRevision(self_, revision);
  reported_revision_ = std::max(reported_revision_, revision);
  const GossipMessage message = MakeMessage(MessageType::kUpdate, {});
  budget_.HasTokens(now);
  FanOut(message, options_.fleet_fan_out, budget_, output);
}

void Gossip::Leave(GossipOutput& output) {
  if (std::exchange(has_left_, true))
    return;
  MemberUpdate item = MakeUpdate(*table_.Find(self_), false);
  item.state = MemberState::kLeft;
  GossipMessage message = MakeMessage(MessageType::kUpdate, {});
  message.updates.push_back(item);
  for (size_t i = 0; i < options_.leave_fan_out; ++i) {
    const bool local = i % 2 == 0 && !table_.local().empty();
    if (const MemberEntry* to = table_.PickLive(local, random_))
      Send(to->record->member.gossip_address, message, output);
  }
}

std::vector<Member> Gossip::Members() const {
  std::vector<Member> members;
  members.reserve(table_.live() + 1);
  for (const MemberEntry& entry : table_.entries()) {
    if (entry.IsLive() && entry.record)
      members.push_back(entry.ToMember());
  }
  return members;
}

void Gossip::ApplyUpdate(base::Instant now,
                         const MemberUpdate& item,
                         Source source,
                         GossipOutput& output) {
  if (item.id == self_) {
    ApplySelfUpdate(now, item);
    return;
  }
  // Ignored: a node declares members gone only after its own suspicion timeout.
  if (item.state == MemberState::kGone)
    return;
  SharedRecord record;
  if (!item.record.empty()) {
    record = records_.Intern(item.record);
    if (!record || record->hash != item.hash || record->member.id != item.id)
      return;
  }
  const MemberEntry* old = table_.Find(item.id);
  const bool is_newer =
      !old || item.incarnation > old->incarnation ||
      (item.incarnation == old->incarnation && item.state > old->state);
  const bool is_missing_record =
      old && record && !old->IsCurrent() && old->hash == item.hash;
  if (!is_newer && !is_missing_record)
    return;
  MemberEntry entry = old ? *old : MemberEntry{.id = item.id};
  if (is_newer) {
    entry.incarnation = item.incarnation;
    entry.state = item.state;
    entry.hash = item.hash;
  }
  if (record)
    entry.record = record;
  UpdateTimers(now, entry);
  ReplaceEntry(std::move(entry), output);
  if (source == Source::kDatagram)
    EnqueueUpdate(now, item.id, record != nullptr);
}

void Gossip::ApplySelfUpdate(base::Instant now, const MemberUpdate& item) {
  const bool is_false_claim = item.state != MemberState::kAlive
                                  ? item.incarnation >= incarnation_
                                  : item.incarnation > incarnation_;
  if (!is_false_claim || item.incarnation == UINT64_MAX)
    return;
  ++counters_.refuted;
  incarnation_ = item.incarnation + 1;
  MemberEntry entry = *table_.Find(self_);
  entry.incarnation = incarnation_;
  table_.Put(std::move(entry));
  EnqueueUpdate(now, self_, false);
}

void Gossip::HandleRevision(base::Instant now,
                            const GossipMessage& message,
                            GossipOutput& output) {
  if (message.revision <= revision_)
    return;
  const MemberEntry* sender = table_.Find(message.sender);
  const bool is_due = message.revision > reported_revision_ ||
                      now - revision_reported_at_ >= kRevisionReportInterval;
  if (!is_due || !sender->record)
    return;
  reported_revision_ = std::max(reported_revision_, message.revision);
  revision_reported_at_ = now;
  output.revision = {message.revision, sender->ToMember()};
}

void Gossip::SetState(base::Instant now,
                      base::NodeId id,
                      MemberState state,
                      GossipOutput& output) {
  const MemberEntry* old = table_.Find(id);
  if (!old || old->state >= state)
    return;
  MemberEntry entry = *old;
  entry.state = state;
  UpdateTimers(now, entry);
  ReplaceEntry(std::move(entry), output);
}

void Gossip::UpdateTimers(base::Instant now, const MemberEntry& entry) {
  if (entry.state == MemberState::kSuspected)
    suspicions_.try_emplace(entry.id, now + options_.suspicion_timeout);
  else
    suspicions_.erase(entry.id);
  if (entry.state == MemberState::kLeft) {
    remove_at_[entry.id] = now + kLeftRetention;
  } else if (entry.state == MemberState::kGone) {
    remove_at_[entry.id] = now + options_.gone_retention;
  } else if (!entry.IsCurrent()) {
    lacks_records_ = true;
    remove_at_[entry.id] = now + kRecordTimeout;
  } else {
    remove_at_.erase(entry.id);
  }
}

void Gossip::ReplaceEntry(MemberEntry entry, GossipOutput& output) {
  const MemberEntry* old = table_.Find(entry.id);
  const bool was_visible = old && old->IsLive() && old->record;
  const bool is_visible = entry.IsLive() && entry.record;
  if (was_visible || is_visible) {
    output.changes.push_back(
        {entry.ToMember(), was_visible ? old->state : MemberState::kGone});
  }
  const MemberEntry* self = table_.Find(self_);
  if (IsPredecessorAt(entry, self_, self->record->member.gossip_address))
    output.predecessors.push_back(entry.ToMember());
  table_.Put(std::move(entry));
}

bool Gossip::IsPredecessorAt(const MemberEntry& entry,
                             base::NodeId id,
                             const base::SocketAddress& address) {
  return entry.id != id && entry.record && entry.record->member.departure &&
         entry.record->member.gossip_address == address;
}

}  // namespace chestnutport::membership
