#include "support/gate_fixture.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "rpc/call_codec.h"
#include "server/native_server_protocol.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const control_calls::PeerKeys kKeys{"0123456789abcdef0123456789abcdef", ""};
constexpr base::NodeId kGateId{7};

base::SocketAddress AnyPort() {
  return base::SocketAddress::Parse("127.0.0.1:0").value();
}

wire::PeerRequestHead MakeHead(uint64_t sequence) {
  wire::PeerRequestHead head;
  head.attempt = {1, sequence};
  head.target = kGateId;
  head.service = "dossie";
  head.remaining = seconds(10);
  head.request_name = "r" + std::to_string(sequence);
  return head;
}

wire::PeerRequestHead HeadOf(uint64_t sequence,
                             const quarantine::IncomingRequest& request) {
  wire::PeerRequestHead head = MakeHead(sequence);
  head.fingerprint = request.fingerprint;
  head.is_suspect = request.is_suspect;
  head.may_stop = true;
  return head;
}

}  // namespace

GateFixture::GateFixture(const server::AnyServerProtocol& protocol)
    : gate_(
          loop_,
          {kGateId, "a", "poa-a", "south"},
          kKeys,
          protocol,
          running,
          {.report =
               [this](const gate::GateReport& reported) { report = reported; },
           .server_crash =
               [this](const quarantine::ServerCrash& crash) {
                 crashes.push_back(crash);
               },
           .suspect_answered =
               [this](base::RequestFingerprint fingerprint) {
                 answered_suspects.push_back(fingerprint);
               }}),
      peer_(loop_, http_client::HttpClientOptions{}) {
  server_ =
      net::HttpServer::Open(loop_, AnyPort(), client_limits::ListenerLimits{},
                            [this](net::HttpRequest request, net::Reply reply) {
                              OnServed(std::move(request), std::move(reply));
                            })
          .value();
  address_ = gate_.Listen(AnyPort()).value();
  state.announced = true;
  state.service = "dossie";
  state.address = server_->address();
  state.life = 1;
  Apply();
}

GateFixture::GateFixture()
    : GateFixture(
          server::AnyServerProtocol::Of(server::NativeServerProtocol())) {}

base::AttemptId GateFixture::Begin(const std::string& method,
                                   base::Duration remaining) {
  wire::PeerRequestHead head = MakeHead(++last_);
  head.remaining = remaining;
  head.may_move = attempt_may_move;
  return Send(head, method);
}

base::AttemptId GateFixture::BeginGuarded(
    const quarantine::IncomingRequest& request) {
  return Send(HeadOf(++last_, request), "GET");
}

base::AttemptId GateFixture::BeginKeyed(
    const quarantine::IncomingRequest& request,
    const std::string& key) {
  return Send(
      HeadOf(++last_, request), "POST",
      {{wire::kIdempotencyKeyHeader, key}, {wire::kKeyAgeHeader, "0ms"}});
}

void GateFixture::AcquireKeyOwnership() {
  const base::Instant now = base::Clock::now();
  for (base::Instant at = now - seconds(30); at <= now; at += seconds(1))
    gate_.SetKeyView({{kGateId}}, at);
}

base::AttemptId GateFixture::Send(wire::PeerRequestHead head,
                                  const std::string& method,
                                  net::HttpHeaders headers) {
  net::HttpRequest request{
      .method = method, .target = "/1", .headers = std::move(headers)};
  head.server_notice = passed_on;
  head.AppendTo(request.headers, kKeys.current);
  transfers.push_back(
      peer_.Send(address_, std::move(request), seconds(10),
                 [this, id = head.attempt.sequence](const auto& done) {
                   results[id] = done;
                 }));
  return head.attempt;
}

http_client::TransferResult GateFixture::InquireCapacity(
    const quarantine::IncomingRequest& guarded) {
  wire::PeerRequestHead head = MakeHead(++last_);
  head.fingerprint = guarded.fingerprint;
  head.is_suspect = guarded.is_suspect;
  head.target_in = milliseconds(1);
  head.may_move = true;
  head.may_move_if_full = inquiry_may_move;
  head.server_notice = passed_on;
  net::HttpRequest request{.method = "POST",
                           .target = traffic::kCapacityInquiryPath};
  head.AppendTo(request.headers, kKeys.current);
  const uint64_t id = last_;
  peer_.Send(address_, std::move(request), seconds(10),
             [this, id](const auto& done) { results[id] = done; });
  if (!RunUntil([&] { return results.contains(id); }))
    throw std::runtime_error("the capacity inquiry was not answered");
  return results[id];
}

http_client::TransferResult GateFixture::Run(const std::string& method) {
  const uint64_t id = Begin(method).sequence;
  if (!RunUntil([&] { return results.contains(id); }))
    throw std::runtime_error("the attempt did not end");
  return results[id];
}

http_client::TransferResult GateFixture::Repeat(
    const base::AttemptId& attempt) {
  results.erase(attempt.sequence);
  Send(MakeHead(attempt.sequence), "GET");
  if (!RunUntil([&] { return results.contains(attempt.sequence); }))
    throw std::runtime_error("the repeated attempt did not end");
  return results[attempt.sequence];
}

std::string GateFixture::ControlAttempt(const base::AttemptId& attempt,
                                        bool cancel,
                                        bool stop_running) {
  std::string reported = "none";
  wire::PeerRequestHead head;
  head.attempt = attempt;
  head.target = kGateId;
  head.remaining = seconds(5);
  net::HttpRequest request{.method = "POST", .target = traffic::kSettlePath};
  head.AppendTo(request.headers, kKeys.current);
  const nlohmann::json params = {{"attempt", attempt.ToString()},
                                 {"cancel", cancel},
                                 {"stop_running", stop_running}};
  request.body = rpc::EncodeCall("attempt.settle", params.dump());
  peer_.Send(address_, std::move(request), seconds(5),
             [&](const http_client::TransferResult& done) {
               std::string text;
               std::string error;
               rpc::DecodeAnswer("attempt.settle", done.answer.body, &text,
                                 &error);
               reported = nlohmann::json::parse(text)["state"];
             });
  if (!RunUntil([&] { return reported != "none"; }))
    throw std::runtime_error("the attempt.settle call was not answered");
  return reported;
}

bool GateFixture::RunUntil(const std::function<bool()>& holds) {
  for (int i = 0; i < 1000 && !holds(); ++i) {
    loop_.CallAfter(milliseconds(10), [this] { loop_.Stop(); });
    loop_.Run();
  }
  return holds();
}

void GateFixture::OnServed(net::HttpRequest request, net::Reply reply) {
  served.push_back(std::move(request));
  on_request();
  if (!is_silent) {
    reply.Send(answer);
    return;
  }
  reply.OnGone([this] { ++closed_requests; });
  pending_replies.push_back(std::move(reply));
}

std::string Outcome(const http_client::TransferResult& result) {
  return std::string(
      net::FindHeader(result.answer.headers, wire::kOutcomeHeader));
}

std::string Error(const http_client::TransferResult& result) {
  return std::string(
      net::FindHeader(result.answer.headers, wire::kErrorHeader));
}

}  // namespace chestnutport::test
