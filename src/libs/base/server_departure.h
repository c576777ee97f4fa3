// That a server has told its node that it leaves.
#ifndef BASE_SERVER_DEPARTURE_H_
#define BASE_SERVER_DEPARTURE_H_

#include <chrono>
#include <string>

namespace chestnutport::base {

struct ServerDeparture {
  // The incarnation that leaves.
  std::string instance;
  std::chrono::milliseconds started_at{};  // Since the epoch; zero if unknown.
  // Whether it has deregistered. If not, it is draining.
  bool has_left = false;

  // Whether it is this incarnation that leaves. A start time that one side does
  // not know matches any.
  bool IsOf(const std::string& other_instance,
            std::chrono::milliseconds other_started_at) const;

  // Whether the incarnation is one that had the same name and started before
  // the one that leaves. It has ended, as a VM has one server at a time. False
  // if one of the start times is unknown.
  bool IsAfter(const std::string& other_instance,
               std::chrono::milliseconds other_started_at) const;

  bool operator==(const ServerDeparture&) const = default;
};

}  // namespace chestnutport::base

#endif  // BASE_SERVER_DEPARTURE_H_
