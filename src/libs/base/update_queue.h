// Updates that a node still has to send.
#ifndef BASE_UPDATE_QUEUE_H_
#define BASE_UPDATE_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace chestnutport::base {

// Identifies the member or the request that an update is about. The content is
// looked up when the update is sent, so that it is current.
template <typename Subject>
struct QueuedUpdate {
  Subject id;
  int retransmissions = 0;   // How often it is still to be piggybacked.
  bool with_record = false;  // Whether the member's record is sent along.
  bool is_unsent = true;     // Not yet sent by the first fan-out.
};

template <typename Subject>
class UpdateQueue {
 public:
  using Item = QueuedUpdate<Subject>;

  // When full, the oldest updates are dropped; other nodes get them by pulls.
  static constexpr size_t kCapacity = 1024;

  void Push(const Subject& id, bool with_record, int retransmissions);
  bool HasUnsent() const { return unsent_ > 0; }
  bool empty() const { return updates_.empty(); }

  // Calls `take(update)` for each unsent update until it returns false, and
  // marks those taken as sent.
  template <typename Take>
  void TakeUnsent(Take take);
  // Calls `take(update)` for updates in turn until it returns false. Each
  // update taken uses up one of its retransmissions.
  template <typename Take>
  void TakePiggybacked(Take take);

 private:
  std::vector<Item> updates_;
  size_t unsent_ = 0;
  size_t position_ = 0;
};

template <typename Subject>
void UpdateQueue<Subject>::Push(const Subject& id,
                                bool with_record,
                                int retransmissions) {
  const auto found = std::ranges::find(updates_, id, &Item::id);
  if (found != updates_.end()) {
    unsent_ += found->is_unsent ? 0 : 1;
    found->is_unsent = true;
    found->retransmissions = retransmissions;
    found->with_record |= with_record;
    return;
  }
  if (updates_.size() == kCapacity) {
    unsent_ -= updates_.front().is_unsent ? 1 : 0;
    updates_.erase(updates_.begin());
  }
  updates_.push_back({id, retransmissions, with_record, true});
  ++unsent_;
}

template <typename Subject>
template <typename Take>
void UpdateQueue<Subject>::TakeUnsent(Take take) {
  for (Item& update : updates_) {
    if (!update.is_unsent)
      continue;
    if (!take(update))
      return;
    update.is_unsent = false;
    --unsent_;
  }
}

template <typename Subject>
template <typename Take>
void UpdateQueue<Subject>::TakePiggybacked(Take take) {
  for (size_t count = updates_.size(); count > 0 && !updates_.empty();
       --count) {
    if (position_ >= updates_.size())
      position_ = 0;
    Item& update = updates_[position_];
    if (!take(update))
      return;
    ++position_;
    if (--update.retransmissions > 0 || update.is_unsent)
      continue;
    --position_;
    update = updates_.back();
    updates_.pop_back();
  }
}

}  // namespace chestnutport::base

#endif  // BASE_UPDATE_QUEUE_H_
