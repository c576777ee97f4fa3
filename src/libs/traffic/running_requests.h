// The requests that this node's server runs at the moment, by the names that
// callers gave them. Written by the gate thread, and read by the ingress
// thread, which receives the calls that the server makes meanwhile.
//
// The name of a nested call starts with the name of the request that the server
// makes it for, followed by a separator. A call with another name is treated as
// an ordinary request.
#ifndef TRAFFIC_RUNNING_REQUESTS_H_
#define TRAFFIC_RUNNING_REQUESTS_H_

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "traffic/running_request.h"

namespace chestnutport::traffic {

class RunningRequests {
 public:
  // The request was sent to the server. An empty name is not recorded, nor one
  // of more than 256 bytes.
  void OnStarted(const std::string& name, const RunningRequest& request = {});
  // The server answered. Returns whether a nested call of the request failed.
  bool OnEnded(const std::string& name);
  // There is no answer, and the server may go on with the request. It is kept
  // for FindAbandoned() until 256 others were abandoned. Returns whether a
  // nested call of the request failed.
  bool OnAbandoned(const std::string& name);

  // Returns whether `name` is a call that the server makes for a running
  // request.
  bool IsNested(std::string_view name) const { return !!FindParent(name); }
  // Returns the request that the call is made for, or nothing if it is not a
  // nested call.
  std::optional<RunningRequest> FindParent(std::string_view name) const;
  // Returns the same of the requests that were abandoned.
  std::optional<RunningRequest> FindAbandoned(std::string_view name) const;
  // Whether `name` has the form of the name of a nested call.
  static bool IsNameOfNestedCall(std::string_view name);
  // The call `name` failed.
  void OnCallFailed(std::string_view name);

 private:
  struct Running {
    RunningRequest request;
    bool has_failed_call = false;
  };
  using Requests = absl::flat_hash_map<std::string, Running>;

  // Returns the request that the call is made for, or the end of `requests`.
  static Requests::const_iterator ParentIn(const Requests& requests,
                                           std::string_view name);

  mutable std::mutex mutex_;
  Requests running_;
  Requests abandoned_;
  std::deque<std::string> abandoned_names_;  // The oldest first.
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_RUNNING_REQUESTS_H_
