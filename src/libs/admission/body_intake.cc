#include "admission/body_intake.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

using base::AttemptId;
using base::Duration;
using base::Instant;

constexpr double kBitsPerByte = 8;
// A granted body that has not arrived after this multiple of the transit time
// of all bodies in transit, and the slack, was given up by its sender.
constexpr int kTransitMargin = 3;
constexpr std::chrono::milliseconds kTransitSlack(150);

}  // namespace

void BodyIntake::SetLinkRate(double bits_per_second) {
  bytes_per_second_ = bits_per_second / kBitsPerByte;
}

BodyIntake::Decision BodyIntake::Ask(const BodyArrival& body, Instant now) {
  if (bytes_per_second_ <= 0)
    return Decision::kGranted;
  DropExpired(now);
  if (queue_.empty() && HasRoomFor(body.bytes)) {
    Grant(body, now);
    return Decision::kGranted;
  }
  if (Backlog(now) > kMaxWait + kMaxTransitTime)
    return Decision::kRefused;
  const auto place = std::ranges::upper_bound(
      queue_, body.rank, {}, [](const Queued& q) { return q.body.rank; });
  queue_.insert(place, {body, now + kMaxWait});
  return Decision::kQueued;
}

void BodyIntake::OnEnded(const AttemptId& attempt) {
  std::erase_if(in_transit_,
                [&](const Transit& t) { return t.attempt == attempt; });
  std::erase_if(queue_,
                [&](const Queued& q) { return q.body.attempt == attempt; });
}

std::vector<AttemptId> BodyIntake::TakeGranted(Instant now) {
  DropExpired(now);
  std::vector<AttemptId> granted;
  while (!queue_.empty() && HasRoomFor(queue_.front().body.bytes)) {
    Grant(queue_.front().body, now);
    granted.push_back(queue_.front().body.attempt);
    queue_.erase(queue_.begin());
  }
  return granted;
}

std::vector<AttemptId> BodyIntake::TakeExpired(Instant now) {
  std::vector<AttemptId> expired;
  std::erase_if(queue_, [&](const Queued& queued) {
    if (now < queued.expires_at)
      return false;
    expired.push_back(queued.body.attempt);
    return true;
  });
  return expired;
}

Duration BodyIntake::Backlog(Instant now) const {
  size_t bytes = 0;
  for (const Transit& transit : in_transit_) {
    if (now < transit.expires_at)
      bytes += transit.bytes;
  }
  for (const Queued& queued : queue_)
    bytes += queued.body.bytes;
  return TransitTime(bytes);
}

void BodyIntake::DropExpired(Instant now) {
  std::erase_if(in_transit_, [&](const Transit& transit) {
    return now >= transit.expires_at;
  });
}

bool BodyIntake::HasRoomFor(size_t bytes) const {
  return in_transit_.empty() ||
         TransitTime(BytesInTransit() + bytes) <= kMaxTransitTime;
}

void BodyIntake::Grant(const BodyArrival& body, Instant now) {
  const Duration time = TransitTime(BytesInTransit() + body.bytes);
  in_transit_.push_back(
      {body.attempt, body.bytes, now + kTransitMargin * time + kTransitSlack});
}

Duration BodyIntake::TransitTime(size_t bytes) const {
  if (bytes_per_second_ <= 0)
    return {};
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / bytes_per_second_));
}

size_t BodyIntake::BytesInTransit() const {
  size_t bytes = 0;
  for (const Transit& transit : in_transit_)
    bytes += transit.bytes;
  return bytes;
}

}  // namespace chestnutport::admission
