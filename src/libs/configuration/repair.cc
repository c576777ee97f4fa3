#include "configuration/repair.h"

#include <algorithm>
#include <tuple>

namespace chestnutport::configuration {
namespace {

auto ConfirmationOrder(const Head& head) {
  const HistoryEntry* last = head.LastConfirmation();
  return last ? std::tuple(last->confirmed_at, last->plan_id)
              : std::tuple(std::string(), std::string());
}

// Returns `winner` with the confirmations that only `other` contains, marked as
// overruled.
Head Overrule(const Head& winner, const Head& other) {
  Head head = winner;
  const uint64_t oldest = winner.history.empty()
                              ? winner.revision
                              : winner.history.front().revision;
  for (HistoryEntry entry : other.history) {
    const bool is_known = std::ranges::any_of(
        winner.history, [&](auto& e) { return e.plan_id == entry.plan_id; });
    if (is_known || entry.revision < oldest)
      continue;
    entry.overruled = true;
    head.history.push_back(std::move(entry));
  }
  std::ranges::stable_sort(head.history, {}, &HistoryEntry::revision);
  BoundHistory(head.history);
  return head;
}

}  // namespace

std::optional<Head> RepairStore(const Head& stored, const Head& local) {
  if (stored.revision > local.revision || local.revision == 0)
    return std::nullopt;
  if (stored.revision < local.revision)
    return Overrule(local, stored);
  if (stored.manifest == local.manifest &&
      ConfirmationOrder(stored) == ConfirmationOrder(local))
    return std::nullopt;
  const bool stored_is_later =
      ConfirmationOrder(stored) > ConfirmationOrder(local);
  Head head =
      stored_is_later ? Overrule(stored, local) : Overrule(local, stored);
  ++head.revision;
  return head;
}

}  // namespace chestnutport::configuration
