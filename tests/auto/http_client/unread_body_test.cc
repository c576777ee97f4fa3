// Guards against requests that begin behind a body the server has not read.
#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "http_client/http_client.h"
#include "support/raw_server.h"
#include "support/wait.h"

namespace chestnutport::http_client {
namespace {

using test::RawServer;
using test::RawSocket;

constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kRejected[] =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno";
constexpr std::chrono::seconds kTimeout(2);

// Sends requests one after the other.
class Caller {
 public:
  explicit Caller(const HttpClientOptions& options = {})
      : client_(loop_, options) {}

  TransferResult Ask(const base::SocketAddress& to, net::HttpRequest request) {
    TransferResult result;
    client_.Send(to, std::move(request), kTimeout, [&](TransferResult answer) {
      result = std::move(answer);
      loop_.Stop();
    });
    loop_.Run();
    return result;
  }

 private:
  net::EventLoop loop_;
  HttpClient client_;
};

net::HttpRequest Upload(size_t size) {
  return {.method = "POST", .target = "/", .body = std::string(size, 'x')};
}

TEST_CASE("a request does not wait behind a body that the server rejected") {
  const size_t body_size = GENERATE(1, 1'000, 60'000);
  std::atomic<bool> reads_on = false;
  std::atomic<int> connections = 0;
  std::atomic<bool> is_followed = false;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    connection.ReadUntil(kHeadEnd);
    if (number > 1) {
      connection.Send(kOk);
      return;
    }
    connection.Send(kRejected);
    test::WaitUntil([&] { return reads_on.load(); });
    is_followed = connection.ReadToEnd().find("GET ") != std::string::npos;
  });
  Caller caller;
  REQUIRE(caller.Ask(server.address(), Upload(body_size)).answer.status == 503);
  const auto next =
      caller.Ask(server.address(), {.method = "GET", .target = "/"});
  reads_on = true;
  CHECK(next.end == TransferEnd::kComplete);
  CHECK(connections == 2);
  CHECK_FALSE(is_followed);
}

TEST_CASE("a connection is used again after a body that the server read") {
  std::atomic<int> connections = 0;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    while (!connection.ReadMessage().empty())
      connection.Send(kOk);
  });
  Caller caller;
  for (int i = 0; i < 3; ++i)
    CHECK(caller.Ask(server.address(), Upload(60'000)).answer.status == 200);
  CHECK(connections == 1);
}

TEST_CASE("a connection to a server that reads first outlives a rejection") {
  std::atomic<int> connections = 0;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    while (!connection.ReadMessage().empty())
      connection.Send(kRejected);
  });
  HttpClientOptions options;
  options.answers_after_reading = true;
  Caller caller(options);
  for (int i = 0; i < 3; ++i)
    CHECK(caller.Ask(server.address(), Upload(1'000)).answer.status == 503);
  CHECK(connections == 1);
}

}  // namespace
}  // namespace chestnutport::http_client
