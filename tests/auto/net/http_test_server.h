// An HTTP server of a test, on a thread of its own, and what is sent to it.
#ifndef NET_HTTP_TEST_SERVER_H_
#define NET_HTTP_TEST_SERVER_H_

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "client_limits/listener_limits.h"
#include "net/http_server.h"
#include "support/wait.h"

namespace chestnutport::net {

inline constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
inline const base::SocketAddress kAnyPort =
    *base::SocketAddress::Parse("127.0.0.1:0");

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

inline void Echo(HttpRequest request, Reply reply) {
  reply.Send({.headers = {{"X-Target", request.target}},
              .body = request.method + " " + request.body.ToString()});
}

inline std::string Post(const std::string& body) {
  return absl::StrCat("POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: ",
                      body.size(), "\r\n\r\n", body);
}

inline bool Has(const std::string& answer, const std::string& text) {
  return answer.find(text) != std::string::npos;
}

}  // namespace chestnutport::net

#endif  // NET_HTTP_TEST_SERVER_H_
