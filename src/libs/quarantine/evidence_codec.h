// The MessagePack form of evidence, between nodes and in the store: an array
// for each request, to which newer versions may append.
#ifndef QUARANTINE_EVIDENCE_CODEC_H_
#define QUARANTINE_EVIDENCE_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/request_evidence.h"

namespace chestnutport::quarantine {

// The bytes of what a ledger keeps of one request, at most.
inline constexpr size_t kMaxEncodedSize = 320;

// The bytes that `evidence` adds to a message, at most.
size_t EncodedSize(const RequestEvidence& evidence);

// Times travel as ages at `now`, as each node has a clock of its own. Empty for
// no evidence.
std::string EncodeEvidence(std::span<const RequestEvidence> all,
                           base::Instant now);
// Nothing if any of it cannot be read.
std::optional<std::vector<RequestEvidence>> DecodeEvidence(
    std::string_view bytes,
    base::Instant now);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_EVIDENCE_CODEC_H_
