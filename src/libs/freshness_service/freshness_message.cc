#include "freshness_service/freshness_message.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <msgpack.hpp>

#include "membership/member_update_codec.h"

namespace chestnutport::freshness_service {
namespace {

using std::chrono::microseconds;

constexpr uint8_t kQueryType = 0;
constexpr uint8_t kAnswerType = 1;
constexpr uint32_t kQueryFields = 2;
constexpr uint32_t kAnswerFields = 4;
constexpr size_t kMaxArraySize = 16;
// Longer than any revocation time. Bounds the age that is received, so that
// calculations with it do not overflow.
constexpr microseconds kMaxAge = std::chrono::hours(48);

std::string ToString(const msgpack::sbuffer& buffer) {
  return std::string(buffer.data(), buffer.size());
}

}  // namespace

std::string FreshnessQuery::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kQueryFields);
  packer.pack(kQueryType);
  packer.pack(number);
  return ToString(buffer);
}

std::string FreshnessAnswer::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kAnswerFields);
  packer.pack(kAnswerType);
  packer.pack(number);
  packer.pack(revision);
  const auto rounded = std::chrono::ceil<microseconds>(age);
  packer.pack(
      static_cast<uint64_t>(std::max(rounded, microseconds::zero()).count()));
  return ToString(buffer);
}

std::optional<FreshnessMessage> DecodeFreshness(std::string_view payload) {
  try {
    const auto handle = membership::Unpack(payload, kMaxArraySize);
    const auto* fields = membership::ReadArray(handle.get(), kQueryFields);
    const auto type = fields[0].as<uint8_t>();
    if (type == kQueryType)
      return FreshnessQuery{fields[1].as<uint64_t>()};
    if (type != kAnswerType || handle.get().via.array.size < kAnswerFields) {
      return std::nullopt;
    }
    const auto age = std::min(fields[3].as<uint64_t>(),
                              static_cast<uint64_t>(kMaxAge.count()));
    return FreshnessAnswer{fields[1].as<uint64_t>(), fields[2].as<uint64_t>(),
                           microseconds(age)};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::freshness_service
