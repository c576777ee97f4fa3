#include "quarantine/request_evidence.h"

#include <string_view>

#include "base/part_hash.h"

namespace chestnutport::quarantine {

uint64_t EvidenceDigest(std::span<const RequestEvidence> all) {
  uint64_t digest = 0;
  for (const RequestEvidence& evidence : all) {
    for (const CrashObservation& observation : evidence.crashes)
      digest ^= CrashDigest(evidence.fingerprint, observation.crash);
  }
  return digest;
}

uint64_t CrashDigest(base::RequestFingerprint fingerprint,
                     const CrashId& crash) {
  const uint64_t parts[] = {fingerprint.value, crash.node.value, crash.life};
  return base::HashParts(
      {std::string_view(reinterpret_cast<const char*>(parts), sizeof(parts))});
}

}  // namespace chestnutport::quarantine
