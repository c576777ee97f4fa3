// Requests to servers on the hosted platform and their responses.
#include "platform/hosted_server_protocol.h"

#include <catch2/catch.hpp>

namespace chestnutport::platform {
namespace {

using net::FindHeader;
using server::ServerVerdict;

net::HttpAnswer Head(int status, net::HttpHeaders headers) {
  return {.status = status, .headers = std::move(headers), .body = ""};
}

TEST_CASE("a request carries the remaining time and the expected instance") {
  const HostedServerProtocol protocol;
  net::HttpRequest request{
      .method = "GET",
      .target = "/",
      .headers = {{"Request-Id", "r"}, {"Chestnutport-Attempt", "1-1"}}};
  protocol.Prepare(request, {std::chrono::microseconds(1234567), "i-1"});
  CHECK(FindHeader(request.headers, "Deadline-Ms") == "1234");
  CHECK(FindHeader(request.headers, "Expected-Instance") == "i-1");
  CHECK(FindHeader(request.headers, "Request-Id") == "r");
  CHECK(FindHeader(request.headers, "Chestnutport-Attempt").empty());
}

TEST_CASE("a successful response needs a signature") {
  const HostedServerProtocol protocol;
  CHECK(protocol.ClassifyResponse(Head(200, {{"Response-Signature", "s"}})) ==
        ServerVerdict::kAnswered);
  CHECK(protocol.ClassifyResponse(Head(200, {})) == ServerVerdict::kUnusable);
  CHECK(protocol.ClassifyResponse(Head(200, {{"Response-Signature", "s"},
                                             {"Content-Encoding", "gzip"}})) ==
        ServerVerdict::kUnusable);
  CHECK(protocol.ClassifyResponse(Head(500, {})) == ServerVerdict::kAnswered);
}

TEST_CASE("a rejection needs the Not-Executed header") {
  const HostedServerProtocol protocol;
  const int status = GENERATE(503, 429, 408);
  CHECK(protocol.ClassifyResponse(Head(status, {{"Not-Executed", "1"}})) ==
        ServerVerdict::kShed);
  // If forwarded, the status would guarantee that the request did not run.
  CHECK(protocol.ClassifyResponse(Head(status, {})) ==
        ServerVerdict::kUnusable);
  CHECK(protocol.ClassifyResponse(Head(421, {{"Instance-Id", "i-2"}})) ==
        ServerVerdict::kOtherInstance);
}

TEST_CASE("the load includes the slowness of the VM if the server reports it") {
  const HostedServerProtocol protocol;
  const auto load = protocol.Load({{"Instance-Load", "3,1,8,400"}});
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  CHECK(load->slowness == 4);
  CHECK(protocol.Load({{"Instance-Load", "3, 0, 8"}})->slowness == 1);
  CHECK_FALSE(protocol.Load({{"Instance-Load", "3,8"}}));
  CHECK_FALSE(protocol.Load({{"Instance-Load", "a,b,c"}}));
  CHECK_FALSE(protocol.Load({}));
}

TEST_CASE("a server states its rate limit and that it leaves") {
  const HostedServerProtocol protocol;
  const auto limit = [&](const net::HttpHeaders& headers) {
    return protocol.Notice(headers).rate_limit;
  };
  CHECK_FALSE(limit({}));
  CHECK(limit({{"Server-Limit", "14.2"}}) == 14.2);
  CHECK(limit({{"Server-Limit", " 0 "}}) == 0);

  SECTION("the lowest of several limits applies") {
    CHECK(limit({{"Server-Limit", "9"}, {"Server-Limit", "4"}}) == 4);
    CHECK(limit({{"Server-Limit", "none"}, {"Server-Limit", "4"}}) == 4);
  }
  SECTION("what is no rate is invalid") {
    for (const std::string& text :
         {std::string(), std::string("-1"), std::string("nan"),
          std::string("inf"), std::string("1,5"), std::string("many"),
          std::string(400, '9')}) {
      INFO(text);
      const auto notice = protocol.Notice({{"Server-Limit", text}});
      CHECK_FALSE(notice.rate_limit);
      CHECK(notice.is_rate_limit_invalid);
    }
  }
  SECTION("only 1 says that it leaves") {
    CHECK(protocol.Notice({{"Server-Leaving", "1"}}).is_leaving);
    CHECK_FALSE(protocol.Notice({{"Server-Leaving", "0"}}).is_leaving);
    CHECK_FALSE(protocol.Notice({}).is_leaving);
  }
}

}  // namespace
}  // namespace chestnutport::platform
