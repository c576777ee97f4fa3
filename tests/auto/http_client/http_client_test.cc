// A client against servers that answer in pieces, late, twice, or not at all.
#include "http_client/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "support/raw_server.h"
#include "support/wait.h"

namespace chestnutport::http_client {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::RawServer;
using test::RawSocket;

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr seconds kLong(20);

struct Client {
  TransferResult Ask(const base::SocketAddress& to,
                     net::HttpRequest request,
                     base::Duration timeout = kLong) {
    TransferResult result;
    client.Send(to, std::move(request), timeout, [&](TransferResult answer) {
      result = std::move(answer);
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  TransferResult Get(const base::SocketAddress& to,
                     const std::string& target = "/",
                     base::Duration timeout = kLong) {
    return Ask(to, {.method = "GET", .target = target}, timeout);
  }

  explicit Client(const HttpClientOptions& options = {})
      : client(loop, options) {}

  net::EventLoop loop;
  HttpClient client;
};

// Answers each request on a connection with the next of `answers`, then closes.
RawServer::Script Answer(std::vector<std::string> answers) {
  return [answers = std::move(answers)](RawSocket& connection, int) {
    for (const std::string& answer : answers) {
      if (connection.ReadUntil(kHeadEnd).empty())
        return;
      connection.Send(answer);
    }
  };
}

TEST_CASE("a request is written to at most one connection") {
  Client caller;
  std::atomic<int> arrivals = 0;
  std::atomic<int> connections = 0;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    while (!connection.ReadUntil(kHeadEnd).empty()) {
      if (++arrivals == 2)
        return;  // Reads the second request and closes without an answer.
      connection.Send(kOk);
    }
  });
  REQUIRE(caller.Get(server.address()).end == TransferEnd::kComplete);
  const TransferResult second = caller.Get(server.address());
  CHECK(second.end == TransferEnd::kLost);
  CHECK(arrivals == 2);

  SECTION("and the next request opens a connection") {
    CHECK(caller.Get(server.address()).end == TransferEnd::kComplete);
    CHECK(connections > 1);
  }
}

TEST_CASE("what was not sent is told from what was lost") {
  Client caller;

  SECTION("nobody listens: not sent") {
    base::SocketAddress address;
    {
      RawServer gone([](RawSocket&, int) {});
      address = gone.address();
    }
    CHECK(caller.Get(address).end == TransferEnd::kNotSent);
  }

  SECTION("a request that is no HTTP: not sent, and nothing is connected to") {
    std::atomic<int> connections = 0;
    RawServer server([&](RawSocket&, int) { ++connections; });
    const std::vector<net::HttpRequest> requests = {
        {.method = "GET", .target = "/a\r\nX-Injected: 1"},
        {.method = "GET\r\nX: 1", .target = "/"},
        {.method = "GET", .target = "/", .headers = {{"X", "a\r\nY: b"}}},
        {.method = "GET", .target = "/", .headers = {{"X\r\nY", "b"}}}};
    for (const net::HttpRequest& request : requests)
      CHECK(caller.Ask(server.address(), request).end == TransferEnd::kNotSent);
    CHECK(connections == 0);
  }

  SECTION("the connection ends early: lost, and never a whole answer") {
    const std::string cut = GENERATE(
        "", "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    const bool reset = GENERATE(false, true);
    RawServer server([&](RawSocket& connection, int) {
      connection.ReadUntil(kHeadEnd);
      connection.Send(cut);
      if (reset)
        connection.Reset();
    });
    INFO(cut << (reset ? " and a reset" : ""));
    CHECK(caller.Get(server.address()).end == TransferEnd::kLost);
  }

  SECTION("no answer in time: timed out") {
    RawServer server(
        [](RawSocket& connection, int) { connection.ReadToEnd(); });
    CHECK(caller.Get(server.address(), "/", milliseconds(50)).end ==
          TransferEnd::kTimedOut);
  }

  SECTION("a kept connection goes silent: lost, long before the deadline") {
    RawServer server([](RawSocket& connection, int) {
      connection.ReadUntil(kHeadEnd);
      connection.GoSilent();
      connection.Send(kOk);
      connection.ReadToEnd();
    });
    REQUIRE(caller.Get(server.address()).end == TransferEnd::kComplete);
    CHECK(caller.Get(server.address()).end == TransferEnd::kLost);
  }
}

TEST_CASE("an answer is never matched to another request") {
  Client caller;

  SECTION("a late one ends with its connection") {
    RawServer server([](RawSocket& connection, int number) {
      connection.ReadUntil(kHeadEnd);
      if (number > 1) {
        connection.Send(kOk);
        return;
      }
      connection.ReadUntil(kHeadEnd);  // Ends when the caller has given up.
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    });
    CHECK(caller.Get(server.address(), "/", milliseconds(50)).end ==
          TransferEnd::kTimedOut);
    CHECK(caller.Get(server.address()).answer.body == "ok");
  }

  SECTION("a second one on the same connection is not believed") {
    const std::string stale =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    RawServer server(Answer({kOk + stale, kOk, kOk}));
    CHECK(caller.Get(server.address()).answer.body == "ok");
    for (int i = 0; i < 3; ++i)
      CHECK(caller.Get(server.address()).answer.body != "stale");
  }

  SECTION("what follows a body is no header") {
    RawServer server(
        Answer({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\nChestnutport-Outcome: not-run\r\n\r\n"}));
    const auto result = caller.Get(server.address());
    REQUIRE(result.end == TransferEnd::kComplete);
    CHECK(
        net::FindHeader(result.answer.headers, "Chestnutport-Outcome").empty());
  }

  SECTION("an interim answer is not the answer") {
    RawServer server(Answer(
        {std::string("HTTP/1.1 103 Early\r\nX-Early: 1\r\n\r\n") + kOk}));
    const auto result = caller.Get(server.address());
    CHECK(result.answer.status == 200);
    CHECK(net::FindHeader(result.answer.headers, "X-Early").empty());
  }
}

TEST_CASE("an answer with a status that does not exist ends its connection") {
  const std::string status = GENERATE("000", "099", "600", "999");
  INFO(status);
  Client caller;
  RawServer server(Answer(
      {"HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nno", kOk}));
  CHECK(caller.Get(server.address()).end == TransferEnd::kLost);
}

HttpClientOptions Tagged() {
  HttpClientOptions options;
  options.answer_tag = "X-Id";
  return options;
}

std::string Named(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_CASE("an answer of another name is skipped, and the right one is taken") {
  Client caller(Tagged());
  const net::HttpRequest second{
      .method = "GET", .target = "/", .headers = {{"X-Id", "2"}}};
  const net::HttpRequest first{
      .method = "GET", .target = "/", .headers = {{"X-Id", "1"}}};
  RawServer server([](RawSocket& connection, int) {
    connection.ReadUntil(kHeadEnd);
    connection.Send(Named("1", "one"));
    connection.ReadUntil(kHeadEnd);
    // The first answer once more, where the second is due.
    connection.Send(Named("1", "one") + Named("2", "two"));
    connection.ReadToEnd();
  });
  REQUIRE(caller.Ask(server.address(), first).answer.body == "one");
  CHECK(caller.Ask(server.address(), second).answer.body == "two");
  CHECK(caller.client.answers_skipped() == 1);
}

TEST_CASE("an answer without a length ends with its connection") {
  Client caller;
  const bool reset = GENERATE(false, true);
  RawServer server([&](RawSocket& connection, int) {
    connection.ReadUntil(kHeadEnd);
    connection.Send("HTTP/1.1 200 OK\r\n\r\nall of it");
    if (reset)
      connection.Reset();
  });
  const auto result = caller.Get(server.address());
  if (reset) {
    CHECK(result.end == TransferEnd::kLost);
  } else {
    CHECK(result.end == TransferEnd::kComplete);
    CHECK(result.answer.body == "all of it");
  }
}

TEST_CASE("after an early answer the connection is not used again") {
  Client caller;
  std::atomic<int> connections = 0;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    connection.ReadUntil(kHeadEnd);
    connection.Send(kOk);
    connection.ReadToEnd();
  });
  const net::HttpRequest large{
      .method = "POST", .target = "/", .body = std::string(30'000'000, 'x')};
  CHECK(caller.Ask(server.address(), large).end == TransferEnd::kComplete);
  CHECK(caller.Get(server.address()).end == TransferEnd::kComplete);
  CHECK(connections == 2);
}

TEST_CASE("a result tells whether its connection had been used before") {
  Client caller;
  RawServer server(Answer({kOk, kOk}));
  CHECK_FALSE(caller.Get(server.address()).on_kept_connection);
  CHECK(caller.Get(server.address()).on_kept_connection);
}

TEST_CASE("a kept connection is left before the other end forgets it") {
  Client caller;
  std::atomic<int> connections = 0;
  RawServer server([&](RawSocket& connection, int number) {
    connections = number;
    while (!connection.ReadUntil(kHeadEnd).empty()) {
      connection.Send(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
          "Content-Length: 2\r\n\r\nok");
    }
  });
  REQUIRE(caller.Get(server.address()).end == TransferEnd::kComplete);
  REQUIRE(caller.Get(server.address()).end == TransferEnd::kComplete);
  CHECK(connections == 2);
}

TEST_CASE("a request goes to the address and as it was given") {
  Client caller;
  std::string seen;
  RawServer server([&](RawSocket& connection, int) {
    seen = connection.ReadMessage();
    connection.Send(kOk);
  });

  SECTION("no target leads elsewhere") {
    const std::string target =
        GENERATE("@127.0.0.1:1/", "http://127.0.0.1:1/x", "/a/../b#c", "*");
    REQUIRE(caller.Get(server.address(), target).end == TransferEnd::kComplete);
    CHECK(seen.starts_with("GET " + target + " HTTP/1.1\r\n"));
  }

  SECTION("the framing is the client's own") {
    REQUIRE(caller
                .Ask(server.address(),
                     {.method = "POST",
                      .target = "/",
                      .headers = {{"Content-Length", "1"},
                                  {"Transfer-Encoding", "chunked"},
                                  {"X-Empty", ""}},
                      .body = "whole"})
                .end == TransferEnd::kComplete);
    CHECK(seen.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(seen.find("Content-Length: 1\r\n") == std::string::npos);
    CHECK(seen.find("chunked") == std::string::npos);
    CHECK(seen.find("X-Empty:") != std::string::npos);
    CHECK(seen.ends_with("\r\n\r\nwhole"));
  }
}

TEST_CASE("answers without a body end with their head") {
  Client caller;
  const std::string status = GENERATE("204 No Content", "304 Not Modified");
  RawServer server(Answer({"HTTP/1.1 " + status + "\r\n\r\n", kOk}));
  CHECK(caller.Get(server.address()).answer.body.empty());
  CHECK(caller.Get(server.address()).answer.body == "ok");

  SECTION("and so do those to HEAD, whatever their length") {
    RawServer other(
        Answer({"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", kOk}));
    const auto head =
        caller.Ask(other.address(), {.method = "HEAD", .target = "/"});
    CHECK(head.end == TransferEnd::kComplete);
    CHECK(net::FindHeader(head.answer.headers, "Content-Length") == "1000");
    CHECK(caller.Get(other.address()).answer.body == "ok");
  }
}

TEST_CASE("a transfer can be changed from within its callbacks") {
  Client caller;
  const std::string body(100'000, 'b');
  RawServer server([&](RawSocket& connection, int) {
    while (!connection.ReadUntil(kHeadEnd).empty()) {
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
      connection.Send(body);
    }
  });
  HttpClient& client = caller.client;
  HttpClient::TransferId transfer = 0;
  int done = 0;
  const net::HttpRequest get{.method = "GET", .target = "/"};
  const auto always = [](const net::HttpAnswer&) { return true; };
  const auto stop_when_idle = [&] {
    caller.loop.CallAfter(milliseconds(0), [&] { caller.loop.Stop(); });
  };

  SECTION("cancelled from its head") {
    transfer = client.Stream(
        server.address(), get, kLong,
        [&](const net::HttpAnswer&) {
          client.Cancel(transfer);
          stop_when_idle();
          return true;
        },
        [&](std::string_view) { return true; },
        [&](const TransferResult&) { ++done; });
    caller.loop.Run();
    CHECK(done == 0);
  }

  SECTION("cancelled from a part of its body") {
    transfer = client.Stream(
        server.address(), get, kLong, always,
        [&](std::string_view) {
          client.Cancel(transfer);
          stop_when_idle();
          return true;
        },
        [&](const TransferResult&) { ++done; });
    caller.loop.Run();
    CHECK(done == 0);
  }

  SECTION("another one is cancelled from its end") {
    const auto other = client.Send(server.address(), get, kLong,
                                   [&](const TransferResult&) { done += 10; });
    transfer =
        client.Send(server.address(), get, kLong, [&](const TransferResult&) {
          ++done;
          client.Cancel(other);
          client.Cancel(transfer);
          stop_when_idle();
        });
    caller.loop.Run();
    CHECK((done == 1 || done == 11));
    CHECK(client.transfers() == 0);
  }

  SECTION("another one is begun from a part of its body") {
    bool begun = false;
    client.Stream(
        server.address(), get, kLong, always,
        [&](std::string_view) {
          if (!std::exchange(begun, true)) {
            client.Send(server.address(), get, kLong,
                        [&](const TransferResult& result) {
                          done += result.answer.body == body;
                          caller.loop.Stop();
                        });
          }
          return true;
        },
        [](const TransferResult&) {});
    caller.loop.Run();
    CHECK(done == 1);
  }

  SECTION("paused and continued, it comes whole and in order") {
    std::string got;
    bool paused = false;
    transfer = client.Stream(
        server.address(), get, kLong, always,
        [&](std::string_view part) {
          paused = !paused;
          if (paused) {
            caller.loop.CallAfter(milliseconds(0),
                                  [&] { client.Continue(transfer); });
            return false;
          }
          got += part;
          return true;
        },
        [&](const TransferResult& result) {
          done += result.end == TransferEnd::kComplete;
          caller.loop.Stop();
        });
    caller.loop.Run();
    CHECK(done == 1);
    CHECK(got == body);
  }
  caller.loop.CallAfter(milliseconds(20), [&] { caller.loop.Stop(); });
  caller.loop.Run();
}

// Returns the descriptor of this process that is connected to `address`.
int DescriptorTo(const base::SocketAddress& address) {
  for (int fd = 0; fd < 1024; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == address.port) {
      return fd;
    }
  }
  return -1;
}

TEST_CASE("a write that fails at once ends the transfer after it has begun") {
  Client caller;
  std::atomic<bool> is_done = false;
  RawServer server([&](RawSocket& connection, int) {
    connection.ReadUntil(kHeadEnd);
    connection.Send(kOk);
    test::WaitUntil([&] { return is_done.load(); });
  });
  REQUIRE(caller.Get(server.address()).end == TransferEnd::kComplete);
  const int fd = DescriptorTo(server.address());
  REQUIRE(fd >= 0);
  // Seen by a write only, as by one that crosses a reset.
  REQUIRE(shutdown(fd, SHUT_WR) == 0);
  bool has_begun = false;
  std::optional<TransferEnd> end;
  caller.client.Send(server.address(), {.method = "GET", .target = "/"}, kLong,
                     [&](const TransferResult& result) {
                       CHECK(has_begun);
                       end = result.end;
                       caller.loop.Stop();
                     });
  has_begun = true;
  caller.loop.Run();
  is_done = true;
  CHECK(end == TransferEnd::kNotSent);
}

}  // namespace
}  // namespace chestnutport::http_client
