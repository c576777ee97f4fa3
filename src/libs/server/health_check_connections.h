// Connections for health checks of the local server.
#ifndef SERVER_HEALTH_CHECK_CONNECTIONS_H_
#define SERVER_HEALTH_CHECK_CONNECTIONS_H_

#include "net/http_client.h"

namespace chestnutport::server {

// Only the head of the response is evaluated.
inline net::HttpClientOptions HealthCheckConnections() {
  net::HttpClientOptions options;
  options.largest_answer = 64 * 1024;
  return options;
}

}  // namespace chestnutport::server

#endif  // SERVER_HEALTH_CHECK_CONNECTIONS_H_
