// A server against callers that go away, read slowly or send nonsense.
#include "net/http_server.h"
#include "client_limits/listener_limits.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::net {
namespace {

using std::chrono::milliseconds;
using test::RawSocket;

constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const base::SocketAddress kAnyPort = *base::SocketAddress::Parse("127.0.0.1:0");

// A server on a thread of its own. What a test does to the server or to a
// reply, it does by Run().
class TestServer {
 public:
  explicit TestServer(HttpServer::Handler handler,
                      const client_limits::ListenerLimits& limits = {})
      : server_(HttpServer::Open(loop_, kAnyPort, limits, std::move(handler))
                    .value()),
        thread_([this] { loop_.Run(); }) {}
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;
  ~TestServer() {
    loop_.Stop();
    thread_.join();
  }

  const base::SocketAddress& address() const { return server_->address(); }
  EventLoop& loop() { return loop_; }
  HttpServer& operator*() { return *server_; }

  // Runs `task` on the server's thread and waits for it.
  void Run(const std::function<void()>& task) {
    std::atomic<bool> done = false;
    loop_.Post([&] {
      task();
      done = true;
    });
    REQUIRE(test::WaitUntil([&] { return done.load(); }));
  }
  bool WaitFor(const std::function<bool()>& condition) {
    return test::WaitUntil([&] {
      bool holds = false;
      Run([&] { holds = condition(); });
      return holds;
    });
  }

 private:
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

void Echo(HttpRequest request, Reply reply) {
  reply.Send({.headers = {{"X-Target", request.target}},
              .body = request.method + " " + request.body.ToString()});
}

std::string Post(const std::string& body) {
  return absl::StrCat("POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: ",
                      body.size(), "\r\n\r\n", body);
}

bool Has(const std::string& answer, const std::string& text) {
  return answer.find(text) != std::string::npos;
}

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
