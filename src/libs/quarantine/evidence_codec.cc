#include "quarantine/evidence_codec.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <msgpack.hpp>

#include "quarantine/crash_ledger.h"

namespace chestnutport::quarantine {
namespace {

using base::Instant;
using std::chrono::milliseconds;

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr uint32_t kFields = 3;
constexpr uint32_t kObservationFields = 7;
constexpr uint32_t kRefutedFields = 3;
// Limits on received messages: more observations than any node sends, and times
// far below overflow.
constexpr uint32_t kMaxArraySize = 64;
constexpr size_t kMaxRequests = 1024;
constexpr size_t kDepth = 8;
constexpr milliseconds kMaxDuration = std::chrono::hours(24);
constexpr int kMaxOtherCrashes = 1000;

// Upper bounds in bytes of a request without its crashes, of an observation and
// of a refuted crash.
constexpr size_t kRequestSize = 1 + 9 + 3 + 3;
constexpr size_t kObservationSize = 1 + 9 + 5 + 9 + 5 + 3 + 1 + 5;
constexpr size_t kRefutedSize = 1 + 9 + 5 + 9;
static_assert(kRequestSize +
                  CrashLedger::kMaxCrashesPerRequest * kObservationSize <=
              kMaxEncodedSize);

void PackCrash(Packer& packer, const CrashId& crash) {
  packer.pack(crash.node.value);
  packer.pack(crash.life);
}

int64_t InMilliseconds(base::Duration duration) {
  const auto whole = std::chrono::duration_cast<milliseconds>(duration);
  return std::max<int64_t>(whole.count(), 0);
}

void PackObservation(Packer& packer,
                     const CrashObservation& observation,
                     Instant now) {
  packer.pack_array(kObservationFields);
  PackCrash(packer, observation.crash);
  packer.pack(observation.lamport_time);
  packer.pack(InMilliseconds(observation.run_time));
  packer.pack(observation.other_crashes);
  packer.pack(observation.is_sole_suspect);
  packer.pack(InMilliseconds(now - observation.at));
}

void Pack(Packer& packer, const RequestEvidence& evidence, Instant now) {
  packer.pack_array(kFields);
  packer.pack(evidence.fingerprint.value);
  packer.pack_array(static_cast<uint32_t>(evidence.crashes.size()));
  for (const CrashObservation& observation : evidence.crashes)
    PackObservation(packer, observation, now);
  packer.pack_array(static_cast<uint32_t>(evidence.refuted.size()));
  for (const RefutedCrash& refuted : evidence.refuted) {
    packer.pack_array(kRefutedFields);
    PackCrash(packer, refuted.crash);
    packer.pack(refuted.lamport_time);
  }
}

// Returns the elements of an array; throws msgpack::type_error if `object` is
// not an array of `least` to `most` elements.
std::span<const msgpack::object> ReadArray(const msgpack::object& object,
                                           uint32_t least,
                                           uint32_t most) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < least ||
      object.via.array.size > most) {
    throw msgpack::type_error();
  }
  return {object.via.array.ptr, object.via.array.size};
}

CrashId ReadCrash(std::span<const msgpack::object> fields) {
  return {{fields[0].as<uint64_t>()}, fields[1].as<uint32_t>()};
}

base::Duration ReadMilliseconds(const msgpack::object& object) {
  return milliseconds(
      std::clamp<int64_t>(object.as<int64_t>(), 0, kMaxDuration.count()));
}

CrashObservation ReadObservation(const msgpack::object& object, Instant now) {
  const auto fields = ReadArray(object, kObservationFields, kMaxArraySize);
  return {.crash = ReadCrash(fields),
          .lamport_time = fields[2].as<uint64_t>(),
          .run_time = ReadMilliseconds(fields[3]),
          .other_crashes = std::clamp(fields[4].as<int>(), 0, kMaxOtherCrashes),
          .is_sole_suspect = fields[5].as<bool>(),
          .at = now - ReadMilliseconds(fields[6])};
}

RefutedCrash ReadRefuted(const msgpack::object& object) {
  const auto fields = ReadArray(object, kRefutedFields, kMaxArraySize);
  return {.crash = ReadCrash(fields), .lamport_time = fields[2].as<uint64_t>()};
}

RequestEvidence Read(const msgpack::object& object, Instant now) {
  const auto fields = ReadArray(object, kFields, kMaxArraySize);
  RequestEvidence evidence;
  evidence.fingerprint.value = fields[0].as<uint64_t>();
  for (const msgpack::object& observation :
       ReadArray(fields[1], 0, kMaxArraySize))
    evidence.crashes.push_back(ReadObservation(observation, now));
  for (const msgpack::object& refuted : ReadArray(fields[2], 0, kMaxArraySize))
    evidence.refuted.push_back(ReadRefuted(refuted));
  return evidence;
}

}  // namespace

size_t EncodedSize(const RequestEvidence& evidence) {
  return kRequestSize + kObservationSize * evidence.crashes.size() +
         kRefutedSize * evidence.refuted.size();
}

std::string EncodeEvidence(std::span<const RequestEvidence> all, Instant now) {
  if (all.empty())
    return "";
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(static_cast<uint32_t>(all.size()));
  for (const RequestEvidence& evidence : all)
    Pack(packer, evidence, now);
  return {buffer.data(), buffer.size()};
}

std::optional<std::vector<RequestEvidence>> DecodeEvidence(
    std::string_view bytes,
    Instant now) {
  std::vector<RequestEvidence> all;
  if (bytes.empty())
    return all;
  try {
    const auto handle = msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(kMaxRequests, 0, 0, 0, 0, kDepth));
    for (const msgpack::object& object :
         ReadArray(handle.get(), 0, kMaxRequests)) {
      all.push_back(Read(object, now));
    }
  } catch (const std::exception&) {
    return std::nullopt;  // Counted or logged by the caller.
  }
  return all;
}

}  // namespace chestnutport::quarantine
