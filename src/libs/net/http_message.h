// The parts of HTTP messages that the product's own code looks at.
#ifndef NET_HTTP_MESSAGE_H_
#define NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "memory/body.h"

namespace chestnutport::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The first header of that name, compared without case; empty if none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// Removes every header of that name.
void RemoveHeader(HttpHeaders& headers, std::string_view name);

// True for headers that end at each hop, by RFC 9110 section 7.6.1.
bool IsHopByHop(std::string_view name);

// Removes the headers that end at this hop: the well-known ones and those that
// the Connection header names.
void RemoveHopByHop(HttpHeaders& headers);

// Whether the text is a token, by RFC 9110 section 5.6.2.
bool IsToken(std::string_view text);

// Whether a header can be written: the name is a token, and the value holds no
// control character but the tab.
bool IsWritable(const HttpHeader& header);

struct HttpRequest {
  std::string method;
  std::string target;  // Path and query, as sent.
  HttpHeaders headers;
  memory::Body body;
  // Bytes of the body that follow `body` and are still to be read, of a request
  // that is handed on before they came; see Reply::ReadBody().
  uint64_t unread_body = 0;
  // When its head had come; the epoch if it was not received.
  base::Instant received_at;
};

// Whether no part of the request's head could be read as another line: neither
// method, target nor headers hold control characters, and names are tokens.
bool IsWritable(const HttpRequest& request);

struct HttpAnswer {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace chestnutport::net

#endif  // NET_HTTP_MESSAGE_H_
