// The RPC that queries or cancels an attempt.
#include "gate/attempt_control_calls.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "rpc/call_codec.h"
#include "traffic/peer_paths.h"

namespace chestnutport::gate {
namespace {

using admission::AttemptState;
using nlohmann::json;

TEST_CASE("a call of another node is decoded and answered") {
  std::optional<AttemptControlRequest> asked;
  AttemptState state = AttemptState::kNeverRuns;
  AttemptControlCalls calls([&](const AttemptControlRequest& request) {
    asked = request;
    return state;
  });
  const base::AttemptId attempt{3, 7};
  json params = {{"attempt", attempt.ToString()}};
  const auto answer = [&] {
    const auto sent =
        calls.Answer(rpc::EncodeCall(traffic::kSettleMethod, params.dump()));
    return json::parse(sent.body);
  };

  SECTION("it cancels and stops by default") {
    CHECK(answer()["result"]["never_runs"] == true);
    REQUIRE(asked);
    CHECK(asked->attempt == attempt);
    CHECK(asked->cancel);
    CHECK(asked->stop_running);
  }
  SECTION("it may only query") {
    params["cancel"] = false;
    state = AttemptState::kRunning;
    const json got = answer();
    CHECK(got["result"]["state"] == std::string(ToString(state)));
    CHECK(got["result"]["never_runs"] == false);
    CHECK_FALSE(asked->cancel);
  }
  SECTION("it may let a running attempt go on") {
    params["stop_running"] = false;
    answer();
    CHECK(asked->cancel);
    CHECK_FALSE(asked->stop_running);
  }
  SECTION("a call without a valid attempt does nothing") {
    params["attempt"] = GENERATE(json("no name"), json(7), json());
    CHECK(answer().contains("error"));
    CHECK_FALSE(asked);
  }
}

}  // namespace
}  // namespace chestnutport::gate
