// Encodes evidence as MessagePack, for messages between nodes and for the
// store: one array for each request, to which newer versions may append fields.
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

// Upper bound in bytes of the encoded evidence that a ledger keeps on one
// request.
inline constexpr size_t kMaxEncodedSize = 320;

// Returns an upper bound in bytes of what `evidence` adds to a message.
size_t EncodedSize(const RequestEvidence& evidence);

// Returns an empty string if `all` is empty. Times are encoded as ages relative
// to `now`, since the clocks of nodes differ.
std::string EncodeEvidence(std::span<const RequestEvidence> all,
                           base::Instant now);
// Returns an empty list if `bytes` is empty, and nothing if any part is
// malformed.
std::optional<std::vector<RequestEvidence>> DecodeEvidence(
    std::string_view bytes,
    base::Instant now);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_EVIDENCE_CODEC_H_
