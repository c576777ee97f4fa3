// What this node's server runs at the moment, by the names that callers gave
// the requests. Shared by the gate thread, which writes it, and the ingress
// thread, where the calls arrive that the server makes meanwhile.
//
// Servers name a call after the request that they make it for: the request's
// name, a mark, and more. A call that is not named so is as any other request.
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
  // The server got the request; an empty name is not kept.
  void OnStarted(const std::string& name,
                 const std::string& traffic_class = {});
  // Returns whether a call failed that the server made for the request.
  bool OnEnded(const std::string& name);

  // Whether the server makes the call `name` for a request that it runs.
  bool IsNested(std::string_view name) const { return !!ClassOfParent(name); }
  // The class of the request that the server makes the call for; nothing: it is
  // no such call.
  std::optional<std::string> ClassOfParent(std::string_view name) const;
  // The call `name` got no good answer.
  void OnCallFailed(std::string_view name);

 private:
  struct Running {
    std::string traffic_class;
    bool has_failed_call = false;
  };

  // The request that the call is made for, if it is running. Needs the lock.
  const std::string* ParentOf(std::string_view name) const;

  mutable std::mutex mutex_;
  absl::flat_hash_map<std::string, Running> running_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_RUNNING_REQUESTS_H_
