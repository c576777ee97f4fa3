// Connection options for the platform's store.
#ifndef STORE_STORE_CONNECTIONS_H_
#define STORE_STORE_CONNECTIONS_H_

#include "http_client/http_client.h"

namespace chestnutport::store {

// Returns the options for connections to the store. A watch is idle for
// seconds, so TCP keep-alive probes start after one second to detect a lost
// connection. A connection that was idle for longer is not reused, as it may
// have been lost.
http_client::HttpClientOptions StoreConnections();

}  // namespace chestnutport::store

#endif  // STORE_STORE_CONNECTIONS_H_
