#include "configuration/confirm_procedure.h"

#include <algorithm>
#include <utility>

namespace chestnutport::configuration {
namespace {

constexpr base::Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr base::Duration kMaxBackoff = std::chrono::seconds(1);
constexpr int64_t kNone = -1;

}  // namespace

ConfirmProcedure::ConfirmProcedure(ConfirmRequest request,
                                   base::Instant deadline)
    : request_(std::move(request)),
      deadline_(deadline),
      backoff_(kInitialBackoff) {}

ConfirmStep ConfirmProcedure::Start() {
  return ReadHead{};
}

ConfirmStep ConfirmProcedure::OnHead(base::Instant now,
                                     const base::Result<StoredHead>& stored,
                                     const Head& local,
                                     uint64_t greatest_reported) {
  if (!stored)
    return RetryOrGiveUp(now);
  const Head& head = stored.value().head;
  newest_head_ = head.revision >= local.revision ? head : local;
  const HistoryEntry* entry = head.FindPlan(request_.plan_id);
  if (!entry)
    entry = local.FindPlan(request_.plan_id);
  if (entry) {
    // Confirmed by this procedure only if it has sent a swap.
    const bool is_own = swap_.head.revision != 0 &&
                        entry->confirmed_at == request_.confirmed_at &&
                        entry->confirmed_by == request_.confirmed_by;
    return Finished(
        is_own ? ConfirmOutcome::kConfirmed : ConfirmOutcome::kAlreadyConfirmed,
        entry->revision);
  }
  // The swap can no longer take effect once the revision has increased. A lower
  // revision is a stale read, which proves nothing.
  if (unresolved_swap_revision_ != kNone &&
      stored.value().store_revision > unresolved_swap_revision_)
    unresolved_swap_revision_ = kNone;
  if (unresolved_swap_revision_ != kNone) {
    if (stored.value().store_revision == unresolved_swap_revision_)
      return swap_;
    return RetryOrGiveUp(now);
  }
  // This node lacks a newer revision, against which the plan has to be checked.
  if (std::max(greatest_reported, request_.base_revision) >
      newest_head_.revision)
    return RetryOrGiveUp(now);
  return WriteIfCurrent(now, stored.value());
}

ConfirmStep ConfirmProcedure::WriteIfCurrent(base::Instant now,
                                             const StoredHead& stored) {
  if (newest_head_.revision != request_.base_revision)
    return Finished(ConfirmOutcome::kStale, 0);
  if (now >= deadline_)
    return GiveUp();
  HistoryEntry entry;
  entry.plan_id = request_.plan_id;
  entry.confirmed_by = request_.confirmed_by;
  entry.confirmed_at = request_.confirmed_at;
  swap_.expected_store_revision = stored.store_revision;
  swap_.head =
      NextHead(newest_head_, MakeManifest(request_.texts), std::move(entry));
  if (documents_written_)
    return swap_;
  WriteDocuments write{MakeDocuments(request_.texts)};
  for (const auto& [service, hash] : stored.head.manifest)
    write.documents.erase(hash);
  return write;
}

ConfirmStep ConfirmProcedure::OnDocuments(base::Instant now, bool all_written) {
  if (!all_written)
    return RetryOrGiveUp(now);
  documents_written_ = true;
  return swap_;
}

ConfirmStep ConfirmProcedure::OnSwap(base::Instant now,
                                     const base::Result<bool>& swapped) {
  if (swapped && swapped.value()) {
    newest_head_ = swap_.head;
    return Finished(ConfirmOutcome::kConfirmed, swap_.head.revision);
  }
  // If the request was delivered twice, a failed comparison may be the response
  // to the second delivery after the first took effect. Only a read resolves
  // this.
  const bool was_never_sent =
      !swapped &&
      base::KindOf(swapped.error()) == base::ErrorKind::kStoreUnavailable;
  if (!was_never_sent)
    unresolved_swap_revision_ = swap_.expected_store_revision;
  return RetryOrGiveUp(now);
}

ConfirmStep ConfirmProcedure::OnBackoffElapsed() {
  return ReadHead{};
}

ConfirmStep ConfirmProcedure::RetryOrGiveUp(base::Instant now) {
  if (now >= deadline_)
    return GiveUp();
  const Backoff step{backoff_};
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  return step;
}

ConfirmStep ConfirmProcedure::GiveUp() const {
  return Finished(unresolved_swap_revision_ == kNone
                      ? ConfirmOutcome::kUnavailable
                      : ConfirmOutcome::kUnknown,
                  0);
}

Finish ConfirmProcedure::Finished(ConfirmOutcome outcome,
                                  uint64_t revision) const {
  return {outcome, revision, newest_head_};
}

}  // namespace chestnutport::configuration
