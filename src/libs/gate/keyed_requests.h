// Requests with idempotency keys, at the gate of the node that owns the keys.
// Runs on the gate thread.
#ifndef GATE_KEYED_REQUESTS_H_
#define GATE_KEYED_REQUESTS_H_

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/attempt_id.h"
#include "base/node_id.h"
#include "base/time.h"
#include "keys/key_ownership.h"
#include "keys/key_record_store.h"
#include "keys/key_scope.h"
#include "net/http_message.h"
#include "wire/peer_request_head.h"

namespace chestnutport::gate {

class KeyedRequests {
 public:
  explicit KeyedRequests(base::NodeId self);

  // Sets the nodes of this node's service, as known at `as_of`.
  void SetView(std::vector<keys::OwnerNode> nodes, base::Instant as_of);

  // Returns whether a request from another node carries a key.
  static bool HasKey(const net::HttpRequest& request);

  // Call when an attempt arrives. Returns the answer to send at once, or
  // nothing if the attempt may proceed, with or without a key.
  std::optional<net::HttpAnswer> Begin(const wire::PeerRequestHead& head,
                                       const net::HttpRequest& request,
                                       base::Instant now);
  // Call just before the attempt is sent to the server. Returns whether it may
  // be sent.
  bool MayStart(const base::AttemptId& attempt, base::Instant now) const;
  // Call instead of OnEnd() when an answer starts that is too large to store.
  void OnStreamed(const base::AttemptId& attempt, base::Instant now);
  // Call with the answer to an attempt that proceeded; adds headers to it.
  void OnEnd(const base::AttemptId& attempt,
             net::HttpAnswer& answer,
             base::Instant now);

 private:
  keys::KeyOwnership ownership_;
  keys::KeyRecordStore records_;
  absl::flat_hash_map<base::AttemptId, keys::KeyScope> active_;
};

}  // namespace chestnutport::gate

#endif  // GATE_KEYED_REQUESTS_H_
