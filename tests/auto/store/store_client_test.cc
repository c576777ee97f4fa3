// The store client against a store whose responses are malformed or missing.
#include "store/store_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "sockets/listening_socket.h"
#include "store/store_connections.h"
#include "support/relay.h"

namespace chestnutport::store {
namespace {

using base::ErrorKind;

// A store that sends the same response to every call.
class FixedStore {
 public:
  FixedStore(int status, std::string body)
      : server_(net::HttpServer::Open(
                    loop_,
                    *base::SocketAddress::Parse("127.0.0.1:0"),
                    {},
                    [status, body](const net::HttpRequest&, net::Reply reply) {
                      reply.Send({.status = status, .body = body});
                    })
                    .value()),
        http_(loop_, {}),
        client_(http_, {server_->address()}, std::chrono::seconds(20)) {}

  base::Result<std::vector<StoreEntry>> Read() {
    std::optional<base::Result<std::vector<StoreEntry>>> result;
    client_.Read("key", [&](auto entries) {
      result = entries;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

  base::Result<bool> Swap() {
    std::optional<base::Result<bool>> result;
    client_.CompareAndSwap("key", 0, "value", 0, [&](auto swapped) {
      result = swapped;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

  base::Result<std::optional<int64_t>> Write() {
    std::optional<base::Result<std::optional<int64_t>>> result;
    client_.Write("key", 0, "value", 0, [&](auto written) {
      result = written;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

  base::Result<bool> EndLease() {
    std::optional<base::Result<bool>> result;
    client_.EndLease(9, [&](auto ended) {
      result = ended;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

 private:
  net::EventLoop loop_;
  std::unique_ptr<net::HttpServer> server_;
  http_client::HttpClient http_;
  StoreClient client_;
};

TEST_CASE("a malformed response is an error") {
  for (const char* body :
       {"", "no json", "[]", "{\"kvs\": 7}", "{\"kvs\": [7]}"}) {
    INFO(body);
    const auto entries = FixedStore(200, body).Read();
    REQUIRE_FALSE(entries);
    CHECK(base::KindOf(entries.error()) == ErrorKind::kStoreUnavailable);
  }
  for (const char* body : {"", "[]", "{\"succeeded\": \"yes\"}"}) {
    INFO(body);
    const auto swapped = FixedStore(200, body).Swap();
    REQUIRE_FALSE(swapped);
    CHECK(base::KindOf(swapped.error()) == ErrorKind::kStoreOutcomeUnknown);
  }
}

TEST_CASE("a write returns the revision of the entry") {
  CHECK(FixedStore(200, R"({"succeeded": true, "header": {"revision": "8"}})")
            .Write()
            .value() == 8);
  CHECK(FixedStore(200, "{}").Write().value() == std::nullopt);
  // Guards against a writer that takes the entry of another one for its own.
  CHECK(
      base::KindOf(FixedStore(200, R"({"succeeded": true})").Write().error()) ==
      ErrorKind::kStoreOutcomeUnknown);
}

TEST_CASE("the end of a lease") {
  CHECK(FixedStore(200, "{}").EndLease().value());
  CHECK_FALSE(FixedStore(404, R"({"code": 5})").EndLease().value());
  CHECK(base::KindOf(FixedStore(503, "{}").EndLease().error()) ==
        ErrorKind::kStoreOutcomeUnknown);
  const auto entries =
      FixedStore(200, R"({"kvs": [{"key": "a2V5", "lease": "9"}]})").Read();
  CHECK(entries.value()[0].lease == 9);
}

TEST_CASE("a refused call") {
  CHECK(base::KindOf(FixedStore(429, "{}").Read().error()) ==
        ErrorKind::kStoreUnavailable);
  CHECK(base::KindOf(FixedStore(503, "{}").Swap().error()) ==
        ErrorKind::kStoreOutcomeUnknown);
}

TEST_CASE("fields that the protocol omits are zero or false") {
  const auto entries =
      FixedStore(200, R"({"kvs": [{"key": "a2V5", "mod_revision": "7"}]})")
          .Read();
  REQUIRE(entries.value().size() == 1);
  CHECK(entries.value()[0].key == "key");
  CHECK(entries.value()[0].value.empty());
  CHECK(entries.value()[0].revision == 7);
  CHECK(FixedStore(200, "{}").Read().value().empty());
  CHECK(FixedStore(200, "{}").Swap().value() == false);
  CHECK(FixedStore(200, R"({"succeeded": true})").Swap().value());
}

TEST_CASE(
    "a silent connection to the store is not reused after its idle limit") {
  net::EventLoop loop;
  const auto store =
      net::HttpServer::Open(loop, *base::SocketAddress::Parse("127.0.0.1:0"),
                            {}, [](const net::HttpRequest&, net::Reply reply) {
                              reply.Send({.status = 200, .body = "{}"});
                            });
  REQUIRE(store);
  test::Relay relay(store.value()->address());
  http_client::HttpClient http(loop, StoreConnections());
  StoreClient client(http, {relay.address()}, std::chrono::seconds(20));
  const auto read = [&] {
    client.Read("key", [&](const auto&) { loop.Stop(); });
    loop.Run();
  };
  read();
  relay.SilenceOpenConnections();
  loop.CallAfter(std::chrono::milliseconds(1100), [&loop] { loop.Stop(); });
  loop.Run();
  read();
  CHECK(client.calls().Of(CallKind::kRead, CallResult::kAnswered) == 2);
}

TEST_CASE("a read on a connection that goes silent") {
  constexpr std::chrono::seconds kTimeout(20);
  net::EventLoop loop;
  int received = 0;
  const auto store =
      net::HttpServer::Open(loop, *base::SocketAddress::Parse("127.0.0.1:0"),
                            {}, [&](const net::HttpRequest&, net::Reply reply) {
                              ++received;
                              reply.Send({.status = 200, .body = "{}"});
                            });
  REQUIRE(store);
  test::Relay relay(store.value()->address());
  http_client::HttpClient http(loop, StoreConnections());
  StoreClient client(http, {relay.address()}, kTimeout);
  int results = 0;
  const auto read = [&] {
    client.Read("key", [&](const auto& entries) {
      CHECK(entries);
      ++results;
      loop.Stop();
    });
    loop.CallAfter(kTimeout / 10, [&loop] { loop.Stop(); });
    loop.Run();
  };
  read();
  REQUIRE(results == 1);

  SECTION("before it was sent, is sent again on another connection") {
    relay.SilenceOpenConnections();
    read();
    CHECK(results == 2);
    CHECK(received == 2);
  }
  SECTION("before its response, is sent again on another connection") {
    relay.DropAnswers(true);
    loop.CallAfter(kReadHedgeDelay / 2, [&] {
      relay.SilenceOpenConnections();
      relay.DropAnswers(false);
    });
    read();
    CHECK(results == 2);
    CHECK(received == 3);
  }
  CHECK(client.calls().Of(CallKind::kRead, CallResult::kAnswered) == 2);
  CHECK(client.calls().Of(CallKind::kRead, CallResult::kNoAnswer) == 1);
}

TEST_CASE("a watch without a response ends soon after its wait") {
  net::EventLoop loop;
  auto silent = sockets::ListeningSocket::Open(
      *base::SocketAddress::Parse("127.0.0.1:0"));
  REQUIRE(silent);
  http_client::HttpClient http(loop, {});
  StoreClient client(http, {silent.value().address()}, std::chrono::seconds(2));
  bool watch_ended = false;
  client.Watch("key", 1, std::chrono::milliseconds(10),
               std::chrono::milliseconds(1000), [&](const auto& changes) {
                 watch_ended = true;
                 CHECK_FALSE(changes);
               });
  // Started at the same time; times out after the two seconds of any call.
  client.Read("key", [&](const auto&) { loop.Stop(); });
  loop.Run();
  CHECK(watch_ended);
}

}  // namespace
}  // namespace chestnutport::store
