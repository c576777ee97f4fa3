// What became of the requests with idempotency keys that this node owns. Pure:
// time is passed in. Bounded in records, bytes and time.
#ifndef KEYS_KEY_RECORD_STORE_H_
#define KEYS_KEY_RECORD_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "keys/key_scope.h"
#include "net/http_message.h"

namespace chestnutport::keys {

struct KeyRecordLimits {
  size_t records = 50000;
  size_t bytes = 16 * 1024 * 1024;      // Of all kept answers.
  size_t max_answer_bytes = 64 * 1024;  // Bytes of a body that is kept.
  // Longer than the window in which a key may be sent again.
  base::Duration retention = std::chrono::minutes(3);
};

enum class ClaimVerdict {
  kRun,             // New: run it, then tell how it ended.
  kInUse,           // A request with this key is running.
  kAnswered,        // It ran; `answer` is what was answered.
  kAnsweredBefore,  // It ran; the answer was too large to keep.
  kUncertain,       // It may have run.
  kMismatch,        // The key was first used for another request.
  kFull,            // There is no room for a further record.
};

struct Claim {
  ClaimVerdict verdict = ClaimVerdict::kFull;
  const net::HttpAnswer* answer = nullptr;  // Valid until the next call.
};

class KeyRecordStore {
 public:
  explicit KeyRecordStore(const KeyRecordLimits& limits) : limits_(limits) {}

  // Whether there is a record, also of a request that runs.
  bool Contains(const KeyScope& scope) const {
    return records_.contains(scope);
  }

  Claim Begin(const KeyScope& scope, uint64_t fingerprint, base::Instant now);
  // Each kRun is followed by one of these.
  void OnAnswer(const KeyScope& scope,
                const net::HttpAnswer& answer,
                base::Instant now);
  // It ran, but its answer is not at hand.
  void OnAnswerDiscarded(const KeyScope& scope, base::Instant now);
  void OnNotRun(const KeyScope& scope);
  void OnUncertain(const KeyScope& scope, base::Instant now);

  // Forgets what is old; the cost is that of what is forgotten.
  void Expire(base::Instant now);

  size_t records() const { return records_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  enum class State { kRunning, kAnswered, kAnsweredBefore, kUncertain };

  struct Record {
    State state = State::kRunning;
    uint64_t fingerprint = 0;
    net::HttpAnswer answer;
  };
  struct Expiry {
    KeyScope scope;
    base::Instant ended_at;
  };

  KeyRecordLimits limits_;
  absl::flat_hash_map<KeyScope, Record> records_;
  std::deque<Expiry> expiries_;  // Oldest first.
  size_t bytes_ = 0;
};

}  // namespace chestnutport::keys

#endif  // KEYS_KEY_RECORD_STORE_H_
