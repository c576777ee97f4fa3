#include "store/store_connections.h"

namespace chestnutport::store {
namespace {

constexpr std::chrono::seconds kLongestSilence(1);

}  // namespace

net::HttpClientOptions StoreConnections() {
  net::HttpClientOptions options;
  options.tcp.keepalive_idle = kLongestSilence;
  options.longest_idle = kLongestSilence;
  return options;
}

}  // namespace chestnutport::store
