// A blocking HTTP client for tests.
#ifndef SUPPORT_HTTP_CALLER_H_
#define SUPPORT_HTTP_CALLER_H_

#include <chrono>
#include <string>

#include "base/socket_address.h"
#include "http_client/http_client.h"

namespace chestnutport::test {

// Sends one request on a new connection and waits at most `limit` for its
// result.
http_client::TransferResult SendAndWait(
    const base::SocketAddress& to,
    net::HttpRequest request,
    std::chrono::seconds limit = std::chrono::seconds(30));

}  // namespace chestnutport::test

#endif  // SUPPORT_HTTP_CALLER_H_
