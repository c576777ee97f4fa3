// Protocol of servers that implement the Chestnutport headers. Used if the
// setting `adapter` is `own`.
#ifndef SERVER_NATIVE_SERVER_PROTOCOL_H_
#define SERVER_NATIVE_SERVER_PROTOCOL_H_

#include "server/server_protocol.h"

namespace chestnutport::server {

// A server sheds a request by a 503 whose outcome header states that the
// request was not run. A 503 without that header is an ordinary response.
class NativeServerProtocol {
 public:
  void Prepare(net::HttpRequest& request, const ForwardingInfo& info) const;
  ServerVerdict ClassifyResponse(const net::HttpAnswer& head) const;
  std::optional<wire::ServerLoad> Load(const net::HttpHeaders& headers) const;
  std::optional<base::Duration> ColdFor(const net::HttpHeaders& headers) const;
  wire::ServerNotice Notice(const net::HttpHeaders& headers) const;
  bool ReportsColdState() const { return false; }
  std::string Instance(const net::HttpHeaders& headers) const;
  std::string AnswerTag() const { return ""; }
  AnnouncementRequirements RequiredInAnnouncements() const { return {}; }
};

}  // namespace chestnutport::server

#endif  // SERVER_NATIVE_SERVER_PROTOCOL_H_
