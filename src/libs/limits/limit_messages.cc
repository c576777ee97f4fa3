#include "limits/limit_messages.h"

#include <cstdint>

#include "limits/message_codec.h"

namespace chestnutport::limits {
namespace {

// The first field says which message it is.
constexpr uint8_t kRequestKind = 1;
constexpr uint8_t kAnswerKind = 2;
constexpr uint8_t kNoticeKind = 3;

constexpr uint32_t kRequestFields = 8;
constexpr uint32_t kRequestEntryFields = 7;
constexpr uint32_t kAnswerFields = 8;
constexpr uint32_t kAnswerEntryFields = 6;
constexpr uint32_t kNoticeFields = 4;

// Longer times are a sign of a malformed message; they also would overflow
// sums with an instant.
constexpr std::chrono::hours kMaxTime{1};

std::string ToString(const msgpack::sbuffer& buffer) {
  return std::string(buffer.data(), buffer.size());
}

void CheckKind(const msgpack::object& object, uint8_t kind) {
  if (object.as<uint8_t>() != kind)
    throw msgpack::type_error();
}

std::chrono::nanoseconds ReadTime(const msgpack::object& object) {
  const std::chrono::nanoseconds time(object.as<int64_t>());
  if (time.count() < 0 || time > kMaxTime)
    throw msgpack::type_error();
  return time;
}

base::NodeId ReadNode(const msgpack::object& object) {
  const base::NodeId id{object.as<uint64_t>()};
  if (id.value == 0)
    throw msgpack::type_error();
  return id;
}

LimitRequestEntry ReadRequestEntry(const msgpack::object& object) {
  const msgpack::object* fields = ReadArray(object, kRequestEntryFields);
  return {.tenant = ReadText(fields[0], kMaxTenantName),
          .rate_share = ReadFraction(fields[1]),
          .burst_share = ReadFraction(fields[2]),
          .rate_wanted = ReadFraction(fields[3]),
          .burst_wanted = ReadFraction(fields[4]),
          .tokens_needed = ReadAmount(fields[5]),
          .tokens_returned = ReadAmount(fields[6])};
}

LimitAnswerEntry ReadAnswerEntry(const msgpack::object& object) {
  const msgpack::object* fields = ReadArray(object, kAnswerEntryFields);
  LimitAnswerEntry entry{.tenant = ReadText(fields[0], kMaxTenantName),
                         .rate_share = ReadFraction(fields[1]),
                         .burst_share = ReadFraction(fields[2]),
                         .tokens = ReadAmount(fields[3]),
                         .is_over_limit = fields[4].as<bool>()};
  if (!fields[5].is_nil())
    entry.retry_after = ReadTime(fields[5]);
  return entry;
}

}  // namespace

std::string LimitRequest::Encode() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kRequestFields);
  packer.pack(kRequestKind);
  packer.pack(process.value);
  PackAddress(packer, vm);
  packer.pack(epoch);
  packer.pack(last_answer);
  packer.pack(sequence);
  packer.pack(has_reported_all);
  packer.pack_array(static_cast<uint32_t>(entries.size()));
  for (const LimitRequestEntry& entry : entries) {
    packer.pack_array(kRequestEntryFields);
    packer.pack(entry.tenant);
    packer.pack(entry.rate_share);
    packer.pack(entry.burst_share);
    packer.pack(entry.rate_wanted);
    packer.pack(entry.burst_wanted);
    packer.pack(entry.tokens_needed);
    packer.pack(entry.tokens_returned);
  }
  return ToString(buffer);
}

std::optional<LimitRequest> LimitRequest::Decode(std::string_view bytes) {
  return DecodeArray(
      bytes, kMaxMessageSize, kRequestFields, [](const msgpack::object* field) {
        CheckKind(field[0], kRequestKind);
        LimitRequest request{.process = ReadNode(field[1]),
                             .vm = ReadAddress(field[2]),
                             .epoch = field[3].as<uint64_t>(),
                             .last_answer = field[4].as<uint64_t>(),
                             .sequence = field[5].as<uint64_t>(),
                             .has_reported_all = field[6].as<bool>()};
        const msgpack::object* entries = ReadArray(field[7], 0);
        for (uint32_t i = 0; i < field[7].via.array.size; ++i)
          request.entries.push_back(ReadRequestEntry(entries[i]));
        return request;
      });
}

std::string LimitAnswer::Encode() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kAnswerFields);
  packer.pack(kAnswerKind);
  packer.pack(process.value);
  packer.pack(epoch);
  packer.pack(serial);
  packer.pack(sequence);
  packer.pack(static_cast<int64_t>(remaining.count()));
  packer.pack(is_taking_over);
  packer.pack_array(static_cast<uint32_t>(entries.size()));
  for (const LimitAnswerEntry& entry : entries) {
    packer.pack_array(kAnswerEntryFields);
    packer.pack(entry.tenant);
    packer.pack(entry.rate_share);
    packer.pack(entry.burst_share);
    packer.pack(entry.tokens);
    packer.pack(entry.is_over_limit);
    if (entry.retry_after)
      packer.pack(static_cast<int64_t>(entry.retry_after->count()));
    else
      packer.pack_nil();
  }
  return ToString(buffer);
}

std::optional<LimitAnswer> LimitAnswer::Decode(std::string_view bytes) {
  return DecodeArray(
      bytes, kMaxMessageSize, kAnswerFields, [](const msgpack::object* field) {
        CheckKind(field[0], kAnswerKind);
        LimitAnswer answer{.process = ReadNode(field[1]),
                           .epoch = field[2].as<uint64_t>(),
                           .serial = field[3].as<uint64_t>(),
                           .sequence = field[4].as<uint64_t>(),
                           .remaining = ReadTime(field[5]),
                           .is_taking_over = field[6].as<bool>()};
        const msgpack::object* entries = ReadArray(field[7], 0);
        for (uint32_t i = 0; i < field[7].via.array.size; ++i)
          answer.entries.push_back(ReadAnswerEntry(entries[i]));
        return answer;
      });
}

std::string AllocatorNotice::Encode() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kNoticeFields);
  packer.pack(kNoticeKind);
  packer.pack(holder.value);
  PackAddress(packer, vm);
  packer.pack(epoch);
  return ToString(buffer);
}

std::optional<AllocatorNotice> AllocatorNotice::Decode(std::string_view bytes) {
  return DecodeArray(bytes, kMaxMessageSize, kNoticeFields,
                     [](const msgpack::object* field) {
                       CheckKind(field[0], kNoticeKind);
                       return AllocatorNotice{.holder = ReadNode(field[1]),
                                              .vm = ReadAddress(field[2]),
                                              .epoch = field[3].as<uint64_t>()};
                     });
}

}  // namespace chestnutport::limits
