// The requests that this node's server runs at the moment, by the names that
// callers gave them. Written by the gate thread, and read by the ingress
// thread, which receives the calls that the server makes meanwhile.
//
// The name of a nested call starts with the name of the request that the server
// makes it for, followed by a separator. A call with another name is treated as
// an ordinary request.
#ifndef TRAFFIC_RUNNING_REQUESTS_H_
#define TRAFFIC_RUNNING_REQUESTS_H_

#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

namespace chestnutport::traffic {

class RunningRequests {
 public:
  // The request was sent to the server; an empty name is not recorded.
  void OnStarted(const std::string& name,
                 const std::string& traffic_class = {});
  // Returns whether a nested call of the request failed.
  bool OnEnded(const std::string& name);

  // Returns whether `name` is a call that the server makes for a running
  // request.
  bool IsNested(std::string_view name) const { return !!ClassOfParent(name); }
  // Returns the class of the request that the call is made for, or nothing if
  // it is not a nested call.
  std::optional<std::string> ClassOfParent(std::string_view name) const;
  // The call `name` failed.
  void OnCallFailed(std::string_view name);

 private:
  struct Running {
    std::string traffic_class;
    bool has_failed_call = false;
  };

  // Returns the running request that the call is made for, or null. Requires
  // the lock.
  const std::string* ParentOf(std::string_view name) const;

  mutable std::mutex mutex_;
  absl::flat_hash_map<std::string, Running> running_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_RUNNING_REQUESTS_H_
