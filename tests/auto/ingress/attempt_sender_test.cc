// Guards against sending the rest of an attempt whose caller has left.
#include "ingress/attempt_sender.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "support/raw_server.h"
#include "support/wait.h"

namespace chestnutport::ingress {
namespace {

using std::chrono::milliseconds;
using test::RawServer;
using test::RawSocket;

constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kCapacity[] = "HTTP/1.1 204 No Content\r\n\r\n";
// More than the socket buffers of a connection hold.
constexpr size_t kBodySize = 30'000'000;

TEST_CASE("an abandoned attempt that was not sent whole is not sent further") {
  std::atomic<bool> has_begun = false;
  std::atomic<bool> reads_on = false;
  std::atomic<bool> has_ended = false;
  std::atomic<size_t> received = 0;
  RawServer peer([&](RawSocket& connection, int) {
    connection.ReadUntil(kHeadEnd);  // The capacity inquiry, without a body.
    connection.Send(kCapacity);
    connection.ReadUntil(kHeadEnd);
    has_begun = true;
    test::WaitUntil([&] { return reads_on.load(); });
    received = connection.ReadToEnd().size();
    has_ended = true;
  });
  net::EventLoop loop;
  calls::RetryBudget node_retries(0, 1);
  ServiceTraffic service({}, node_retries);
  AttemptSender sender(loop, {"key", ""});
  routing::ServerCandidate candidate;
  candidate.node = {1};
  candidate.peer_address = peer.address();
  wire::PeerRequestHead head;
  head.attempt = {1, 1};
  head.remaining = std::chrono::seconds(20);
  const auto run_until = [&](const std::atomic<bool>& holds) {
    return test::WaitUntil([&] {
      loop.CallAfter(milliseconds(1), [&] { loop.Stop(); });
      loop.Run();
      return holds.load();
    });
  };

  sender.Send(
      service, candidate, head,
      {.method = "POST", .target = "/", .body = std::string(kBodySize, 'x')},
      [](const auto&, const auto&) {});
  REQUIRE(run_until(has_begun));
  sender.Abandon(head.attempt);
  reads_on = true;
  REQUIRE(run_until(has_ended));
  CHECK(received < kBodySize);
}

}  // namespace
}  // namespace chestnutport::ingress
