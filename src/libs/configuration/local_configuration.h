// The configuration that this node holds: a head and all its documents.
#ifndef CONFIGURATION_LOCAL_CONFIGURATION_H_
#define CONFIGURATION_LOCAL_CONFIGURATION_H_

#include "configuration/documents.h"
#include "configuration/head.h"

namespace chestnutport::configuration {

enum class ApplyResult {
  kApplied,
  kNotNewer,    // The local revision is as new or newer.
  kIncomplete,  // A document is missing or does not match its hash.
};

// The revision never decreases: a head from any source is applied only if its
// revision is greater than the local one and all its documents are available.
class LocalConfiguration {
 public:
  // `added` holds the documents received with `head`.
  ApplyResult Apply(const Head& head, const Documents& added);

  const Head& head() const { return head_; }
  // The documents of the head, and those named in its history that this node
  // has received.
  const Documents& documents() const { return documents_; }

 private:
  void EvictUnusedDocuments();

  Head head_;
  Documents documents_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_LOCAL_CONFIGURATION_H_
