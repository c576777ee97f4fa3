// Guards against requests that are held for too long, started twice or never,
// and against requests beyond the limit that are started.
#include "ingress/tenant_admission.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "limits/share_allocator.h"
#include "net/http_server.h"
#include "support/raw_socket.h"

namespace chestnutport::ingress {
namespace {

using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kEpoch = 7;
const base::SocketAddress kVm{1, 7400};

class Admission {
 public:
  // Declares the tenant acme with a limit, and knows an allocator.
  Admission()
      : tenants(
            loop,
            base::NodeId{1},
            [this](HeldRequest held) { started.push_back(held.has_token); },
            [this](HeldRequest, ErrorKind error, base::Duration retry_after) {
              refused.push_back(error);
              retry = retry_after;
            }) {
    tenants.OnAsk([this](std::vector<limits::LimitRequest> requests) {
      for (limits::LimitRequest& request : requests)
        Answer(std::move(request));
    });
    const auto now = base::BootClock::now();
    allocator_.Start(kEpoch, {kVm}, std::nullopt, now - seconds(1));
    allocator_.SetAuthority(now + seconds(60), now);
    Declare(10);
    tenants.SetAllocator(kEpoch);
  }

  void Declare(double rate) {
    tenants.SetLimits(declarations::TenantDirectory(
        {{.name = "acme", .rate = rate, .burst = 4}}));
    allocator_.SetLimits(std::vector<limits::TenantLimit>{{"acme", rate, 4}},
                         base::BootClock::now() - seconds(1));
  }

  static HeldRequest Request(base::Duration remaining = seconds(1)) {
    HeldRequest held;
    held.request.remaining = remaining;
    held.request.tenant_account =
        RequestAccount{.name = "acme", .rate = 10, .burst = 4};
    held.arrived_at = base::Clock::now();
    return held;
  }

  // Runs the loop until so many requests are decided; at most two seconds.
  bool RunUntilDecided(size_t count) {
    const auto end = base::Clock::now() + seconds(2);
    const auto is_done = [&] {
      return started.size() + refused.size() >= count;
    };
    std::function<void()> check = [&] {
      if (is_done() || base::Clock::now() > end)
        loop.Stop();
      else
        loop.CallAfter(milliseconds(1), check);
    };
    loop.CallAfter({}, check);
    loop.Run();
    return is_done();
  }

  net::EventLoop loop;
  std::vector<bool> started;  // Whether each has a token.
  std::vector<ErrorKind> refused;
  base::Duration retry{};
  bool answers = true;  // Whether the allocator answers.
  TenantAdmission tenants;

 private:
  void Answer(limits::LimitRequest request) {
    request.vm = kVm;
    const auto answer = allocator_.OnRequest(request, base::BootClock::now());
    if (answers && answer)
      loop.Post([this, answer] { tenants.OnAnswer(*answer); });
  }

  limits::ShareAllocator allocator_;
};

TEST_CASE("a request without an account needs no token") {
  Admission admission;
  HeldRequest open = Admission::Request();
  SECTION("because it is public or nested") {
    open.request.tenant_account.reset();
  }
  SECTION("or because its tenant has no limit") {
    open.request.tenant_account->rate = 0;
  }
  admission.tenants.Admit(std::move(open));
  CHECK(admission.started == std::vector<bool>{false});
  CHECK(admission.tenants.View()[0].admitted == 0);
}

TEST_CASE("a request waits for the allocator's answer") {
  Admission admission;
  admission.tenants.Admit(Admission::Request());
  CHECK(admission.tenants.waiting() == 1);

  SECTION("and is started with a token, which is returned if it did not run") {
    REQUIRE(admission.RunUntilDecided(1));
    CHECK(admission.started == std::vector<bool>{true});
    CHECK(admission.tenants.waiting() == 0);
    admission.tenants.Refund("acme");
    CHECK(admission.tenants.View()[0].refunded == 1);
  }
  SECTION("and is started if the limit is removed meanwhile") {
    admission.Declare(0);
    CHECK(admission.started.size() == 1);
  }
}

TEST_CASE("requests beyond the limit are refused with the time to a token") {
  Admission admission;
  constexpr size_t kRequests = 30;
  for (size_t i = 0; i < kRequests; ++i)
    admission.tenants.Admit(Admission::Request());
  REQUIRE(admission.RunUntilDecided(kRequests));
  CHECK_FALSE(admission.started.empty());
  // The burst, and what the rate gives in the longest wait.
  CHECK(admission.started.size() <= 6);
  CHECK(admission.refused ==
        std::vector<ErrorKind>(kRequests - admission.started.size(),
                               ErrorKind::kRateLimited));
  CHECK(admission.retry > base::Duration::zero());
  CHECK(admission.retry <= seconds(1));
}

TEST_CASE("a request is not held for long without an answer") {
  Admission admission;
  admission.answers = false;
  const auto begin = base::Clock::now();

  SECTION("but refused after 100 ms") {
    admission.tenants.Admit(Admission::Request());
    REQUIRE(admission.RunUntilDecided(1));
    CHECK(admission.refused[0] == ErrorKind::kRateLimitUnknown);
    CHECK(base::Clock::now() - begin >= milliseconds(100));
  }
  SECTION("and not beyond its deadline") {
    admission.tenants.Admit(Admission::Request(milliseconds(20)));
    REQUIRE(admission.RunUntilDecided(1));
    CHECK(admission.refused[0] == ErrorKind::kDeadlineTooClose);
    // Is not decided a second time.
    CHECK_FALSE(admission.RunUntilDecided(2));
  }
  CHECK(admission.tenants.waiting() == 0);
}

TEST_CASE("a waiting request is forgotten when its caller is gone") {
  Admission admission;
  admission.answers = false;
  std::optional<test::RawSocket> caller;
  size_t held_at_first = 0;
  const auto server = net::HttpServer::Open(
      admission.loop, *base::SocketAddress::Parse("127.0.0.1:0"), {},
      [&](const net::HttpRequest&, net::Reply reply) {
        HeldRequest held = Admission::Request();
        held.reply = std::move(reply);
        admission.tenants.Admit(std::move(held));
        held_at_first = admission.tenants.waiting();
        caller->Close();
      });
  REQUIRE(server);
  caller.emplace(server.value()->address());
  caller->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_FALSE(admission.RunUntilDecided(1));
  CHECK(held_at_first == 1);
  CHECK(admission.tenants.waiting() == 0);
}

}  // namespace
}  // namespace chestnutport::ingress
