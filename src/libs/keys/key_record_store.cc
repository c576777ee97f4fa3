#include "keys/key_record_store.h"

namespace chestnutport::keys {
namespace {

// Estimated overhead of a header in memory.
constexpr size_t kHeaderBytes = 64;

size_t SizeOf(const net::HttpAnswer& answer) {
  size_t size = answer.body.size();
  for (const net::HttpHeader& header : answer.headers)
    size += header.name.size() + header.value.size() + kHeaderBytes;
  return size;
}

}  // namespace

Claim KeyRecordStore::Begin(const KeyScope& scope,
                            uint64_t fingerprint,
                            base::Instant now) {
  Expire(now);
  const auto found = records_.find(scope);
  if (found == records_.end()) {
    // Older records must not be evicted: their keys could then run again.
    if (records_.size() >= limits_.records)
      return {ClaimVerdict::kFull};
    records_[scope].fingerprint = fingerprint;
    return {ClaimVerdict::kRun};
  }
  const Record& record = found->second;
  if (record.fingerprint != fingerprint)
    return {ClaimVerdict::kMismatch};
  switch (record.state) {
    case State::kRunning:
      return {ClaimVerdict::kInUse};
    case State::kAnswered:
      return {ClaimVerdict::kAnswered, &record.answer};
    case State::kAnsweredBefore:
      return {ClaimVerdict::kAnsweredBefore};
    case State::kUncertain:
      return {ClaimVerdict::kUncertain};
  }
  return {ClaimVerdict::kUncertain};
}

void KeyRecordStore::OnAnswer(const KeyScope& scope,
                              const net::HttpAnswer& answer,
                              base::Instant now) {
  const auto found = records_.find(scope);
  if (found == records_.end())
    return;
  Record& record = found->second;
  const size_t size = SizeOf(answer);
  const bool is_kept = answer.body.size() <= limits_.max_answer_bytes &&
                       bytes_ + size <= limits_.bytes;
  record.state = is_kept ? State::kAnswered : State::kAnsweredBefore;
  if (is_kept) {
    record.answer = answer;
    bytes_ += size;
  }
  expiries_.push_back({scope, now});
}

void KeyRecordStore::OnAnswerDiscarded(const KeyScope& scope,
                                       base::Instant now) {
  const auto found = records_.find(scope);
  if (found == records_.end())
    return;
  found->second.state = State::kAnsweredBefore;
  expiries_.push_back({scope, now});
}

void KeyRecordStore::OnNotRun(const KeyScope& scope) {
  records_.erase(scope);
}

void KeyRecordStore::OnUncertain(const KeyScope& scope, base::Instant now) {
  const auto found = records_.find(scope);
  if (found == records_.end())
    return;
  found->second.state = State::kUncertain;
  expiries_.push_back({scope, now});
}

void KeyRecordStore::Expire(base::Instant now) {
  while (!expiries_.empty() &&
         expiries_.front().ended_at + limits_.retention < now) {
    const auto found = records_.find(expiries_.front().scope);
    if (found != records_.end()) {
      if (found->second.state == State::kAnswered)
        bytes_ -= SizeOf(found->second.answer);
      records_.erase(found);
    }
    expiries_.pop_front();
  }
}

}  // namespace chestnutport::keys
