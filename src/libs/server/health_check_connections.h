// Connections for health checks of the local server.
#ifndef SERVER_HEALTH_CHECK_CONNECTIONS_H_
#define SERVER_HEALTH_CHECK_CONNECTIONS_H_

#include "http_client/http_client.h"

namespace chestnutport::server {

// Only the head of the response is evaluated.
inline http_client::HttpClientOptions HealthCheckConnections() {
  http_client::HttpClientOptions options;
  options.largest_answer = 64 * 1024;
  return options;
}

}  // namespace chestnutport::server

#endif  // SERVER_HEALTH_CHECK_CONNECTIONS_H_
