#include "limits/allocator_entry.h"

#include "limits/message_codec.h"

namespace chestnutport::limits {
namespace {

// Entries of older versions lack the last one.
constexpr uint32_t kFields = 8;
constexpr uint32_t kLeastFields = 7;
constexpr size_t kMaxSize = 256 * 1024;

}  // namespace

std::string AllocatorEntry::Encode() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kFields);
  packer.pack(holder.value);
  PackAddress(packer, vm);
  packer.pack(epoch);
  packer.pack(lease);
  packer.pack(displaced_lease);
  packer.pack(is_handed_over);
  packer.pack_array(static_cast<uint32_t>(roster.size()));
  for (const base::SocketAddress& address : roster)
    PackAddress(packer, address);
  packer.pack(is_settled);
  return std::string(buffer.data(), buffer.size());
}

std::optional<AllocatorEntry> AllocatorEntry::Decode(std::string_view bytes) {
  const auto read = [](const msgpack::object* field) {
    AllocatorEntry entry{.holder = {field[0].as<uint64_t>()},
                         .vm = ReadAddress(field[1]),
                         .epoch = field[2].as<uint64_t>(),
                         .lease = field[3].as<StoreLease>(),
                         .displaced_lease = field[4].as<StoreLease>(),
                         .is_handed_over = field[5].as<bool>()};
    const msgpack::object* roster = ReadArray(field[6], 0);
    for (uint32_t i = 0; i < field[6].via.array.size; ++i)
      entry.roster.insert(ReadAddress(roster[i]));
    return entry;
  };
  auto entry = DecodeArray(bytes, kMaxSize, kFields,
                           [&read](const msgpack::object* field) {
                             AllocatorEntry full = read(field);
                             full.is_settled = field[7].as<bool>();
                             return full;
                           });
  return entry ? entry : DecodeArray(bytes, kMaxSize, kLeastFields, read);
}

}  // namespace chestnutport::limits
