// How a server speaks that knows the product's own headers.
#ifndef SERVER_OWN_SERVER_PROTOCOL_H_
#define SERVER_OWN_SERVER_PROTOCOL_H_

#include "server/server_protocol.h"

namespace chestnutport::server {

// A server sheds with a 503 that bears the mark of what did not run; without
// the mark it is an answer as any other.
class OwnServerProtocol {
 public:
  void Prepare(net::HttpRequest& request, const ServerSend& send) const;
  ServerVerdict Judge(const net::HttpAnswer& head) const;
  std::optional<wire::ServerLoad> Load(const net::HttpHeaders& headers) const;
  std::optional<base::Duration> ColdFor(const net::HttpHeaders& headers) const;
  bool TellsWhenCold() const { return false; }
  std::string Instance(const net::HttpHeaders& headers) const;
  std::string AnswerTag() const { return ""; }
};

}  // namespace chestnutport::server

#endif  // SERVER_OWN_SERVER_PROTOCOL_H_
