#include "configuration/local_configuration.h"

#include <set>

namespace chestnutport::configuration {

ApplyResult LocalConfiguration::Apply(const Head& head,
                                      const Documents& added) {
  if (head.revision <= head_.revision)
    return ApplyResult::kNotNewer;
  for (const auto& [hash, text] : added) {
    if (DocumentHash(text) != hash)
      return ApplyResult::kIncomplete;
  }
  // Documents are immutable, so they are kept even if others are missing.
  documents_.insert(added.begin(), added.end());
  if (!MissingDocuments(head.manifest, documents_).empty())
    return ApplyResult::kIncomplete;
  head_ = head;
  EvictUnusedDocuments();
  return ApplyResult::kApplied;
}

void LocalConfiguration::EvictUnusedDocuments() {
  std::set<std::string, std::less<>> used;
  for (const auto& [service, hash] : head_.manifest)
    used.insert(hash);
  for (const HistoryEntry& entry : head_.history) {
    for (const auto& [service, before] : entry.changed)
      used.insert(before);
  }
  std::erase_if(documents_,
                [&](const auto& item) { return !used.contains(item.first); });
}

}  // namespace chestnutport::configuration
