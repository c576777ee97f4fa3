// The steps of one confirmation against a store that may be down or slow, lose
// answers, or answer with what was true a while ago.
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

// What an operator asked to confirm.
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
  int64_t store_revision = 0;  // Zero: there is none.
  int64_t as_of = 0;           // The store's own revision then, if it says so.
};

enum class ConfirmOutcome {
  kConfirmed,
  kAlreadyConfirmed,
  kStale,        // Another configuration is in force; nothing was changed.
  kUnavailable,  // The store did not answer; nothing was changed.
  kUnknown,      // The store may have taken the change.
};

// What to do next. Each but the last is answered by the function of its name.
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
  uint64_t revision = 0;  // Of the confirmation, if it was confirmed.
  Head head;              // The newest that was seen.
};
using ConfirmStep =
    std::variant<ReadHead, WriteDocuments, SwapHead, Backoff, Finish>;

// A confirmation whose answer was lost is told apart by sending the same
// compare-and-swap again: it can take effect once only, because it changes the
// revision that it compares; and once the store shows a later revision, it
// never will.
class ConfirmProcedure {
 public:
  // Gives up at `deadline`, with the truth as far as it is known.
  ConfirmProcedure(ConfirmRequest request, base::Instant deadline);

  ConfirmStep Start();
  // `held` is what this node holds; `heard` the greatest revision that any
  // node was heard to hold.
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
  Head newest_head_;  // Of the store and of this node.
  SwapHead swap_;
  bool documents_written_ = false;
  // The store's revision that a swap with a lost answer compared; -1: none.
  int64_t unresolved_swap_revision_ = -1;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_CONFIRM_PROCEDURE_H_
