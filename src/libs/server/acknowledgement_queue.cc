#include "server/acknowledgement_queue.h"

#include <algorithm>
#include <utility>

namespace chestnutport::server {
namespace {

constexpr int kUnavailable = 503;
// Servers wait for a second.
constexpr std::chrono::milliseconds kMaxWait(700);

}  // namespace

void AcknowledgementQueue::Acknowledge(net::Reply reply) {
  reply.Send({.status = 200,
              .headers = {{"Content-Type", "application/json"}},
              .body = "{}\n"});
}

void AcknowledgementQueue::Add(net::Reply reply, base::Instant now) {
  waiting_.push_back({std::move(reply), now + kMaxWait});
}

void AcknowledgementQueue::OnStored() {
  for (Waiting& message : std::exchange(waiting_, {}))
    Acknowledge(std::move(message.reply));
}

size_t AcknowledgementQueue::RejectExpired(base::Instant now) {
  const auto expired = std::ranges::stable_partition(
      waiting_, [now](const Waiting& message) { return now < message.until; });
  const size_t count = expired.size();
  for (Waiting& message : expired) {
    message.reply.Send(
        {.status = kUnavailable,
         .body = "in effect, but the store could not keep it yet\n"});
  }
  waiting_.erase(expired.begin(), expired.end());
  return count;
}

}  // namespace chestnutport::server
