// Guards against a fault when a reply is used after its listener was destroyed.
#include <catch2/catch.hpp>
#include <thread>

#include "client_limits/listener_limits.h"
#include "net/http_server.h"
#include "support/http_caller.h"

namespace chestnutport::test {
namespace {

TEST_CASE("a listener is destroyed while a request awaits its response") {
  net::EventLoop loop;
  net::Reply pending_reply;
  auto opened = net::HttpServer::Open(
      loop, base::SocketAddress::Parse("127.0.0.1:0").value(),
      client_limits::ListenerLimits{},
      [&](const net::HttpRequest&, net::Reply reply) {
        pending_reply = std::move(reply);
        loop.Stop();
      });
  REQUIRE(opened);
  std::unique_ptr<net::HttpServer> server = std::move(opened).value();
  const base::SocketAddress address = server->address();
  http_client::TransferResult result;
  std::thread caller(
      [&] { result = SendAndWait(address, {.method = "GET", .target = "/"}); });
  loop.Run();

  SECTION("the connection is closed, and sending the reply has no effect") {
    server.reset();
    caller.join();
    CHECK(result.end == http_client::TransferEnd::kLost);
    CHECK(result.answer.status == 0);
    CHECK_FALSE(pending_reply.IsOpen());
    pending_reply.Send({.body = "too late"});
  }
}

}  // namespace
}  // namespace chestnutport::test
