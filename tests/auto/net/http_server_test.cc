// A server against callers that go away, read slowly or send nonsense.
#include "net/http_server.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "client_limits/listener_limits.h"
#include "http_test_server.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::net {
namespace {

using std::chrono::milliseconds;
using test::RawSocket;

TEST_CASE("requests on one connection are answered in their order") {
  TestServer server(&Echo);
  RawSocket caller(server.address());

  SECTION("one after the other") {
    for (int i = 0; i < 3; ++i) {
      caller.Send(Post("body" + std::to_string(i)));
      CHECK(caller.ReadMessage().ends_with("POST body" + std::to_string(i)));
    }
  }
  SECTION("pipelined") {
    caller.Send(Post("one") + Post("two") + kGet);
    CHECK(caller.ReadMessage().ends_with("POST one"));
    CHECK(caller.ReadMessage().ends_with("POST two"));
    CHECK(caller.ReadMessage().ends_with("GET "));
  }
  SECTION("in pieces, and in chunks") {
    for (const char c : Post("pieces"))
      caller.Send(std::string(1, c));
    CHECK(caller.ReadMessage().ends_with("POST pieces"));
    caller.Send(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(caller.ReadMessage().ends_with("POST abcde"));
  }
}

TEST_CASE("pipelined requests are worked on side by side") {
  std::vector<Reply> kept;
  TestServer server([&](const HttpRequest&, Reply reply) {
    kept.push_back(std::move(reply));
  });
  RawSocket caller(server.address());
  caller.Send(std::string(kGet) + kGet + kGet);
  REQUIRE(server.WaitFor([&] { return kept.size() == 3; }));

  SECTION("and answered in their order") {
    server.Run([&] {
      kept[2].Send({.body = "third"});
      kept[1].Send({.body = "second"});
      kept[0].Send({.body = "first"});
    });
    CHECK(caller.ReadMessage().ends_with("first"));
    CHECK(caller.ReadMessage().ends_with("second"));
    CHECK(caller.ReadMessage().ends_with("third"));
  }
  SECTION("also when the server takes no more: all that was read is answered") {
    std::atomic<bool> idle = false;
    server.Run([&] {
      (*server).Quiesce([&] { idle = true; });
      kept[1].Send({.body = "second"});
      kept[0].Send({.body = "first"});
    });
    CHECK(caller.ReadMessage().ends_with("first"));
    CHECK_FALSE(Has(caller.ReadMessage(), "Connection: close"));
    CHECK_FALSE(idle);
    server.Run([&] { kept[2].Send({.body = "third"}); });
    CHECK(Has(caller.ReadMessage(), "Connection: close"));
    CHECK(caller.ReadToEnd().empty());
    CHECK(test::WaitUntil([&] { return idle.load(); }));
  }
  SECTION("and all are gone with the caller") {
    int gone = 0;
    server.Run([&] {
      for (Reply& reply : kept)
        reply.OnGone([&] { ++gone; });
    });
    caller.Close();
    CHECK(server.WaitFor([&] { return gone == 3; }));
  }
}

TEST_CASE("a full pipeline is read on when answers have gone out") {
  constexpr int kRequests = 100;
  std::vector<Reply> kept;
  TestServer server([&](const HttpRequest&, Reply reply) {
    kept.push_back(std::move(reply));
  });
  RawSocket caller(server.address());
  std::string all;
  for (int i = 0; i < kRequests; ++i)
    all += kGet;
  caller.Send(all);
  REQUIRE(server.WaitFor([&] { return kept.size() >= 32; }));
  for (size_t i = 0; i < kRequests; ++i) {
    REQUIRE(server.WaitFor([&] { return kept.size() > i; }));
    server.Run([&] { kept[i].Send({.body = std::to_string(i)}); });
    CHECK(caller.ReadMessage().ends_with(std::to_string(i)));
  }
}

TEST_CASE("answers are framed by what they are") {
  TestServer server([](HttpRequest request, Reply reply) {
    HttpAnswer answer{.status = 200, .headers = {{"Content-Length", "1000"}}};
    if (request.target == "/204")
      answer.status = 204;
    else if (request.target == "/304")
      answer.status = 304;
    else if (request.method != "HEAD")
      answer = {.headers = {{"X-Bad", "a\r\nX-Injected: 1"}, {"X-Tab", "a\tb"}},
                .body = "body"};
    reply.Send(std::move(answer));
  });
  RawSocket caller(server.address());

  SECTION("HEAD tells the length and sends no body") {
    caller.Send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(Has(caller.ReadUntil("\r\n\r\n"), "Content-Length: 1000"));
  }
  SECTION("204 and 304 have no body") {
    for (const char* target : {"/204", "/304"}) {
      caller.Send(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: x\r\n\r\n"));
      CHECK_FALSE(caller.ReadUntil("\r\n\r\n").empty());
    }
  }
  caller.Send(kGet);
  const std::string next = caller.ReadMessage();
  CHECK(next.ends_with("\r\n\r\nbody"));
  CHECK_FALSE(Has(next, "X-Injected"));
  CHECK(Has(next, "X-Tab: a b"));
}

TEST_CASE("a caller that goes away is noticed") {
  Reply kept;
  int gone = 0;
  TestServer server([&](const HttpRequest&, Reply reply) {
    kept = std::move(reply);
    kept.OnGone([&] { ++gone; });
  });
  RawSocket caller(server.address());
  caller.Send(kGet);
  REQUIRE(server.WaitFor([&] { return kept.IsOpen(); }));

  SECTION("while its answer is made") {
    const bool reset = GENERATE(false, true);
    if (reset)
      caller.Reset();
    else
      caller.Close();
    CHECK(server.WaitFor([&] { return gone == 1; }));
  }
  SECTION("while its answer is streamed") {
    server.Run([&] {
      kept.Start(200, {}, std::nullopt);
      kept.Write("part");
    });
    CHECK(Has(caller.ReadUntil("part"), "chunked"));
    caller.Close();
    CHECK(server.WaitFor([&] { return gone == 1; }));
  }
  server.Run([&] {
    CHECK_FALSE(kept.IsOpen());
    kept.Write("late");
    kept.Finish();
    CHECK(gone == 1);
  });
}

TEST_CASE("a caller that sends its request and closes is noticed") {
  std::vector<Reply> kept;
  int gone = 0;
  std::function<void(const std::string&)> on_request = [](const auto&) {};
  TestServer server([&](const HttpRequest& request, Reply reply) {
    on_request(request.target);
    kept.push_back(std::move(reply));
    kept.back().OnGone([&] { ++gone; });
  });
  RawSocket caller(server.address());

  SECTION("after the request was read: its handler is told") {
    caller.Send(kGet);
    REQUIRE(server.WaitFor([&] { return kept.size() == 1; }));
    CHECK(kept[0].IsOpen());
    caller.Close();
    CHECK(server.WaitFor([&] { return gone == 1; }));
    CHECK_FALSE(kept[0].IsOpen());
  }

  SECTION("before the request was read: the reply is not open") {
    server.Run([&] {
      caller.Send(kGet);
      caller.Close();
    });
    REQUIRE(server.WaitFor([&] { return kept.size() == 1; }));
    CHECK_FALSE(kept[0].IsOpen());
    CHECK(gone == 0);
  }

  SECTION("while the round that reads the request lasts") {
    RawSocket other(server.address());
    server.Run([&] {
      // Called for the first of the two, in the round that reads both.
      on_request = [&](const std::string& target) {
        if (kept.empty())
          (target == "/other" ? caller : other).Close();
      };
      other.Send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n");
      caller.Send(kGet);
    });
    REQUIRE(server.WaitFor([&] { return kept.size() == 2; }));
    CHECK(kept[0].IsOpen());
    CHECK_FALSE(kept[1].IsOpen());
  }

  SECTION("behind more requests than are answered side by side") {
    constexpr size_t kMostPipelined = 32;
    std::string requests;
    for (size_t i = 0; i <= kMostPipelined; ++i)
      requests += kGet;
    caller.Send(requests);
    REQUIRE(server.WaitFor([&] { return kept.size() == kMostPipelined; }));
    caller.Close();
    CHECK(server.WaitFor([&] { return gone == kMostPipelined; }));
    CHECK(kept.size() == kMostPipelined);
  }
}

TEST_CASE("a large answer is streamed with bounded memory") {
  constexpr size_t kSize = 32 * 1024 * 1024;
  constexpr size_t kPart = 16 * 1024;
  constexpr size_t kLargestBuffer = 256 * 1024;
  Reply kept;
  size_t written = 0;
  size_t most_buffered = 0;
  const auto fill = [&] {
    while (written < kSize && kept.buffered() < kLargestBuffer) {
      kept.Write(std::string(kPart, 'x'));
      written += kPart;
      most_buffered = std::max(most_buffered, kept.buffered());
    }
    if (written == kSize)
      kept.Finish();
  };
  const bool known = GENERATE(true, false);
  TestServer server([&](const HttpRequest&, Reply reply) {
    kept = std::move(reply);
    kept.Start(200, {}, known ? std::optional<uint64_t>(kSize) : std::nullopt);
    kept.OnDrained(fill);
    fill();
  });
  RawSocket caller(server.address());
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");

  SECTION("a caller that reads gets all of it") {
    const std::string answer = caller.ReadToEnd();
    CHECK(answer.size() > kSize);
    CHECK((known || answer.ends_with("\r\n0\r\n\r\n")));
    CHECK(written == kSize);
  }
  SECTION("a caller that does not read holds up the writer") {
    constexpr int kTimesUnchanged = 50;
    size_t before = 0;
    int unchanged = 0;
    REQUIRE(server.WaitFor([&] {
      unchanged = written == before ? unchanged + 1 : 0;
      before = written;
      return unchanged == kTimesUnchanged;
    }));
    server.Run([&] {
      CHECK(written < kSize);
      CHECK(kept.buffered() > 0);
    });
  }
  SECTION("an answer that is given up is seen to be cut") {
    caller.ReadSome(kPart);
    server.Run([&] { kept.Abort(); });
    const std::string rest = caller.ReadToEnd();
    CHECK(rest.size() < kSize);
    CHECK_FALSE(rest.ends_with("\r\n0\r\n\r\n"));
  }
  server.Run([&] { CHECK(most_buffered < kLargestBuffer + kPart); });
}

TEST_CASE("an answer that is begun and not yet taken can be replaced") {
  TestServer server([](const HttpRequest&, Reply reply) {
    reply.Start(200, {}, 1000);
    reply.Write("half");
    CHECK_FALSE(reply.IsHeadTaken());
    reply.Send({.status = 502, .headers = {}, .body = "lost"});
  });
  RawSocket caller(server.address());
  caller.Send(kGet);
  const std::string answer = caller.ReadUntil("lost");
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, "half"));
}

TEST_CASE("a request that cannot be taken is refused, and the server lives") {
  client_limits::ListenerLimits limits;
  limits.largest_headers = 4096;
  limits.largest_body = 1000;
  limits.small_bodies = 1500;
  Reply kept;
  HttpRequest kept_request;
  TestServer server(
      [&](HttpRequest request, Reply reply) {
        if (request.target == "/keep") {
          kept = std::move(reply);
          kept_request = std::move(request);
        } else {
          Echo(std::move(request), std::move(reply));
        }
      },
      limits);
  RawSocket caller(server.address());

  SECTION("with a clear error") {
    struct Row {
      std::string request;
      std::string error;
    };
    const auto row = GENERATE_REF(
        Row{absl::StrCat("GET / HTTP/1.1\r\nHost: x\r\nX-Large: ",
                         std::string(5000, 'x'), "\r\n\r\n"),
            "headers-too-large"},
        Row{Post(std::string(1001, 'x')), "body-too-large"},
        Row{"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"},
        Row{"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"},
        Row{"G@T / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"},
        Row{"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"});
    caller.Send(row.request);
    const std::string answer = caller.ReadMessage();
    INFO(row.request.substr(0, 60) << " -> " << answer);
    CHECK(Has(answer, "Chestnutport-Outcome: not-run"));
    CHECK(Has(answer, "Chestnutport-Error: " + row.error));
  }
  SECTION("by an answer or an end, if it is no HTTP") {
    const std::string nonsense = GENERATE(
        "\r\n\r\n", "nonsense\r\n\r\n", "GET\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
        "chunked\r\n\r\nzz\r\n",
        std::string("\0\1\2\3\r\n\r\n", 8),
        "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
    caller.Send(nonsense);
    caller.CloseWriting();
    const std::string answer = caller.ReadToEnd();
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 4") ||
           answer.starts_with("HTTP/1.0 4")));
  }
  SECTION("once, if the end of its body cannot be told") {
    const std::string coding =
        GENERATE("identity", "xchunked", "chunked;q=1", "gzip", "gzip, chunked",
                 "chunked\r\nTransfer-Encoding: identity", "");
    int handled = 0;
    TestServer counting([&](const HttpRequest&, Reply reply) {
      ++handled;
      reply.Send({});
    });
    RawSocket smuggler(counting.address());
    smuggler.Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding +
                  "\r\n\r\n" + kGet);
    const std::string answers = smuggler.ReadToEnd();
    INFO(coding);
    CHECK(answers.starts_with("HTTP/1.1 400"));
    CHECK(answers.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(handled == 0);
  }
  SECTION("that states a body longer than any memory") {
    const std::string length =
        GENERATE("Content-Length: 99999999999999\r\n\r\n",
                 "Transfer-Encoding: chunked\r\n\r\n5af3107a3fff\r\n");
    caller.Send("POST / HTTP/1.1\r\nHost: x\r\n" + length +
                std::string(2000, 'x'));
    caller.CloseWriting();
    CHECK_FALSE(Has(caller.ReadToEnd(), "200 OK"));
  }
  SECTION("when the bodies at hand use up the budget") {
    caller.Send(
        "POST /keep HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" +
        std::string(1000, 'k'));
    REQUIRE(server.WaitFor([&] { return kept.IsOpen(); }));
    RawSocket second(server.address());
    second.Send(Post(std::string(1000, 'x')));
    CHECK(Has(second.ReadMessage(), "Chestnutport-Error: overloaded"));
    server.Run([&] {
      kept.Send({});
      kept_request = {};
    });
    caller.ReadMessage();
    second.Send(Post(std::string(1000, 'x')));
    CHECK(Has(second.ReadMessage(), "200 OK"));
  }
  RawSocket other(server.address());
  other.Send(kGet);
  CHECK(Has(other.ReadMessage(), "200 OK"));
}

