// What one node tells another about a caller's request that it hands over.
#ifndef WIRE_PEER_REQUEST_HEAD_H_
#define WIRE_PEER_REQUEST_HEAD_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/attempt_id.h"
#include "base/node_id.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "net/http_message.h"
#include "wire/peer_server_notice.h"

namespace chestnutport::wire {

struct PeerRequestHead {
  // No less is sent: what is to be done at a deadline is the sender's matter.
  static constexpr std::chrono::milliseconds kLeastRemaining{1};

  base::AttemptId attempt;
  base::NodeId target;  // The life of the node that is meant.
  std::string service;
  base::Duration remaining{};  // Until the caller's deadline.
  std::string tenant;
  std::string traffic_class;
  // Kind of work, for the expected service time. Empty: requests of one tenant
  // in one class are of one kind.
  std::string work_kind;
  int depth = 0;  // Calls above this one.
  // Until an answer is worth less; nothing: it is worth the same until the
  // deadline.
  std::optional<base::Duration> target_in;
  // The gate may hand it back unrun if its server is slow or fails, and if it
  // is full.
  bool may_move = false;
  bool may_move_if_full = false;
  // How many times the usual work a good answer costs as a rule just now: a
  // server that is no worse than the others is no reason to hand back.
  double usual_strain = 1;
  bool may_stop = false;     // One that runs may be stopped halfway.
  std::string request_name;  // As the caller named it; may be empty.
  // Of what the caller asks for. Zero: the sender did not tell it.
  base::RequestFingerprint fingerprint;
  // Servers ended with it twice, as far as the sender knows.
  bool is_suspect = false;
  // What the sender knows of the server beside the gate.
  std::optional<PeerServerNotice> server_notice;

  // Adds the head to `headers`, signed with `key`.
  void AppendTo(net::HttpHeaders& headers, std::string_view key) const;

  // Nothing if a part is missing or malformed.
  static std::optional<PeerRequestHead> Read(const net::HttpHeaders& headers);

  // Whether `headers` bear a signature made with `key`.
  bool IsSignedWith(const net::HttpHeaders& headers,
                    std::string_view key) const;

 private:
  std::string Signature(std::string_view key) const;
};

}  // namespace chestnutport::wire

#endif  // WIRE_PEER_REQUEST_HEAD_H_
