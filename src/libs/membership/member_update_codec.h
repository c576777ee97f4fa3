// MessagePack encoding of membership updates, for datagrams and pulls.
#ifndef MEMBERSHIP_MEMBER_UPDATE_CODEC_H_
#define MEMBERSHIP_MEMBER_UPDATE_CODEC_H_

#include <msgpack.hpp>
#include <string_view>

#include "membership/member_update.h"

namespace chestnutport::membership {

inline constexpr uint32_t kUpdateFields = 4;

template <typename Buffer>
void PackUpdate(msgpack::packer<Buffer>& packer, const MemberUpdate& item) {
  packer.pack_array(kUpdateFields + (item.record.empty() ? 0 : 1));
  packer.pack(item.id.value);
  packer.pack(item.incarnation);
  packer.pack(static_cast<uint8_t>(item.state));
  packer.pack(item.hash);
  if (!item.record.empty()) {
    packer.pack_bin(static_cast<uint32_t>(item.record.size()));
    packer.pack_bin_body(item.record.data(),
                         static_cast<uint32_t>(item.record.size()));
  }
}

inline std::string_view ReadBytes(const msgpack::object& object) {
  if (object.type != msgpack::type::BIN)
    throw msgpack::type_error();
  return {object.via.bin.ptr, object.via.bin.size};
}

// Returns the elements of an array; throws msgpack::type_error if `object` is
// not an array of at least `least` elements.
inline const msgpack::object* ReadArray(const msgpack::object& object,
                                        uint32_t least) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < least)
    throw msgpack::type_error();
  return object.via.array.ptr;
}

// Throws msgpack::type_error if the object is malformed.
inline MemberUpdate ReadUpdate(const msgpack::object& object) {
  const msgpack::object* fields = ReadArray(object, kUpdateFields);
  MemberUpdate item;
  item.id.value = fields[0].as<uint64_t>();
  item.incarnation = fields[1].as<uint64_t>();
  const auto state = fields[2].as<uint8_t>();
  if (item.id.value == 0 || state > static_cast<uint8_t>(MemberState::kLeft))
    throw msgpack::type_error();
  item.state = static_cast<MemberState>(state);
  item.hash = fields[3].as<uint32_t>();
  if (object.via.array.size > kUpdateFields)
    item.record = ReadBytes(fields[kUpdateFields]);
  return item;
}

// Limit in bytes of a string or binary field.
inline constexpr size_t kMaxPartSize = 1024;

// The result refers to `bytes`, which must outlive it.
inline msgpack::object_handle Unpack(std::string_view bytes,
                                     size_t largest_array,
                                     size_t largest_part = kMaxPartSize) {
  constexpr size_t kDepth = 8;
  return msgpack::unpack(
      bytes.data(), bytes.size(),
      [](msgpack::type::object_type, size_t, void*) { return true; }, nullptr,
      msgpack::unpack_limit(largest_array, kMaxPartSize, kMaxPartSize,
                            largest_part, kMaxPartSize, kDepth));
}

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_UPDATE_CODEC_H_
