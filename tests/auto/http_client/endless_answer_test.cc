// Guards against a server whose bytes never end, in a head, a body or answers
// that are skipped, until the client closes the connection.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <optional>
#include <string>

#include "http_client/http_client.h"
#include "support/raw_server.h"

namespace chestnutport::http_client {
namespace {

using std::chrono::seconds;
using test::RawServer;
using test::RawSocket;

constexpr char kTag[] = "Request-Id";
constexpr size_t kLargestAnswer = 64 * 1024;
constexpr uint64_t kLargestStream = 4 * 1024 * 1024;
// What a client may read of answers before the one that it waits for, and what
// the sockets of both ends hold beside what was read.
constexpr size_t kMaxSkipped = 8 * 1024 * 1024;
constexpr size_t kSocketBuffers = 12 * 1024 * 1024;
// Longer than any of the limits takes to be reached.
constexpr seconds kTimeout(20);

struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string repeated;
};

std::string Repeat(const std::string& text) {
  std::string all;
  while (all.size() < 8 * 1024)
    all += text;
  return all;
}

const EndlessAnswer kAnswers[] = {
    {"bytes that are no answer", "", "spam"},
    {"a status line", "HTTP/1.1 200 ", "OK"},
    {"a header", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaa"},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"headers of an interim answer", "HTTP/1.1 103 Early Hints\r\n",
     "Link: </a>\r\n"},
    {"answers to other requests", "",
     "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 2\r\n\r\nno"},
    {"the body of an answer to another request",
     "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\n", "body"},
    {"the chunked body of an answer to another request",
     "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nTransfer-Encoding: "
     "chunked\r\n\r\n",
     "4\r\nbody\r\n"},
    {"a body until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n",
     "body"},
    {"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "4\r\nbody\r\n"},
    {"a body longer than any",
     "HTTP/1.1 200 OK\r\nContent-Length: "
     "99999999999999\r\n\r\n",
     "body"},
    {"the extension of a chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", "aaaa"},
    {"the length of a chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000"},
    {"the trailer of a chunked body",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Many: a\r\n"},
};

HttpClientOptions Options() {
  HttpClientOptions options;
  options.answer_tag = kTag;
  options.largest_answer = kLargestAnswer;
  options.largest_stream = kLargestStream;
  return options;
}

TEST_CASE("a server whose bytes never end") {
  const EndlessAnswer answer =
      kAnswers[GENERATE(range(size_t{0}, std::size(kAnswers)))];
  const bool is_streamed = GENERATE(false, true);
  INFO(answer.name << (is_streamed ? ", streamed" : ""));
  std::atomic<size_t> sent = 0;
  RawServer endless([&](RawSocket& connection, int) {
    if (connection.ReadUntil("\r\n\r\n").empty())
      return;
    const std::string repeated = Repeat(answer.repeated);
    connection.Send(answer.begin);
    while (connection.Send(repeated))
      sent += repeated.size();
  });
  RawServer sound([](RawSocket& connection, int) {
    while (!connection.ReadUntil("\r\n\r\n").empty())
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });

  net::EventLoop loop;
  HttpClient client(loop, Options());
  const net::HttpRequest request{
      .method = "GET", .target = "/", .headers = {{kTag, "r-1"}}};
  std::optional<TransferResult> result;
  uint64_t handed_on = 0;
  size_t served = 0;
  bool is_awaited = false;
  client.Stream(
      endless.address(), request, kTimeout,
      [&](const net::HttpAnswer&) { return is_streamed; },
      [&](std::string_view part) {
        handed_on += part.size();
        return true;
      },
      [&](TransferResult ended) {
        result = std::move(ended);
        loop.Stop();
      });
  // Other transfers of the same loop go on meanwhile.
  std::function<void()> ask_sound = [&] {
    client.Send(sound.address(), request, kTimeout, [&](TransferResult ended) {
      served += ended.end == TransferEnd::kComplete ? 1 : 0;
      if (!result)
        ask_sound();
      else if (is_awaited)
        loop.Stop();
    });
  };
  ask_sound();
  const base::Instant started_at = base::Clock::now();
  loop.Run();

  REQUIRE(result);
  CHECK(result->end == TransferEnd::kLost);
  CHECK(base::Clock::now() - started_at < kTimeout);
  CHECK(result->answer.body.size() <= kLargestAnswer);
  CHECK(handed_on <= kLargestStream);
  CHECK(sent <= kMaxSkipped + kSocketBuffers);
  // The connection is closed, or the server would go on.
  const size_t sent_so_far = sent;
  loop.CallAfter(std::chrono::milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
  CHECK(sent <= sent_so_far + kSocketBuffers);
  is_awaited = true;
  ask_sound();
  loop.Run();
  CHECK(served > 0);
}

}  // namespace
}  // namespace chestnutport::http_client