TEST_CASE("a caller that never sends a whole request is cut off") {
  client_limits::ListenerLimits limits;
  limits.to_send_request = std::chrono::seconds(1);
  limits.connections = 4;
  TestServer server(&Echo, limits);
  const std::string begun = GENERATE(
      "", "GET / HT",
      "GET / HTTP/1.1\r\nX: ", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
  std::vector<RawSocket> slow;
  for (unsigned int i = 0; i < 2 * limits.connections; ++i) {
    slow.emplace_back(server.address());
    slow.back().Send(begun);
  }
  RawSocket caller(server.address());
  caller.Send(kGet);
  CHECK(Has(caller.ReadMessage(), "200 OK"));
  CHECK(slow.front().ReadToEnd().empty());
}

TEST_CASE("a body that is handed on as it comes") {
  client_limits::ListenerLimits limits;
  limits.stream_above = 1000;
  const std::string body(200'000, 'b');
  std::string received;
  Reply kept;
  int handled = 0;
  TestServer server(
      [&](HttpRequest request, Reply reply) {
        ++handled;
        if (request.unread_body == 0) {
          Echo(std::move(request), std::move(reply));
          return;
        }
        CHECK(request.unread_body == body.size());
        kept = std::move(reply);
      },
      limits);
  const auto read_body = [&] {
    kept.ReadBody([&](const std::string& part) {
      received += part;
      if (received.size() == body.size())
        kept.Send({.headers = {}, .body = "whole"});
      return false;
    });
  };
  RawSocket caller(server.address());
  std::thread sender([&] { caller.Send(Post(body) + kGet); });
  REQUIRE(server.WaitFor([&] { return kept.IsOpen(); }));

  SECTION("is read as fast as the handler takes it, and a request follows it") {
    server.Run(read_body);
    REQUIRE(server.WaitFor([&] {
      kept.ContinueBody();
      return received.size() == body.size();
    }));
    CHECK(received == body);
    CHECK(caller.ReadMessage().ends_with("whole"));
    CHECK(caller.ReadMessage().ends_with("GET "));
    CHECK(handled == 2);
  }
  SECTION("is discarded once it is answered, and a request follows it") {
    server.Run([&] { kept.Send({.status = 503}); });
    CHECK(Has(caller.ReadMessage(), "503"));
    CHECK(caller.ReadMessage().ends_with("GET "));
    CHECK(received.empty());
  }
  sender.join();
}

TEST_CASE("a server may close with requests at hand") {
  EventLoop loop;
  Reply kept;
  auto server = HttpServer::Open(loop, kAnyPort, {},
                                 [&](const HttpRequest&, Reply reply) {
                                   kept = std::move(reply);
                                   loop.Stop();
                                 })
                    .value();
  RawSocket caller(server->address());
  caller.Send(kGet);
  loop.Run();
  REQUIRE(kept.IsOpen());
  server.reset();
  CHECK_FALSE(kept.IsOpen());
  CHECK(caller.ReadToEnd().empty());
}

}  // namespace
}  // namespace chestnutport::net
