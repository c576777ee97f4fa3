#include "server/acknowledgement_queue.h"

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
  size_t count = 0;
  // In the order of their arrival, and so of their times.
  while (!waiting_.empty() && now >= waiting_.front().until) {
    waiting_.front().reply.Send(
        {.status = kUnavailable,
         .body = "in effect, but the store could not keep it yet\n"});
    waiting_.pop_front();
    ++count;
  }
  return count;
}

}  // namespace chestnutport::server
