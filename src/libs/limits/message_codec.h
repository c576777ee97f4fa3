// Helpers to read MessagePack from other nodes.
#ifndef LIMITS_MESSAGE_CODEC_H_
#define LIMITS_MESSAGE_CODEC_H_

#include <cmath>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/socket_address.h"

namespace chestnutport::limits {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Returns the elements of an array of at least `least` elements. All functions
// here throw msgpack::type_error if the object is malformed.
inline const msgpack::object* ReadArray(const msgpack::object& object,
                                        uint32_t least) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < least)
    throw msgpack::type_error();
  return object.via.array.ptr;
}

inline std::string ReadText(const msgpack::object& object, size_t longest) {
  if (object.type != msgpack::type::STR || object.via.str.size > longest)
    throw msgpack::type_error();
  return {object.via.str.ptr, object.via.str.size};
}

// A finite number that is not negative.
inline double ReadAmount(const msgpack::object& object) {
  const auto value = object.as<double>();
  if (!std::isfinite(value) || value < 0)
    throw msgpack::type_error();
  return value;
}

inline double ReadFraction(const msgpack::object& object) {
  const double value = ReadAmount(object);
  if (value > 1)
    throw msgpack::type_error();
  return value;
}

inline void PackAddress(Packer& packer, const base::SocketAddress& address) {
  packer.pack_array(2);
  packer.pack(address.ip);
  packer.pack(address.port);
}

inline base::SocketAddress ReadAddress(const msgpack::object& object) {
  const msgpack::object* fields = ReadArray(object, 2);
  return {fields[0].as<uint32_t>(), fields[1].as<uint16_t>()};
}

// Calls `read` with the array that is all of `bytes`; returns nothing if the
// bytes are malformed, or longer than `longest`.
template <typename Read>
auto DecodeArray(std::string_view bytes,
                 size_t longest,
                 uint32_t least,
                 Read read)
    -> std::optional<decltype(read(std::declval<const msgpack::object*>()))> {
  constexpr size_t kDepth = 6;
  if (bytes.size() > longest)
    return std::nullopt;
  try {
    size_t end = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), end,
        [](msgpack::type::object_type, size_t, void*) { return true; }, nullptr,
        msgpack::unpack_limit(longest, 0, longest, 0, 0, kDepth));
    if (end != bytes.size())
      return std::nullopt;
    return read(ReadArray(handle.get(), least));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::limits

#endif  // LIMITS_MESSAGE_CODEC_H_
