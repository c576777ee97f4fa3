#include "membership/gossip_message.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>

#include "membership/member_update_codec.h"

namespace chestnutport::membership {
namespace {

constexpr uint32_t kFields = 14;
// Number of fields sent by the oldest versions that are accepted.
constexpr uint32_t kMinFields = 10;
constexpr uint32_t kFieldsWithEvidence = 12;
constexpr size_t kMaxArraySize = 512;

// `fields` points at the revision, which is followed by the names.
evacuation::Evacuations ReadEvacuations(const msgpack::object* fields) {
  evacuation::Evacuations read{fields[0].as<uint64_t>(),
                               fields[1].as<std::vector<std::string>>()};
  if (!std::ranges::is_sorted(read.data_centres) ||
      read.NameBytes() > evacuation::Evacuations::kMaxNameBytes) {
    throw msgpack::type_error();
  }
  return read;
}

}  // namespace

size_t GossipMessage::MaxEncodedSize(const MemberUpdate& item) {
  constexpr size_t kMaxUpdateSize = 1 + 9 + 9 + 1 + 5;
  constexpr size_t kBinaryHeaderSize = 3;
  return kMaxUpdateSize +
         (item.record.empty() ? 0 : kBinaryHeaderSize + item.record.size());
}

std::string GossipMessage::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFields);
  packer.pack(static_cast<uint8_t>(type));
  packer.pack(sender.value);
  packer.pack(incarnation);
  packer.pack(hash);
  packer.pack(revision);
  packer.pack(digest);
  packer.pack(subject.value);
  packer.pack(sequence);
  packer.pack((static_cast<uint64_t>(address.ip) << 16) | address.port);
  packer.pack_array(static_cast<uint32_t>(updates.size()));
  for (const MemberUpdate& item : updates)
    PackUpdate(packer, item);
  packer.pack(evidence_digest.value_or(0));
  packer.pack_bin(static_cast<uint32_t>(evidence.size()));
  packer.pack_bin_body(evidence.data(), static_cast<uint32_t>(evidence.size()));
  packer.pack(evacuations.as_of);
  packer.pack(evacuations.data_centres);
  return std::string(buffer.data(), buffer.size());
}

std::optional<GossipMessage> GossipMessage::Decode(std::string_view bytes) {
  try {
    const auto handle = Unpack(bytes, kMaxArraySize);
    const msgpack::object* fields = ReadArray(handle.get(), kMinFields);
    GossipMessage message;
    const auto type = fields[0].as<uint8_t>();
    if (type > static_cast<uint8_t>(MessageType::kUpdate))
      return std::nullopt;
    message.type = static_cast<MessageType>(type);
    message.sender.value = fields[1].as<uint64_t>();
    message.incarnation = fields[2].as<uint64_t>();
    message.hash = fields[3].as<uint32_t>();
    message.revision = fields[4].as<uint64_t>();
    message.digest = fields[5].as<uint64_t>();
    message.subject.value = fields[6].as<uint64_t>();
    message.sequence = fields[7].as<uint32_t>();
    const auto address = fields[8].as<uint64_t>();
    message.address = {static_cast<uint32_t>(address >> 16),
                       static_cast<uint16_t>(address & UINT16_MAX)};
    const msgpack::object* items = ReadArray(fields[9], 0);
    message.updates.reserve(fields[9].via.array.size);
    for (uint32_t i = 0; i < fields[9].via.array.size; ++i)
      message.updates.push_back(ReadUpdate(items[i]));
    if (message.sender.value == 0)
      return std::nullopt;
    if (handle.get().via.array.size >= kFieldsWithEvidence) {
      message.evidence_digest = fields[kMinFields].as<uint64_t>();
      message.evidence = ReadBytes(fields[kMinFields + 1]);
    }
    if (handle.get().via.array.size >= kFields)
      message.evacuations = ReadEvacuations(&fields[kFieldsWithEvidence]);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::membership
