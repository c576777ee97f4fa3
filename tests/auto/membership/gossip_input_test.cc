// Untrusted input: foreign, damaged, replayed and newer datagrams.
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <msgpack.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::test {
namespace {

using membership::DatagramAuthenticator;
using membership::GossipMessage;
using membership::MemberRecord;
using membership::MemberState;
using membership::MemberUpdate;
using membership::MessageType;

constexpr char kKey[] = "0123456789abcdef";

GossipMessage FalseLeaveMessage(GossipFleet& fleet) {
  return {.type = MessageType::kUpdate,
          .sender = fleet.member(1).id,
          .incarnation = 1,
          .hash = fleet.gossip(1).table().Find(fleet.member(1).id)->hash,
          .revision = 9,
          .updates = {{fleet.member(2).id, 1, MemberState::kLeft, 0, ""}}};
}

TEST_CASE("a datagram is authenticated by its tag") {
  GossipFleet fleet({.members = 3});
  const std::string message = FalseLeaveMessage(fleet).Encode();
  const auto state_at_0 = [&] {
    return fleet.gossip(0).table().Find(fleet.member(2).id)->state;
  };

  SECTION("a datagram of this fleet is accepted") {
    fleet.Inject(0, DatagramAuthenticator("fleet", kKey, "").Sign(message));
    fleet.RunFor(base::Duration(1));
    CHECK(state_at_0() == MemberState::kLeft);
  }
  SECTION("a datagram of another fleet or key, or without a tag, is ignored") {
    const uint64_t digest = fleet.gossip(0).table().digest();
    fleet.Inject(0, DatagramAuthenticator("other", kKey, "").Sign(message));
    fleet.Inject(
        0,
        DatagramAuthenticator("fleet", "fedcba9876543210", "").Sign(message));
    fleet.Inject(0, message);
    fleet.Inject(0, "");
    fleet.RunFor(base::Duration(1));
    CHECK(fleet.gossip(0).table().digest() == digest);
    CHECK(fleet.gossip(0).counters().unauthenticated == 4);
  }
  SECTION("a datagram with malformed evidence is accepted without it") {
    GossipMessage damaged = FalseLeaveMessage(fleet);
    damaged.evidence_digest = 1;
    damaged.evidence = "\xc1";
    fleet.Inject(
        0, DatagramAuthenticator("fleet", kKey, "").Sign(damaged.Encode()));
    fleet.RunFor(base::Duration(1));
    CHECK(state_at_0() == MemberState::kLeft);
    CHECK(fleet.gossip(0).counters().malformed == 1);
  }
  SECTION("a datagram with the previous key is accepted during a key change") {
    const DatagramAuthenticator receiver("fleet", "fedcba9876543210", kKey);
    CHECK(receiver.Verify(
              DatagramAuthenticator("fleet", kKey, "").Sign(message)) ==
          message);
  }
}

TEST_CASE("a replayed update does not remove a member again") {
  GossipFleet fleet({.members = 3});
  const std::string false_leave = DatagramAuthenticator("fleet", kKey, "")
                                      .Sign(FalseLeaveMessage(fleet).Encode());
  fleet.Inject(0, false_leave);
  REQUIRE(fleet.RunUntil(
      [&] {
        return fleet.gossip(2).incarnation() == 2 && fleet.HasConverged();
      },
      std::chrono::seconds(20)));
  fleet.Inject(0, false_leave);
  fleet.RunFor(std::chrono::milliseconds(1));
  CHECK(fleet.HasConverged());
}

TEST_CASE("fields of a newer version are preserved") {
  GossipFleet fleet({.members = 3});
  const MemberRecord known = MemberRecord::Encode(fleet.member(0));
  std::string newer = known.bytes;
  // The first byte of the map holds the number of fields in its low four bits.
  newer[0] = static_cast<char>(newer[0] + 1);
  newer += "\x65\xA3new";
  const auto decoded = MemberRecord::Decode(newer);
  REQUIRE(decoded);
  CHECK(decoded->member == known.member);
  CHECK(decoded->bytes == newer);

  SECTION("elements appended to a message are ignored") {
    std::string message = FalseLeaveMessage(fleet).Encode();
    message[0] = static_cast<char>(message[0] + 1);
    message += "\xA3new";
    CHECK(GossipMessage::Decode(message));
  }
}

TEST_CASE("the record of a member carries whether it lost the store") {
  GossipFleet fleet({.members = 1});
  membership::Member member = fleet.member(0);
  for (const bool has_lost_store : {false, true}) {
    member.has_lost_store = has_lost_store;
    const auto decoded =
        MemberRecord::Decode(MemberRecord::Encode(member).bytes);
    REQUIRE(decoded);
    CHECK(decoded->member.has_lost_store == has_lost_store);
    CHECK(membership::Member::FromJson(member.ToJson()) == member);
  }
}

TEST_CASE("damaged input is dropped") {
  rc::prop("a decoded message equals the encoded one", [] {
    const auto address = *rc::gen::arbitrary<uint32_t>();
    GossipMessage message{.type = MessageType::kPing,
                          .sender = {*rc::gen::nonZero<uint64_t>()},
                          .incarnation = *rc::gen::arbitrary<uint64_t>(),
                          .revision = *rc::gen::arbitrary<uint64_t>(),
                          .subject = {*rc::gen::arbitrary<uint64_t>()},
                          .sequence = *rc::gen::arbitrary<uint32_t>(),
                          .address = {address, 7},
                          .updates = {{{*rc::gen::nonZero<uint64_t>()},
                                       *rc::gen::arbitrary<uint64_t>(),
                                       MemberState::kSuspected,
                                       *rc::gen::arbitrary<uint32_t>(),
                                       *rc::gen::arbitrary<std::string>()}}};
    const auto read = GossipMessage::Decode(message.Encode());
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->sender == message.sender);
    RC_ASSERT(read->address == message.address);
    RC_ASSERT(read->updates == message.updates);
  });

  rc::prop("mutated messages and pulls with a valid tag never crash", [] {
    GossipFleet fleet({.members = 3});
    const auto mutate = [](std::string bytes) {
      const auto places = *rc::gen::container<std::vector<size_t>>(
          8, rc::gen::inRange<size_t>(0, bytes.size()));
      for (const size_t place : places)
        bytes[place] = *rc::gen::arbitrary<char>();
      return bytes.substr(0, *rc::gen::inRange<size_t>(0, bytes.size() + 1));
    };
    GossipMessage message = FalseLeaveMessage(fleet);
    message.updates[0].record = MemberRecord::Encode(fleet.member(2)).bytes;
    const DatagramAuthenticator authenticator("fleet", kKey, "");
    fleet.Inject(0, authenticator.Sign(mutate(message.Encode())));
    membership::PullRequest request{fleet.member(1).id};
    const std::string answer =
        fleet.gossip(0).AnswerPull(fleet.now(), request.Encode());
    fleet.gossip(0).AnswerPull(fleet.now(), mutate(request.Encode()));
    membership::GossipOutput output;
    fleet.gossip(1).OnPullResponse(fleet.now(), mutate(answer), output);
    MemberRecord::Decode(mutate(message.updates[0].record));
    fleet.RunFor(std::chrono::seconds(1));
  });
}

}  // namespace
}  // namespace chestnutport::test
