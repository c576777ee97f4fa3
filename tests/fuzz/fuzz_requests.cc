// Sends the input as a client of an HTTP server. What the server hands on must
// be a request within the limits, and nothing may be kept of a connection that
// has ended.
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "fuzz/pieces.h"
#include "net/http_server.h"
#include "support/raw_socket.h"

namespace chestnutport::test {
namespace {

constexpr size_t kLargestBody = 2000;
constexpr int kRounds = 3;  // To accept, read and answer.

void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

client_limits::ListenerLimits Limits() {
  client_limits::ListenerLimits limits;
  limits.largest_headers = 500;
  limits.largest_body = kLargestBody;
  limits.stream_above = 1000;
  limits.large_bodies = kLargestBody;
  limits.small_bodies = kLargestBody;
  limits.heads = 20'000;
  limits.input = 4000;
  limits.answers = 8000;
  return limits;
}

class Server {
 public:
  Server()
      : server_(net::HttpServer::Open(
                    loop_,
                    *base::SocketAddress::Parse("127.0.0.1:0"),
                    Limits(),
                    [](net::HttpRequest request, net::Reply reply) {
                      OnRequest(std::move(request), std::move(reply));
                    })
                    .value()) {}

  void Play(const std::vector<std::string>& pieces) {
    RawSocket client(server_->address());
    for (const std::string& piece : pieces) {
      client.Send(piece);
      RunRounds();
      Require(server_->input_bytes() <= Limits().input, "too much input kept");
    }
    client.Reset();
    RunRounds();
    Require(server_->input_bytes() == 0, "input of an ended connection");
    Require(server_->answer_bytes() == 0, "answers of an ended connection");
    Require(server_->body_bytes() == 0, "a body of an ended connection");
    Require(server_->heads().held() == 0, "a head of an ended connection");
  }

 private:
  static void OnRequest(net::HttpRequest request, net::Reply reply) {
    Require(net::IsWritable(request), "a request that cannot be passed on");
    Require(request.body.size() + request.unread_body <= kLargestBody,
            "a body beyond the limit");
    reply.Send({.headers = {{"X-Target", request.target}},
                .body = request.body.ToString()});
  }

  void RunRounds() {
    for (int round = 0; round < kRounds; ++round) {
      loop_.Post([this] { loop_.Stop(); });
      loop_.Run();
    }
  }

  net::EventLoop loop_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace
}  // namespace chestnutport::test

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static chestnutport::test::Server server;
  server.Play(chestnutport::test::SplitInput(data, size));
  return 0;
}
