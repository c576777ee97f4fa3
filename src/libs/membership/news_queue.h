// What a node has still to pass on.
#ifndef MEMBERSHIP_NEWS_QUEUE_H_
#define MEMBERSHIP_NEWS_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace chestnutport::membership {

// One piece of news names what it is about, a member or a request; what is said
// of it is looked up when it is sent, so that it is the newest.
template <typename Subject>
struct QueuedNews {
  Subject id;
  int repeats = 0;           // Times that it still travels.
  bool with_record = false;  // A member's record is part of the news.
  bool fresh = true;         // Not yet sent to the members told at once.
};

template <typename Subject>
class NewsQueue {
 public:
  using News = QueuedNews<Subject>;

  // More is left to pulls: the oldest news are dropped.
  static constexpr size_t kCapacity = 1024;

  void Push(const Subject& id, bool with_record, int repeats);
  bool HasFresh() const { return fresh_ > 0; }
  bool empty() const { return news_.empty(); }

  // Calls `take(news)` for each fresh piece until it returns false; those
  // taken are fresh no longer.
  template <typename Take>
  void TakeFresh(Take take);
  // Calls `take(news)` for pieces by turns until it returns false; each one
  // taken has one repeat less.
  template <typename Take>
  void TakeRepeats(Take take);

 private:
  std::vector<News> news_;
  size_t fresh_ = 0;
  size_t turn_ = 0;
};

template <typename Subject>
void NewsQueue<Subject>::Push(const Subject& id,
                              bool with_record,
                              int repeats) {
  const auto found = std::ranges::find(news_, id, &News::id);
  if (found != news_.end()) {
    fresh_ += found->fresh ? 0 : 1;
    found->fresh = true;
    found->repeats = repeats;
    found->with_record |= with_record;
    return;
  }
  if (news_.size() == kCapacity) {
    fresh_ -= news_.front().fresh ? 1 : 0;
    news_.erase(news_.begin());
  }
  news_.push_back({id, repeats, with_record, true});
  ++fresh_;
}

template <typename Subject>
template <typename Take>
void NewsQueue<Subject>::TakeFresh(Take take) {
  for (News& news : news_) {
    if (!news.fresh)
      continue;
    if (!take(news))
      return;
    news.fresh = false;
    --fresh_;
  }
}

template <typename Subject>
template <typename Take>
void NewsQueue<Subject>::TakeRepeats(Take take) {
  for (size_t count = news_.size(); count > 0 && !news_.empty(); --count) {
    if (turn_ >= news_.size())
      turn_ = 0;
    News& news = news_[turn_];
    if (!take(news))
      return;
    ++turn_;
    if (--news.repeats > 0 || news.fresh)
      continue;
    --turn_;
    news = news_.back();
    news_.pop_back();
  }
}

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_NEWS_QUEUE_H_
