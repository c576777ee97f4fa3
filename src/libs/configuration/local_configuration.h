// The configuration that this node holds: a head with all its documents.
#ifndef CONFIGURATION_LOCAL_CONFIGURATION_H_
#define CONFIGURATION_LOCAL_CONFIGURATION_H_

#include "configuration/documents.h"
#include "configuration/head.h"

namespace chestnutport::configuration {

enum class ApplyResult {
  kApplied,
  kNotNewer,    // What is held is as new or newer.
  kIncomplete,  // A document is missing, or is not what its hash says.
};

// Moves only forwards: whatever the source of a head, it is taken only if its
// revision is greater and all its documents are at hand.
class LocalConfiguration {
 public:
  // `added` are the documents that came along with `head`.
  ApplyResult Apply(const Head& head, const Documents& added);

  const Head& head() const { return head_; }
  // Those of the head, and those of its history that were seen here.
  const Documents& documents() const { return documents_; }

 private:
  void EvictUnusedDocuments();

  Head head_;
  Documents documents_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_LOCAL_CONFIGURATION_H_
