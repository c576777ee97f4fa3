// Sends the input as a server's answer to an HTTP client. A transfer must end
// once, with a status that exists and a body within the limits.
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>
#include <optional>

#include "fuzz/pieces.h"
#include "http_client/http_client.h"
#include "sockets/listening_socket.h"
#include "support/raw_socket.h"

namespace chestnutport::test {
namespace {

constexpr size_t kLargestAnswer = 2000;
constexpr int kRounds = 2;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

http_client::HttpClientOptions Options() {
  http_client::HttpClientOptions options;
  options.largest_answer = kLargestAnswer;
  options.answer_tag = "X-Id";
  return options;
}

class Client {
 public:
  Client()
      : listener_(sockets::ListeningSocket::Open(
                      *base::SocketAddress::Parse("127.0.0.1:0"))
                      .value()),
        client_(loop_, Options()) {}

  void Play(const std::vector<std::string>& pieces) {
    std::optional<http_client::TransferResult> result;
    client_.Send(listener_.address(),
                 {.method = "GET", .target = "/", .headers = {{"X-Id", "1"}}},
                 std::chrono::seconds(10),
                 [&](http_client::TransferResult ended) {
                   Require(!result, "a transfer that ends twice");
                   result = std::move(ended);
                 });
    RunRounds();
    RawSocket server(accept(listener_.fd(), nullptr, nullptr));
    for (const std::string& piece : pieces) {
      server.Send(piece);
      RunRounds();
    }
    server.Close();
    while (!result)
      RunRounds();
    client_.CloseIdle(listener_.address());
    RunRounds();
    if (result->end != http_client::TransferEnd::kComplete)
      return;
    const int status = result->answer.status;
    Require(status >= kFirstFinalStatus && status <= kLastStatus,
            "a status that does not exist");
    Require(result->answer.body.size() <= kLargestAnswer,
            "a body beyond the limit");
  }

 private:
  void RunRounds() {
    for (int round = 0; round < kRounds; ++round) {
      loop_.Post([this] { loop_.Stop(); });
      loop_.Run();
    }
  }

  net::EventLoop loop_;
  sockets::ListeningSocket listener_;
  http_client::HttpClient client_;
};

}  // namespace
}  // namespace chestnutport::test

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static chestnutport::test::Client client;
  client.Play(chestnutport::test::SplitInput(data, size));
  return 0;
}
