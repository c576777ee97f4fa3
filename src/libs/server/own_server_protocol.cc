#include "server/own_server_protocol.h"

#include "base/encoding.h"
#include "base/outcome.h"
#include "wire/header_names.h"

namespace chestnutport::server {
namespace {

constexpr int kUnavailable = 503;

// Headers between nodes that the server must not see.
constexpr const char* kPeerOnlyHeaders[] = {wire::kTargetHeader,
                                            wire::kSignatureHeader};

}  // namespace

void OwnServerProtocol::Prepare(net::HttpRequest& request,
                                const ServerSend& send) const {
  for (const char* name : kPeerOnlyHeaders)
    net::RemoveHeader(request.headers, name);
  net::RemoveHeader(request.headers, wire::kDeadlineHeader);
  request.headers.push_back(
      {wire::kDeadlineHeader, base::FormatDuration(send.remaining)});
}

ServerVerdict OwnServerProtocol::Judge(const net::HttpAnswer& head) const {
  const bool is_shed = head.status == kUnavailable &&
                       net::FindHeader(head.headers, wire::kOutcomeHeader) ==
                           ToString(base::Outcome::kNotRun);
  return is_shed ? ServerVerdict::kShed : ServerVerdict::kAnswered;
}

std::optional<wire::ServerLoad> OwnServerProtocol::Load(
    const net::HttpHeaders& /*headers*/) const {
  return std::nullopt;
}

std::optional<base::Duration> OwnServerProtocol::ColdFor(
    const net::HttpHeaders& headers) const {
  return base::ParseDuration(net::FindHeader(headers, wire::kColdForHeader));
}

std::string OwnServerProtocol::Instance(
    const net::HttpHeaders& /*headers*/) const {
  return "";
}

}  // namespace chestnutport::server
