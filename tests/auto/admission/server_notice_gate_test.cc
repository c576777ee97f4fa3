// A gate whose server states a rate limit, or that it leaves, in its responses,
// and senders that pass on what an earlier process of the node told them.
#include <catch2/catch.hpp>

#include "support/gate_fixture.h"
#include "wire/header_names.h"
#include "wire/peer_server_notice.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;

// Fewer than the slots and the queue of the gate hold.
constexpr int kRequests = 30;
// One and a quarter of a second of the stated rate.
constexpr size_t kBurst = 2;

// Starts more requests than the server accepts, and waits until the gate has
// refused the rest or queued them.
void BeginMany(GateFixture& fixture) {
  for (int i = 0; i < kRequests; ++i)
    fixture.Begin("GET", milliseconds(100));
  const size_t expected = fixture.results.size() + kRequests;
  REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == expected; }));
}

uint64_t RateLimited(const GateFixture& fixture) {
  const auto& attempts = fixture.metrics().attempts();
  uint64_t count = 0;
  for (const auto& series : attempts.Copy(0, attempts.size()).series)
    count += series.rate_limited;
  return count;
}

TEST_CASE("a server of the native protocol states a rate limit") {
  GateFixture fixture;
  fixture.answer.headers = {{"Chestnutport-Rate-Limit", "1"}};
  fixture.Run("GET");

  SECTION("it gets no more requests") {
    const size_t before = fixture.served.size();
    BeginMany(fixture);
    CHECK(fixture.served.size() <= before + kBurst);
    SECTION("and the metrics count what it did not get") {
      const auto refused = before + kRequests - fixture.served.size();
      CHECK(RateLimited(fixture) == refused);
    }
    SECTION("until it is a new incarnation") {
      fixture.answer.headers.clear();
      ++fixture.state.life;
      fixture.Apply();
      const size_t limited = fixture.served.size();
      BeginMany(fixture);
      CHECK(fixture.served.size() == limited + kRequests);
    }
  }
  SECTION("callers do not get the header") {
    CHECK(net::FindHeader(fixture.results[1].answer.headers,
                          "Chestnutport-Rate-Limit")
              .empty());
  }
}

TEST_CASE("a gate that has just started gets a notice with a request") {
  GateFixture fixture;
  fixture.state.instance = "i-1";
  ++fixture.state.life;
  fixture.Apply();
  fixture.is_silent = true;
  const auto pass_on = [&](const std::string& instance) {
    fixture.passed_on = wire::PeerServerNotice{.instance = instance,
                                               .notice = {.rate_limit = 1},
                                               .age = std::chrono::seconds(3)};
  };

  SECTION("the limit applies from that request on") {
    pass_on("i-1");
    BeginMany(fixture);
    CHECK(fixture.served.size() <= kBurst);
    SECTION("and is passed on with refusals") {
      const auto notice = wire::PeerServerNotice::FromHeader(
          net::FindHeader(fixture.results[kRequests].answer.headers,
                          wire::kServerNoticeHeader));
      REQUIRE(notice);
      CHECK(notice->instance == "i-1");
      CHECK(notice->notice.rate_limit == 1);
      CHECK(notice->age >= std::chrono::seconds(3));
    }
  }
  SECTION("a notice of another instance does not apply") {
    pass_on("i-0");
    BeginMany(fixture);
    CHECK(fixture.served.size() > kBurst);
  }
  SECTION("a notice does not apply once the server has responded") {
    fixture.is_silent = false;
    fixture.Run("GET");
    pass_on("i-1");
    const size_t before = fixture.served.size();
    BeginMany(fixture);
    CHECK(fixture.served.size() == before + kRequests);
  }
}

TEST_CASE("a server of the native protocol states that it is leaving") {
  GateFixture fixture;
  fixture.answer.headers = {{"Chestnutport-Leaving", "1"}};
  CHECK(Outcome(fixture.Run("GET")) == "answered");

  SECTION("it gets no more requests, and the control thread is told") {
    CHECK(Error(fixture.Run("GET")) == "draining");
    CHECK(fixture.served.size() == 1);
    CHECK(fixture.report.is_leaving);
  }
  SECTION("also after a change that has nothing to do with it") {
    fixture.state.admission.slots = 3;
    fixture.Apply();
    CHECK(Error(fixture.Run("GET")) == "draining");
  }
  SECTION("until it is a new incarnation") {
    fixture.answer.headers.clear();
    ++fixture.state.life;
    fixture.Apply();
    CHECK(Outcome(fixture.Run("GET")) == "answered");
  }
  SECTION("until it undrains itself") {
    fixture.answer.headers.clear();
    fixture.state.draining = true;
    fixture.Apply();
    fixture.state.draining = false;
    fixture.Apply();
    CHECK(Outcome(fixture.Run("GET")) == "answered");
  }
}

TEST_CASE("a sender has passed on that a server is leaving") {
  GateFixture fixture;
  fixture.state.instance = "i-1";
  fixture.state.started_at = milliseconds(1000);
  ++fixture.state.life;
  fixture.Apply();
  const auto pass_on = [&](const std::string& instance, int started_at) {
    fixture.passed_on =
        wire::PeerServerNotice{.instance = instance,
                               .started_at = milliseconds(started_at),
                               .notice = {.is_leaving = true},
                               .age = std::chrono::seconds(3)};
  };

  SECTION("its requests are refused by a gate that has not heard it") {
    pass_on("i-1", 1000);
    CHECK(Error(fixture.Run("GET")) == "draining");
    CHECK(fixture.served.empty());
    SECTION("also an inquiry for capacity") {
      CHECK(Error(fixture.InquireCapacity()) == "draining");
    }
    SECTION("those of other senders are not") {
      fixture.passed_on.reset();
      CHECK(Outcome(fixture.Run("GET")) == "answered");
    }
  }
  SECTION("a request that was sent to the server is not reported as not run") {
    fixture.is_silent = true;
    const base::AttemptId attempt = fixture.Begin("GET");
    REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));
    pass_on("i-1", 1000);
    CHECK(Outcome(fixture.Repeat(attempt)) != "not-run");
  }
  SECTION("its requests run if the server has started again since") {
    pass_on("i-1", 999);
    CHECK(Outcome(fixture.Run("GET")) == "answered");
  }
}

}  // namespace
}  // namespace chestnutport::test
