// Who goes first when several wait.
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "admission/fair_queue.h"

namespace chestnutport::admission {
namespace {

using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};

class Waiting {
 public:
  explicit Waiting(const TrafficShares& shares) : queue_(shares) {}

  void Add(const std::string& traffic_class,
           const std::string& tenant,
           int deadline_ms,
           int times = 1) {
    const FlowId flow = queue_.FlowFor(traffic_class, tenant);
    for (int i = 0; i < times; ++i) {
      queue_.Push({{1, ++last_}, flow, kStart + milliseconds(deadline_ms)});
      names_[last_] = traffic_class + tenant;
    }
  }

  std::string Next() {
    const auto next = queue_.Pop();
    return next ? names_[next->attempt.sequence] : "";
  }

  std::map<std::string, int> Next(int times) {
    std::map<std::string, int> counts;
    for (int i = 0; i < times; ++i)
      ++counts[Next()];
    return counts;
  }

  FairQueue& queue() { return queue_; }

 private:
  FairQueue queue_;
  uint64_t last_ = 0;
  std::map<uint64_t, std::string> names_;
};

TEST_CASE("tenants share a server by their weights") {
  Waiting waiting({{}, {{"firm-a", 3}, {"firm-b", 1}}});
  waiting.Add("", "firm-a", 100, 400);
  waiting.Add("", "firm-b", 100, 400);
  waiting.Add("", "other", 100, 400);

  SECTION("each gets its share while all wait") {
    auto counts = waiting.Next(500);
    CHECK(counts["firm-a"] == Approx(300).margin(3));
    CHECK(counts["firm-b"] == Approx(100).margin(3));
    CHECK(counts["other"] == Approx(100).margin(3));
  }

  SECTION("a tenant with dear requests gets fewer of them") {
    for (int i = 0; i < 200; ++i) {
      waiting.queue().OnServed(waiting.queue().FlowFor("", "firm-b"),
                               milliseconds(10));
      waiting.queue().OnServed(waiting.queue().FlowFor("", "other"),
                               milliseconds(40));
    }
    auto counts = waiting.Next(300);
    CHECK(counts["firm-b"] == Approx(4 * counts["other"]).margin(5));
  }

  SECTION("a share that changes takes effect for those that wait") {
    waiting.queue().SetShares({{}, {{"firm-b", 3}}});
    auto counts = waiting.Next(500);
    CHECK(counts["firm-b"] == Approx(300).margin(3));
  }

  SECTION("the one that has most for its share is pushed out first") {
    waiting.Add("", "firm-b", 900);
    const auto last = waiting.queue().PopMostOverShare();
    CHECK(last->deadline == kStart + milliseconds(900));
  }

  SECTION("nothing is held back once only one is left") {
    waiting.Next(1199);
    CHECK(waiting.queue().size() == 1);
    CHECK_FALSE(waiting.Next().empty());
    CHECK(waiting.Next().empty());
  }
}

TEST_CASE("urgent classes go first, and the last one does not starve") {
  Waiting waiting({{{"bulk", 9}, {"flood-watch", 1}}, {}});
  waiting.Add("bulk", "x", 100, 300);
  waiting.Next(100);

  SECTION("an urgent request overtakes all that wait") {
    waiting.Add("flood-watch", "y", 5000);
    CHECK(waiting.Next() == "flood-watchy");
  }

  SECTION("under a flood of urgent ones the others still move") {
    waiting.Add("flood-watch", "y", 100, 300);
    auto counts = waiting.Next(180);
    CHECK(counts["bulkx"] == Approx(20).margin(2));
  }

  SECTION("a request without a class counts as the least urgent") {
    waiting.Add("", "z", 5000);
    CHECK(waiting.Next() != "flood-watchy");
  }
}

TEST_CASE("within a flow the earliest deadline goes first") {
  Waiting waiting({});
  for (const int deadline : {300, 100, 200})
    waiting.Add("", "a", deadline);
  CHECK_FALSE(waiting.queue().PopExpired(kStart));
  CHECK(waiting.queue().PopExpired(kStart + milliseconds(100)));
  CHECK(waiting.queue().Pop()->deadline == kStart + milliseconds(200));
}

TEST_CASE("invented tenants cannot grow memory") {
  Waiting waiting({});
  for (int i = 0; i < 10000; ++i)
    waiting.queue().FlowFor("", "tenant" + std::to_string(i));
  CHECK(waiting.queue().flows() <= 257);
}

}  // namespace
}  // namespace chestnutport::admission
