// The connections to the platform's store.
#ifndef STORE_STORE_CONNECTIONS_H_
#define STORE_STORE_CONNECTIONS_H_

#include "net/http_client.h"

namespace chestnutport::store {

// A watch waits for seconds on a connection on which nothing comes: whether the
// other end is still there is asked each second. One that was idle for longer
// is not used again, as it may have gone silent since.
net::HttpClientOptions StoreConnections();

}  // namespace chestnutport::store

#endif  // STORE_STORE_CONNECTIONS_H_
