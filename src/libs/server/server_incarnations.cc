#include "server/server_incarnations.h"

#include <algorithm>
#include <utility>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;

// Starts of one server that may still be heard of: what is late comes within
// seconds, and a server does not start more often than each second.
constexpr size_t kPastKept = 16;
constexpr milliseconds kNotTold(0);

}  // namespace

ServerIncarnations::Verdict ServerIncarnations::OnAnnounced(
    const ServerAnnouncement& said,
    bool is_overdue) {
  const bool is_current =
      current_ && IsSame(*current_, said.instance, said.started_at);
  if (is_current)
    return OnCurrent(said, is_overdue);
  if (!MayReplace(said, is_overdue))
    return Verdict::kLate;
  if (current_)
    Keep(*std::exchange(current_, std::nullopt));
  std::erase_if(past_, [&](const Incarnation& past) {
    return IsSame(past, said.instance, said.started_at);
  });
  current_ = Incarnation{said.instance, said.started_at, said.sequence};
  return Verdict::kStarted;
}

bool ServerIncarnations::OnLeft(const std::string& instance,
                                milliseconds started_at) {
  const bool is_current =
      instance.empty() || (current_ && IsSame(*current_, instance, started_at));
  Incarnation left =
      is_current && current_ ? *current_ : Incarnation{instance, started_at};
  left.has_left = true;
  if (is_current)
    current_.reset();
  if (!left.instance.empty())
    Keep(std::move(left));
  return is_current;
}

// A time that one of the two did not tell does not tell them apart.
bool ServerIncarnations::IsSame(const Incarnation& known,
                                const std::string& instance,
                                milliseconds started_at) {
  const bool is_told = known.started_at != kNotTold && started_at != kNotTold;
  return known.instance == instance &&
         (!is_told || known.started_at == started_at);
}

ServerIncarnations::Verdict ServerIncarnations::OnCurrent(
    const ServerAnnouncement& said,
    bool is_overdue) {
  // One that tells its time of start tells it always: this is another's.
  const bool is_others =
      current_->started_at != kNotTold && said.started_at == kNotTold;
  const bool is_older =
      said.sequence > 0 && said.sequence <= current_->sequence && !is_overdue;
  if (!said.instance.empty() && (is_others || is_older))
    return Verdict::kLate;
  current_->started_at = said.started_at;
  current_->sequence = said.sequence;
  return Verdict::kContinues;
}

bool ServerIncarnations::MayReplace(const ServerAnnouncement& said,
                                    bool is_overdue) const {
  const auto known = std::ranges::find_if(past_, [&](const Incarnation& past) {
    return IsSame(past, said.instance, said.started_at);
  });
  const bool is_known = known != past_.end() && !said.instance.empty();
  if (is_known && known->has_left)
    return false;
  const bool same_instance = current_ && current_->instance == said.instance;
  if (is_known)
    return same_instance && is_overdue && said.sequence > known->sequence;
  return !same_instance || is_overdue || said.started_at > current_->started_at;
}

void ServerIncarnations::Keep(Incarnation past) {
  past_.push_back(std::move(past));
  if (past_.size() > kPastKept)
    past_.pop_front();
}

}  // namespace chestnutport::server
