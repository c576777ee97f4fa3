// The MessagePack form of news, shared by datagrams and pulls.
#ifndef MEMBERSHIP_NEWS_CODEC_H_
#define MEMBERSHIP_NEWS_CODEC_H_

#include <msgpack.hpp>
#include <string_view>

#include "membership/news_item.h"

namespace chestnutport::membership {

inline constexpr uint32_t kNewsFields = 4;

template <typename Buffer>
void PackNews(msgpack::packer<Buffer>& packer, const NewsItem& item) {
  packer.pack_array(kNewsFields + (item.record.empty() ? 0 : 1));
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

// The elements of an array of at least `least`; throws msgpack::type_error.
inline const msgpack::object* ReadArray(const msgpack::object& object,
                                        uint32_t least) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < least)
    throw msgpack::type_error();
  return object.via.array.ptr;
}

// Throws msgpack::type_error.
inline NewsItem ReadNews(const msgpack::object& object) {
  const msgpack::object* fields = ReadArray(object, kNewsFields);
  NewsItem item;
  item.id.value = fields[0].as<uint64_t>();
  item.incarnation = fields[1].as<uint64_t>();
  const auto state = fields[2].as<uint8_t>();
  if (item.id.value == 0 || state > static_cast<uint8_t>(MemberState::kLeft))
    throw msgpack::type_error();
  item.state = static_cast<MemberState>(state);
  item.hash = fields[3].as<uint32_t>();
  if (object.via.array.size > kNewsFields)
    item.record = ReadBytes(fields[kNewsFields]);
  return item;
}

// Bytes of a text or of a binary part.
inline constexpr size_t kLargestPart = 1024;

// Parts refer to the input, which must outlive the handle.
inline msgpack::object_handle Unpack(std::string_view bytes,
                                     size_t largest_array,
                                     size_t largest_part = kLargestPart) {
  constexpr size_t kDepth = 8;
  return msgpack::unpack(
      bytes.data(), bytes.size(),
      [](msgpack::type::object_type, size_t, void*) { return true; }, nullptr,
      msgpack::unpack_limit(largest_array, kLargestPart, kLargestPart,
                            largest_part, kLargestPart, kDepth));
}

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_NEWS_CODEC_H_
