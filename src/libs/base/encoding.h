// Small conversions at the edges, each made by a library.
#ifndef BASE_ENCODING_H_
#define BASE_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace chestnutport::base {

// HMAC-SHA-256 of `message` under `key`, in hexadecimal.
std::string KeyedDigest(std::string_view key, std::string_view message);

// SHA-256 of `message`, in hexadecimal.
std::string Digest(std::string_view message);

// Compares in a time that depends on the lengths only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Reads "250ms", "1.5s", "800us", "2m" or "1h"; nothing else, no bare number.
// Nothing for a negative, absurd (over a year) or unreadable duration.
std::optional<Duration> ParseDuration(std::string_view text);

// Writes a duration such that ParseDuration reads the same back, to 1 us.
std::string FormatDuration(Duration duration);

}  // namespace chestnutport::base

#endif  // BASE_ENCODING_H_
