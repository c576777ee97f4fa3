// Records the results of requests with idempotency keys that this node owns.
// Limited in number, bytes and age of records. Time is passed in.
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
  size_t bytes = 16 * 1024 * 1024;      // Of all stored answers.
  size_t max_answer_bytes = 64 * 1024;  // Larger bodies are not stored.
  // Longer than the window in which a key may be reused.
  base::Duration retention = std::chrono::minutes(3);
};

enum class ClaimVerdict {
  kRun,             // New key: run the request, then report how it ended.
  kInUse,           // A request with this key is running.
  kAnswered,        // The request ran; `answer` is the stored answer.
  kAnsweredBefore,  // The request ran, but its answer was not stored.
  kUncertain,       // The request may have run.
  kMismatch,        // The key was first used for another request.
  kFull,            // The maximum number of records is reached.
};

struct Claim {
  ClaimVerdict verdict = ClaimVerdict::kFull;
  const net::HttpAnswer* answer = nullptr;  // Valid until the next call.
};

class KeyRecordStore {
 public:
  explicit KeyRecordStore(const KeyRecordLimits& limits) : limits_(limits) {}

  // Whether there is a record for the key, including one of a running request.
  bool Contains(const KeyScope& scope) const {
    return records_.contains(scope);
  }

  Claim Begin(const KeyScope& scope, uint64_t fingerprint, base::Instant now);
  // Each kRun must be followed by one of these.
  void OnAnswer(const KeyScope& scope,
                const net::HttpAnswer& answer,
                base::Instant now);
  // The request ran, but its answer is not available.
  void OnAnswerDiscarded(const KeyScope& scope, base::Instant now);
  void OnNotRun(const KeyScope& scope);
  void OnUncertain(const KeyScope& scope, base::Instant now);

  // Removes records older than the retention time. The cost is linear in the
  // number removed.
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
