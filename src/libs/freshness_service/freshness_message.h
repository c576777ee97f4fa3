// The datagrams by which nodes ask each other for proofs, in MessagePack.
#ifndef FRESHNESS_SERVICE_FRESHNESS_MESSAGE_H_
#define FRESHNESS_SERVICE_FRESHNESS_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace chestnutport::freshness_service {

struct FreshnessQuery {
  uint64_t number = 0;

  std::string Encode() const;
};

struct FreshnessAnswer {
  uint64_t number = 0;  // Of the query.
  uint64_t revision = 0;
  base::Duration age{};  // Of the proof, when the query was answered.

  // Rounds the age up to a microsecond.
  std::string Encode() const;
};

using FreshnessMessage = std::variant<FreshnessQuery, FreshnessAnswer>;

// Returns nothing for a message that is malformed or of an unknown type. Fields
// that follow the known ones are ignored.
std::optional<FreshnessMessage> DecodeFreshness(std::string_view payload);

}  // namespace chestnutport::freshness_service

#endif  // FRESHNESS_SERVICE_FRESHNESS_MESSAGE_H_
