// Where this node sends requests for tokens, and whom it asks if it does not
// know or gets no answers. Does no I/O; time is passed in.
#ifndef LIMIT_SERVICE_ALLOCATOR_LOCATOR_H_
#define LIMIT_SERVICE_ALLOCATOR_LOCATOR_H_

#include <chrono>
#include <optional>
#include <vector>

#include "base/boot_clock.h"
#include "base/socket_address.h"
#include "limits/limit_messages.h"

namespace chestnutport::limit_service {

class AllocatorLocator {
 public:
  // Requests without an answer after which other members are asked.
  static constexpr int kUnansweredLimit = 2;
  // The first request without an answer must be older than this: between data
  // centres several requests may be under way at once.
  static constexpr std::chrono::milliseconds kAnswerTime{100};
  // Between two rounds of inquiries, and how many members a round asks.
  static constexpr std::chrono::milliseconds kInquiryInterval{200};
  static constexpr size_t kInquiries = 3;

  // Sets the members that may be or become the allocator, without this node, in
  // the order in which they do.
  void SetCandidates(std::vector<base::SocketAddress> candidates);

  // Takes note of an allocator. Returns false if a later one is known.
  bool OnNotice(const limits::AllocatorNotice& notice);
  // A request was sent to the known allocator.
  void OnAsked(base::BootInstant now);
  // The known allocator has answered.
  void OnAnswered();

  // Returns whom to ask now. `is_needed`: whether this node needs to know the
  // allocator while it knows none.
  std::vector<base::SocketAddress> InquiriesDue(bool is_needed,
                                                base::BootInstant now);
  // Returns when to call InquiriesDue() next.
  std::optional<base::BootInstant> NextDue(bool is_needed) const;

  const std::optional<limits::AllocatorNotice>& known() const { return known_; }

 private:
  // Whether the known allocator does not answer.
  bool IsUnanswered() const { return unanswered_ >= kUnansweredLimit; }

  std::vector<base::SocketAddress> candidates_;
  size_t next_candidate_ = 0;
  std::optional<limits::AllocatorNotice> known_;
  int unanswered_ = 0;
  base::BootInstant unanswered_since_;
  base::BootInstant inquired_at_;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_ALLOCATOR_LOCATOR_H_
