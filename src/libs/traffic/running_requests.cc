#include "traffic/running_requests.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "base/text.h"

namespace chestnutport::traffic {
namespace {

constexpr size_t kMaxAbandoned = 256;
// Longer names are not recorded: each prefix of a name may be looked up.
constexpr size_t kLongestName = 256;

// Follows the name of the parent in that of a nested call.
bool IsSeparator(char letter) {
  return !absl::ascii_isalnum(static_cast<unsigned char>(letter));
}

}  // namespace

void RunningRequests::OnStarted(const std::string& name,
                                const RunningRequest& request) {
  if (name.empty() || name.size() > kLongestName)
    return;
  const std::lock_guard lock(mutex_);
  running_[name] = {.request = request};
}

bool RunningRequests::OnEnded(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto ended = running_.extract(name);
  return !ended.empty() && ended.mapped().has_failed_call;
}

bool RunningRequests::OnAbandoned(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto ended = running_.extract(name);
  if (ended.empty())
    return false;
  if (abandoned_.insert_or_assign(name, ended.mapped()).second)
    abandoned_names_.push_back(name);
  if (abandoned_names_.size() > kMaxAbandoned) {
    abandoned_.erase(abandoned_names_.front());
    abandoned_names_.pop_front();
  }
  return ended.mapped().has_failed_call;
}

std::optional<RunningRequest> RunningRequests::FindParent(
    std::string_view name) const {
  const std::lock_guard lock(mutex_);
  const auto parent = ParentIn(running_, name);
  return parent == running_.end() ? std::nullopt
                                  : std::optional(parent->second.request);
}

std::optional<RunningRequest> RunningRequests::FindAbandoned(
    std::string_view name) const {
  const std::lock_guard lock(mutex_);
  const auto parent = ParentIn(abandoned_, name);
  return parent == abandoned_.end() ? std::nullopt
                                    : std::optional(parent->second.request);
}

bool RunningRequests::IsNameOfNestedCall(std::string_view name) {
  return std::any_of(name.begin() + (name.empty() ? 0 : 1), name.end(),
                     &IsSeparator);
}

void RunningRequests::OnCallFailed(std::string_view name) {
  const std::lock_guard lock(mutex_);
  const auto parent = ParentIn(running_, name);
  if (parent != running_.end())
    running_[parent->first].has_failed_call = true;
}

RunningRequests::Requests::const_iterator RunningRequests::ParentIn(
    const Requests& requests,
    std::string_view name) {
  // A parent's name ends before the separator.
  const size_t searched = std::min(name.size(), kLongestName + 1);
  for (size_t end = searched; end-- > 1;) {
    if (!IsSeparator(name[end]))
      continue;
    const auto found = requests.find(base::AbslView(name.substr(0, end)));
    if (found != requests.end())
      return found;
  }
  return requests.end();
}

}  // namespace chestnutport::traffic
