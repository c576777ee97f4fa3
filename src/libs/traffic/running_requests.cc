#include "traffic/running_requests.h"

#include "absl/strings/ascii.h"
#include "base/text.h"

namespace chestnutport::traffic {

void RunningRequests::OnStarted(const std::string& name,
                                const std::string& traffic_class) {
  if (name.empty())
    return;
  const std::lock_guard lock(mutex_);
  running_[name] = {.traffic_class = traffic_class};
}

bool RunningRequests::OnEnded(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto ended = running_.extract(name);
  return !ended.empty() && ended.mapped().has_failed_call;
}

std::optional<std::string> RunningRequests::ClassOfParent(
    std::string_view name) const {
  const std::lock_guard lock(mutex_);
  const std::string* parent = ParentOf(name);
  if (!parent)
    return std::nullopt;
  return running_.at(*parent).traffic_class;
}

void RunningRequests::OnCallFailed(std::string_view name) {
  const std::lock_guard lock(mutex_);
  if (const std::string* parent = ParentOf(name))
    running_[*parent].has_failed_call = true;
}

const std::string* RunningRequests::ParentOf(std::string_view name) const {
  for (size_t end = name.size(); end-- > 1;) {
    const bool is_separator =
        !absl::ascii_isalnum(static_cast<unsigned char>(name[end]));
    if (!is_separator)
      continue;
    const auto found = running_.find(base::AbslView(name.substr(0, end)));
    if (found != running_.end())
      return &found->first;
  }
  return nullptr;
}

}  // namespace chestnutport::traffic
