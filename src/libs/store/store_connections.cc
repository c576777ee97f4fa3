#include "store/store_connections.h"

namespace chestnutport::store {
namespace {

constexpr std::chrono::seconds kMaxIdle(1);

}  // namespace

http_client::HttpClientOptions StoreConnections() {
  http_client::HttpClientOptions options;
  options.tcp.keepalive_idle = kMaxIdle;
  options.longest_idle = kMaxIdle;
  return options;
}

}  // namespace chestnutport::store
