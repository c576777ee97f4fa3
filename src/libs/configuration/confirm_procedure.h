// The steps of one confirmation. The store may be unavailable or slow, its
// responses may be lost, and reads may be stale.
#ifndef CONFIGURATION_CONFIRM_PROCEDURE_H_
#define CONFIGURATION_CONFIRM_PROCEDURE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/result.h"
#include "base/time.h"
#include "configuration/documents.h"
#include "configuration/head.h"

namespace chestnutport::configuration {

// A plan that an operator confirms.
struct ConfirmRequest {
  uint64_t base_revision = 0;
  std::string plan_id;
  std::string confirmed_by;
  std::string confirmed_at;
  declarations::DeclarationTexts texts;
};

// The head as read from the store.
struct StoredHead {
  Head head;
  int64_t store_revision = 0;  // Zero if the store has no head.
  int64_t as_of = 0;  // The store's revision at the read; zero if unknown.
};

enum class ConfirmOutcome {
  kConfirmed,
  kAlreadyConfirmed,
  kStale,        // The plan has an outdated base; nothing was changed.
  kUnavailable,  // The store was unavailable; nothing was changed.
  kUnknown,      // The write may have taken effect.
};

// The action to take next. Except for Finish, its result is passed to the
// corresponding On...() function.
struct ReadHead {};
struct WriteDocuments {
  Documents documents;
};
struct SwapHead {
  int64_t expected_store_revision = 0;
  Head head;
};
struct Backoff {
  base::Duration duration{};
};
struct Finish {
  ConfirmOutcome outcome = ConfirmOutcome::kUnknown;
  uint64_t revision = 0;  // Of the confirmation; zero if not confirmed.
  Head head;              // The newest head seen.
};
using ConfirmStep =
    std::variant<ReadHead, WriteDocuments, SwapHead, Backoff, Finish>;

// If the response to the compare-and-swap is lost, its outcome is resolved by
// reading the head and, if that is unchanged, by sending the same
// compare-and-swap again. This is safe: the swap changes the store revision
// that it compares, so it takes effect at most once, and not at all once the
// store has a later revision.
class ConfirmProcedure {
 public:
  // Stops retrying at `deadline` and finishes with the outcome known by then.
  ConfirmProcedure(ConfirmRequest request, base::Instant deadline);

  ConfirmStep Start();
  // `local` is the head that this node holds, `greatest_reported` the greatest
  // revision reported by any other node.
  ConfirmStep OnHead(base::Instant now,
                     const base::Result<StoredHead>& stored,
                     const Head& local,
                     uint64_t greatest_reported);
  ConfirmStep OnDocuments(base::Instant now, bool all_written);
  ConfirmStep OnSwap(base::Instant now, const base::Result<bool>& swapped);
  ConfirmStep OnBackoffElapsed();

  const ConfirmRequest& request() const { return request_; }

 private:
  ConfirmStep WriteIfCurrent(base::Instant now, const StoredHead& stored);
  ConfirmStep RetryOrGiveUp(base::Instant now);
  ConfirmStep GiveUp() const;
  Finish Finished(ConfirmOutcome outcome, uint64_t revision) const;

  ConfirmRequest request_;
  base::Instant deadline_;
  base::Duration backoff_;
  Head newest_head_;  // Of the heads in the store and on this node.
  SwapHead swap_;
  bool documents_written_ = false;
  // The store revision compared by a swap of unknown outcome; -1 if there is no
  // such swap.
  int64_t unresolved_swap_revision_ = -1;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_CONFIRM_PROCEDURE_H_
