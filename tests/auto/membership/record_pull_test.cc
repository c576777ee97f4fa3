// Which members a node requests missing records from.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

constexpr base::Instant kStart = base::Instant(std::chrono::hours(1));

Member MakeMember(uint64_t id) {
  Member member;
  member.id = {id};
  member.name = "node-" + std::to_string(id);
  member.data_centre = "a";
  member.control_address = {static_cast<uint32_t>(id), 1};
  member.gossip_address = {static_cast<uint32_t>(id), 2};
  return member;
}

MemberUpdate MakeUpdate(const Member& member) {
  RecordCache records;
  const SharedRecord record =
      records.Intern(MemberRecord::Encode(member).bytes);
  return {member.id, 1, MemberState::kAlive, record->hash, record->bytes};
}

TEST_CASE("a record that the responder lacks as well") {
  const Member responder = MakeMember(2);
  RecordCache records;
  quarantine::CrashLedger ledger;
  Gossip gossip(MakeMember(1), {}, DatagramAuthenticator("fleet", "key", ""),
                records, ledger, base::Random(1), kStart);
  MemberUpdate unknown = MakeUpdate(MakeMember(9));
  unknown.record.clear();
  const PullResponse view{
      .sender = responder.id,
      .members = {MakeUpdate(responder), MakeUpdate(MakeMember(3)),
                  MakeUpdate(MakeMember(4)), unknown}};
  GossipOutput output;
  gossip.OnPullResponse(kStart, view.Encode(), output);
  REQUIRE(gossip.Members().size() == 4);

  SECTION("is requested from other members too") {
    std::set<std::string> to;
    base::Instant now = kStart;
    for (int i = 0; i < 40; ++i, now += std::chrono::milliseconds(100)) {
      for (const OutgoingPull& pull : output.pulls)
        to.insert(pull.control_address.ToString());
      const bool was_requested = !output.pulls.empty();
      output = {};
      if (was_requested) {
        const PullResponse nothing{.sender = responder.id};
        gossip.OnPullResponse(now, nothing.Encode(), output);
      }
      gossip.Run(now, output);
    }
    CHECK(to.size() > 1);
  }
}

}  // namespace
}  // namespace chestnutport::membership
