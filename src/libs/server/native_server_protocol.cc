#include "server/native_server_protocol.h"

#include "base/encoding.h"
#include "base/outcome.h"
#include "wire/header_names.h"

namespace chestnutport::server {
namespace {

constexpr int kUnavailable = 503;

// Headers exchanged between nodes, which are removed before forwarding.
constexpr const char* kPeerOnlyHeaders[] = {
    wire::kTargetHeader, wire::kSignatureHeader, wire::kServerNoticeHeader};

}  // namespace

void NativeServerProtocol::Prepare(net::HttpRequest& request,
                                   const ForwardingInfo& info) const {
  for (const char* name : kPeerOnlyHeaders)
    net::RemoveHeader(request.headers, name);
  net::RemoveHeader(request.headers, wire::kDeadlineHeader);
  request.headers.push_back(
      {wire::kDeadlineHeader, base::FormatDuration(info.remaining)});
}

ServerVerdict NativeServerProtocol::ClassifyResponse(
    const net::HttpAnswer& head) const {
  const bool is_shed = head.status == kUnavailable &&
                       net::FindHeader(head.headers, wire::kOutcomeHeader) ==
                           ToString(base::Outcome::kNotRun);
  return is_shed ? ServerVerdict::kShed : ServerVerdict::kAnswered;
}

std::optional<wire::ServerLoad> NativeServerProtocol::Load(
    const net::HttpHeaders& /*headers*/) const {
  return std::nullopt;
}

std::optional<base::Duration> NativeServerProtocol::ColdFor(
    const net::HttpHeaders& headers) const {
  return base::ParseDuration(net::FindHeader(headers, wire::kColdForHeader));
}

wire::ServerNotice NativeServerProtocol::Notice(
    const net::HttpHeaders& headers) const {
  return wire::ServerNotice::Read(headers, wire::kRateLimitHeader,
                                  wire::kLeavingHeader);
}

std::string NativeServerProtocol::Instance(
    const net::HttpHeaders& /*headers*/) const {
  return "";
}

}  // namespace chestnutport::server
