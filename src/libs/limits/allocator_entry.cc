#include "limits/allocator_entry.h"

#include "limits/message_codec.h"

namespace chestnutport::limits {
namespace {

constexpr uint32_t kFields = 7;
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
  return std::string(buffer.data(), buffer.size());
}

std::optional<AllocatorEntry> AllocatorEntry::Decode(std::string_view bytes) {
  return DecodeArray(
      bytes, kMaxSize, kFields, [](const msgpack::object* field) {
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
      });
}

}  // namespace chestnutport::limits
