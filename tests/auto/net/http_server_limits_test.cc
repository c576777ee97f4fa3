// A server against callers that send, keep or do not read too much.
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http_test_server.h"
#include "net/http_server.h"
#include "support/raw_socket.h"

namespace chestnutport::net {
namespace {

using std::chrono::milliseconds;
using test::RawSocket;

TEST_CASE("what frames a body has a limit") {
  client_limits::ListenerLimits limits;
  limits.largest_headers = 4096;
  TestServer server(&Echo, limits);
  struct Row {
    const char* name;
    std::string begin;
    std::string repeated;
    std::string end;
  };
  const auto row = GENERATE(
      Row{"a trailer", "4\r\nbody\r\n0\r\n", "X-Many: a\r\n", "\r\n"},
      Row{"a line of a trailer", "4\r\nbody\r\n0\r\nX-Long: ", "aaaa",
          "\r\n\r\n"},
      Row{"the extension of a chunk", "4;x=", "a", "\r\nbody\r\n0\r\n\r\n"},
      Row{"the extension of the last chunk", "4\r\nbody\r\n0;x=", "a",
          "\r\n\r\n"});
  const bool is_chunk_before = GENERATE(false, true);
  const std::string head =
      absl::StrCat("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked",
                   "\r\n\r\n", is_chunk_before ? "2\r\nab\r\n" : "");
  INFO(row.name);
  const auto repeat = [&](size_t bytes) {
    std::string all;
    while (all.size() + row.repeated.size() <= bytes)
      all += row.repeated;
    return all;
  };
  RawSocket caller(server.address());

  SECTION("below which it is read") {
    caller.Send(head + row.begin + repeat(3900) + row.end + kGet);
    CHECK(Has(caller.ReadMessage(), "200 OK"));
    CHECK(caller.ReadMessage().ends_with("GET "));
  }
  SECTION("beyond which the request is refused, though it does not end") {
    caller.Send(head + row.begin + repeat(4200));
    const std::string answer = caller.ReadToEnd();
    CHECK(answer.starts_with("HTTP/1.1 431"));
    CHECK(Has(answer, "Chestnutport-Outcome: not-run"));
    CHECK(Has(answer, "Connection: close"));
  }
}

std::string GetWithFields(size_t bytes) {
  std::string request = "GET / HTTP/1.1\r\nHost: x\r\n";
  while (request.size() + 13 <= bytes)
    request += "a: b\r\n";
  request += "p: ";
  return request + std::string(bytes - request.size() - 4, 'p') + "\r\n\r\n";
}

TEST_CASE("heads of the largest size are taken, and no larger ones") {
  client_limits::ListenerLimits limits;
  limits.largest_headers = 4096;
  TestServer server(&Echo, limits);
  RawSocket caller(server.address());

  SECTION("of many fields") {
    caller.Send(GetWithFields(4096) + kGet);
    CHECK(Has(caller.ReadMessage(), "200 OK"));
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("that come byte by byte") {
    for (const char c : GetWithFields(300))
      caller.Send(std::string(1, c));
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("one byte more is refused") {
    caller.Send(GetWithFields(4097));
    CHECK(caller.ReadToEnd().starts_with("HTTP/1.1 431"));
  }
  SECTION("so are bytes that cannot begin a request, without their end") {
    caller.Send(GENERATE("\x16\x03\x01", " GET / HTTP/1.1", "\r\nGET",
                         "GETGETGETGETGETGETGETGETGETGETGETGET"));
    CHECK(caller.ReadToEnd().starts_with("HTTP/1.1 400"));
  }
}

TEST_CASE("requests for whose heads there is no memory") {
  client_limits::ListenerLimits limits;
  limits.heads = 64 * 1024;
  limits.body_wait = milliseconds(300);
  limits.to_send_request = std::chrono::seconds(1);
  std::vector<Reply> kept;
  TestServer server(
      [&](HttpRequest request, Reply reply) {
        if (request.method == "PUT")
          kept.push_back(std::move(reply));
        else
          Echo(std::move(request), std::move(reply));
      },
      limits);
  const std::string large = GetWithFields(2000);
  const auto keep = [](std::string request) {
    return request.replace(0, 3, "PUT");
  };
  RawSocket holder(server.address());
  holder.Send(keep(large));
  REQUIRE(server.WaitFor([&] { return kept.size() == 1; }));
  RawSocket caller(server.address());

  SECTION("wait, and are read when there is some") {
    caller.Send(large);
    server.Run([&] { kept[0].Send({}); });
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("are refused after a time, and the connection is kept") {
    caller.Send(large);
    const std::string answer = caller.ReadMessage();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(Has(answer, "Retry-After: "));
    CHECK_FALSE(Has(answer, "Connection: close"));
    server.Run([&] {
      CHECK((*server).refused_clients(client_limits::ClientLimit::kHeads) == 1);
      kept[0].Send({});
    });
    caller.Send(large);
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("wait behind the answers of their own connection") {
    caller.Send(keep(kGet) + large + large + kGet);
    REQUIRE(server.WaitFor([&] { return kept.size() == 2; }));
    server.Run([&] { kept[0].Send({}); });
    server.Run([&] { kept[1].Send({.body = "first"}); });
    CHECK(caller.ReadMessage().ends_with("first"));
    for (int i = 0; i < 3; ++i)
      CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("are not late while they wait there") {
    caller.Send(keep(kGet) + large);
    REQUIRE(server.WaitFor([&] { return kept.size() == 2; }));
    // Longer than a request may take, and than the next look at that.
    std::this_thread::sleep_for(milliseconds(2200));
    server.Run([&] { kept[0].Send({}); });
    server.Run([&] { kept[1].Send({.body = "first"}); });
    CHECK(caller.ReadMessage().ends_with("first"));
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  SECTION("but a small one of each connection needs none") {
    for (int i = 0; i < 20; ++i) {
      RawSocket other(server.address());
      other.Send(kGet);
      CHECK(Has(other.ReadMessage(), "200 OK"));
    }
  }
}

TEST_CASE("requests that do not end share a bounded memory") {
  client_limits::ListenerLimits limits;
  limits.input = 100'000;
  TestServer server(&Echo, limits);
  RawSocket ordinary(server.address());
  ordinary.Send("GET / HTTP/1.1\r\nHost: x\r\n");
  std::vector<RawSocket> callers;
  for (int i = 0; i < 10; ++i) {
    callers.emplace_back(server.address());
    callers.back().Send("GET / HTTP/1.1\r\nX: " + std::string(15'000, 'x'));
  }
  REQUIRE(server.WaitFor([&] {
    return (*server).refused_clients(client_limits::ClientLimit::kInput) > 0;
  }));
  server.Run([&] { CHECK((*server).input_bytes() <= limits.input); });
  int refused = 0;
  for (RawSocket& caller : callers) {
    caller.Send("\r\n\r\n");
    const std::string answer = caller.ReadMessage();
    refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
    CHECK((answer.starts_with("HTTP/1.1 503") || Has(answer, "200 OK")));
  }
  CHECK(refused > 0);
  CHECK(refused < 10);
  ordinary.Send("\r\n");
  CHECK(Has(ordinary.ReadMessage(), "200 OK"));
}

// Guards against new callers without an answer behind kept connections.
TEST_CASE("kept connections make room for new callers") {
  client_limits::ListenerLimits limits;
  limits.connections = 4;
  std::vector<Reply> kept;
  TestServer server(
      [&](HttpRequest request, Reply reply) {
        if (request.target == "/keep")
          kept.push_back(std::move(reply));
        else
          Echo(std::move(request), std::move(reply));
      },
      limits);
  std::vector<RawSocket> callers;
  for (unsigned int i = 0; i < limits.connections; ++i) {
    callers.emplace_back(server.address());
    callers.back().Send(kGet);
    REQUIRE(Has(callers.back().ReadMessage(), "200 OK"));
  }

  SECTION("those that were not used for longest") {
    callers[0].Send(kGet);
    REQUIRE(Has(callers[0].ReadMessage(), "200 OK"));
    for (int i = 0; i < 3; ++i) {
      RawSocket caller(server.address());
      caller.Send(kGet);
      CHECK(Has(caller.ReadMessage(), "200 OK"));
    }
    callers[0].Send(kGet);
    CHECK(Has(callers[0].ReadMessage(), "200 OK"));
    CHECK(callers[1].ReadToEnd().empty());
  }
  SECTION("but not those whose requests are at hand") {
    for (RawSocket& caller : callers)
      caller.Send("GET /keep HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.WaitFor([&] { return kept.size() == callers.size(); }));
    RawSocket caller(server.address());
    caller.Send(kGet);
    server.Run([&] { kept.front().Send({}); });
    CHECK(Has(caller.ReadMessage(), "200 OK"));
    server.Run([&] {
      for (Reply& reply : kept)
        reply.Send({});
    });
    for (RawSocket& answered : callers)
      CHECK(Has(answered.ReadMessage(), "200 OK"));
  }
}

TEST_CASE("connections make room that hold up others") {
  client_limits::ListenerLimits limits;
  limits.connections = 4;
  TestServer server(&Echo, limits);
  RawSocket kept(server.address());
  kept.Send(kGet);
  REQUIRE(Has(kept.ReadMessage(), "200 OK"));
  const std::string begun = GENERATE("", "GET / HT", "GET / HTTP/1.1\r\nX: ");
  INFO("strangers send " << begun);
  std::vector<RawSocket> strangers;
  for (unsigned int i = 0; i < 3 * limits.connections; ++i) {
    strangers.emplace_back(server.address());
    strangers.back().Send(begun);
  }
  RawSocket caller(server.address());
  caller.Send(kGet);
  CHECK(Has(caller.ReadMessage(), "200 OK"));
  kept.Send(kGet);
  CHECK(Has(kept.ReadMessage(), "200 OK"));
}

TEST_CASE("bodies that do not end make room, the slowest first") {
  client_limits::ListenerLimits limits;
  limits.connections = 4;
  limits.largest_body = 1024 * 1024;
  TestServer server(&Echo, limits);
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n";
  RawSocket fast(server.address());
  fast.Send(head + std::string(390'000, 'x'));
  std::vector<RawSocket> slow;
  for (int i = 0; i < 6; ++i) {
    slow.emplace_back(server.address());
    slow.back().Send(head + "x");
  }
  RawSocket caller(server.address());
  caller.Send(kGet);
  CHECK(Has(caller.ReadMessage(), "200 OK"));
  fast.Send(std::string(10'000, 'x'));
  CHECK(Has(fast.ReadMessage(), "200 OK"));
}

TEST_CASE("answers that are not read share a bounded memory") {
  client_limits::ListenerLimits limits;
  limits.answers = 1024 * 1024;
  TestServer server(
      [](const HttpRequest& request, Reply reply) {
        reply.Send({.body = request.target == "/large"
                                ? std::string(400'000, 'a')
                                : std::string("small")});
      },
      limits);
  RawSocket ordinary(server.address());
  std::vector<RawSocket> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(server.address());
    for (int request = 0; request < 8; ++request)
      callers.back().Send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    ordinary.Send(kGet);
    CHECK(ordinary.ReadMessage().ends_with("small"));
  }
  CHECK(server.WaitFor([&] {
    return (*server).refused_clients(client_limits::ClientLimit::kOutput) > 0;
  }));
  CHECK(server.WaitFor(
      [&] { return (*server).answer_bytes() <= limits.answers; }));
  ordinary.Send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(ordinary.ReadMessage().size() > 400'000);
}

TEST_CASE("nothing is counted for connections that have ended") {
  TestServer server(&Echo);
  for (int i = 0; i < 10; ++i) {
    RawSocket caller(server.address());
    caller.Send(Post(std::string(5000, 'x')) + "GET / HT");
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  }
  CHECK(server.WaitFor([&] {
    return (*server).answer_bytes() == 0 && (*server).input_bytes() == 0 &&
           (*server).body_bytes() == 0 && (*server).heads().held() == 0;
  }));
}

TEST_CASE("a caller that does not read is not read either") {
  std::atomic<int> handled = 0;
  TestServer server([&](const HttpRequest&, Reply reply) {
    ++handled;
    reply.Send({.body = std::string(100'000, 'a')});
  });
  RawSocket caller(server.address());
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i)
    caller.Send(kGet);
  CHECK(server.WaitFor([&] { return handled > 0; }));
  RawSocket other(server.address());
  other.Send(kGet);
  CHECK(Has(other.ReadMessage(), "200 OK"));
  server.Run([&] { CHECK((*server).answer_bytes() < 5'000'000); });
  for (int i = 0; i < kRequests; ++i)
    CHECK(Has(caller.ReadMessage(), "200 OK"));
  CHECK(handled == kRequests + 1);
}

}  // namespace
}  // namespace chestnutport::net
