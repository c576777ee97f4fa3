#include "membership/pull_message.h"

#include <exception>
#include <msgpack.hpp>

#include "membership/member_update_codec.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/evidence_codec.h"

namespace chestnutport::membership {
namespace {

constexpr uint32_t kRequestFields = 4;
constexpr uint32_t kResponseFields = 5;
// Number of fields sent by older versions.
constexpr uint32_t kMinRequestFields = 3;
constexpr uint32_t kMinResponseFields = 4;
constexpr size_t kMaxArraySize = 16384;

constexpr size_t kMaxEvidenceSize =
    quarantine::CrashLedger::kMaxSharedRequests * quarantine::kMaxEncodedSize +
    16;

std::string ToString(const msgpack::sbuffer& buffer) {
  return std::string(buffer.data(), buffer.size());
}

}  // namespace

std::string PullRequest::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kRequestFields);
  packer.pack(sender.value);
  packer.pack_array(kViewParts);
  for (const uint64_t digest : digests)
    packer.pack(digest);
  packer.pack_array(static_cast<uint32_t>(wanted_records.size()));
  for (const base::NodeId& id : wanted_records)
    packer.pack(id.value);
  packer.pack(evidence_digest.value_or(0));
  return ToString(buffer);
}

std::optional<PullRequest> PullRequest::Decode(std::string_view bytes) {
  try {
    const auto handle = Unpack(bytes, kMaxArraySize);
    const msgpack::object* fields = ReadArray(handle.get(), kMinRequestFields);
    PullRequest request;
    request.sender.value = fields[0].as<uint64_t>();
    const msgpack::object* digests = ReadArray(fields[1], kViewParts);
    for (size_t i = 0; i < kViewParts; ++i)
      request.digests[i] = digests[i].as<uint64_t>();
    const msgpack::object* wanted_records = ReadArray(fields[2], 0);
    for (uint32_t i = 0; i < fields[2].via.array.size; ++i)
      request.wanted_records.push_back({wanted_records[i].as<uint64_t>()});
    if (handle.get().via.array.size >= kRequestFields)
      request.evidence_digest = fields[kMinRequestFields].as<uint64_t>();
    return request;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string PullResponse::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kResponseFields);
  packer.pack(sender.value);
  packer.pack_array(static_cast<uint32_t>(parts.size()));
  for (const uint8_t part : parts)
    packer.pack(part);
  packer.pack_array(static_cast<uint32_t>(members.size()));
  for (const MemberUpdate& item : members)
    PackUpdate(packer, item);
  packer.pack_array(static_cast<uint32_t>(records.size()));
  for (const std::string& record : records) {
    packer.pack_bin(static_cast<uint32_t>(record.size()));
    packer.pack_bin_body(record.data(), static_cast<uint32_t>(record.size()));
  }
  packer.pack_bin(static_cast<uint32_t>(evidence.size()));
  packer.pack_bin_body(evidence.data(), static_cast<uint32_t>(evidence.size()));
  return ToString(buffer);
}

std::optional<PullResponse> PullResponse::Decode(std::string_view bytes) {
  try {
    const auto handle = Unpack(bytes, kMaxArraySize, kMaxEvidenceSize);
    const msgpack::object* fields = ReadArray(handle.get(), kMinResponseFields);
    PullResponse response;
    response.sender.value = fields[0].as<uint64_t>();
    const msgpack::object* parts = ReadArray(fields[1], 0);
    for (uint32_t i = 0; i < fields[1].via.array.size; ++i)
      response.parts.push_back(parts[i].as<uint8_t>());
    const msgpack::object* members = ReadArray(fields[2], 0);
    for (uint32_t i = 0; i < fields[2].via.array.size; ++i)
      response.members.push_back(ReadUpdate(members[i]));
    const msgpack::object* records = ReadArray(fields[3], 0);
    for (uint32_t i = 0; i < fields[3].via.array.size; ++i)
      response.records.emplace_back(ReadBytes(records[i]));
    if (handle.get().via.array.size >= kResponseFields)
      response.evidence = ReadBytes(fields[kMinResponseFields]);
    return response;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::membership
