#include "membership/member_record.h"

#include <xxhash.h>

#include <exception>
#include <msgpack.hpp>
#include <utility>

namespace chestnutport::membership {
namespace {

// Field numbers. A number is never reused for another meaning.
enum Field : uint32_t {
  kId = 0,
  kName = 1,
  kDataCentre = 2,
  kRegion = 3,
  kGossip = 4,
  kPeer = 5,
  kControl = 6,
  kOperator = 7,
  kService = 8,
  kSlots = 9,
  kDraining = 10,
  kColdRate = 11,
  kHasLostStore = 12,
  kDepartureInstance = 13,
  kDepartureStart = 14,  // In milliseconds since the epoch.
  kDepartureHasLeft = 15,
};

constexpr size_t kMaxTextSize = 64;
constexpr uint32_t kMaxSlots = 100000;
constexpr double kMaxColdRate = 1e9;

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackText(Packer& packer, Field field, const std::string& text) {
  packer.pack(static_cast<uint32_t>(field));
  packer.pack(text);
}

void PackAddress(Packer& packer,
                 Field field,
                 const base::SocketAddress& address) {
  packer.pack(static_cast<uint32_t>(field));
  packer.pack((static_cast<uint64_t>(address.ip) << 16) | address.port);
}

std::string ReadText(const msgpack::object& value) {
  auto text = value.as<std::string>();
  if (text.size() > kMaxTextSize)
    throw msgpack::type_error();
  return text;
}

base::SocketAddress ReadAddress(const msgpack::object& value) {
  const auto packed = value.as<uint64_t>();
  if (packed >> 48 != 0)
    throw msgpack::type_error();
  return {static_cast<uint32_t>(packed >> 16),
          static_cast<uint16_t>(packed & UINT16_MAX)};
}

ServerAnnouncement& ServerOf(Member& member) {
  if (!member.server)
    member.server.emplace();
  return *member.server;
}

base::ServerDeparture& DepartureOf(Member& member) {
  if (!member.departure)
    member.departure.emplace();
  return *member.departure;
}

int ReadSlots(const msgpack::object& value) {
  const auto slots = value.as<uint32_t>();
  if (slots > kMaxSlots)
    throw msgpack::type_error();
  return static_cast<int>(slots);
}

double ReadColdRate(const msgpack::object& value) {
  const auto rate = value.as<double>();
  if (!(rate >= 0 && rate <= kMaxColdRate))
    throw msgpack::type_error();
  return rate;
}

void ReadField(Member& member, uint64_t field, const msgpack::object& value) {
  switch (field) {
    case kId:
      member.id.value = value.as<uint64_t>();
      break;
    case kName:
      member.name = ReadText(value);
      break;
    case kDataCentre:
      member.data_centre = ReadText(value);
      break;
    case kRegion:
      member.region = ReadText(value);
      break;
    case kGossip:
      member.gossip_address = ReadAddress(value);
      break;
    case kPeer:
      member.peer_address = ReadAddress(value);
      break;
    case kControl:
      member.control_address = ReadAddress(value);
      break;
    case kOperator:
      member.operator_address = ReadAddress(value);
      break;
    case kService:
      ServerOf(member).service = ReadText(value);
      break;
    case kSlots:
      ServerOf(member).slots = ReadSlots(value);
      break;
    case kDraining:
      ServerOf(member).draining = value.as<bool>();
      break;
    case kColdRate:
      ServerOf(member).rate_limit = ReadColdRate(value);
      break;
    case kHasLostStore:
      member.has_lost_store = value.as<bool>();
      break;
    case kDepartureInstance:
      DepartureOf(member).instance = ReadText(value);
      break;
    case kDepartureStart:
      DepartureOf(member).started_at =
          std::chrono::milliseconds(value.as<int64_t>());
      break;
    case kDepartureHasLeft:
      DepartureOf(member).has_left = value.as<bool>();
      break;
    default:
      break;  // Written by a newer version; preserved in the bytes.
  }
}

}  // namespace

uint32_t MemberRecord::Hash(std::string_view bytes) {
  return static_cast<uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

MemberRecord MemberRecord::Encode(const Member& member) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  constexpr uint32_t kFields = 8;
  constexpr uint32_t kServerFields = 4;
  constexpr uint32_t kDepartureFields = 3;
  packer.pack_map(kFields + (member.server ? kServerFields : 0) +
                  (member.has_lost_store ? 1 : 0) +
                  (member.departure ? kDepartureFields : 0));
  packer.pack(static_cast<uint32_t>(kId));
  packer.pack(member.id.value);
  PackText(packer, kName, member.name);
  PackText(packer, kDataCentre, member.data_centre);
  PackText(packer, kRegion, member.region);
  PackAddress(packer, kGossip, member.gossip_address);
  PackAddress(packer, kPeer, member.peer_address);
  PackAddress(packer, kControl, member.control_address);
  PackAddress(packer, kOperator, member.operator_address);
  if (member.server) {
    PackText(packer, kService, member.server->service);
    packer.pack(static_cast<uint32_t>(kSlots));
    packer.pack(member.server->slots);
    packer.pack(static_cast<uint32_t>(kDraining));
    packer.pack(member.server->draining);
    packer.pack(static_cast<uint32_t>(kColdRate));
    packer.pack(member.server->rate_limit);
  }
  if (member.has_lost_store) {
    packer.pack(static_cast<uint32_t>(kHasLostStore));
    packer.pack(true);
  }
  if (member.departure) {
    PackText(packer, kDepartureInstance, member.departure->instance);
    packer.pack(static_cast<uint32_t>(kDepartureStart));
    packer.pack(int64_t{member.departure->started_at.count()});
    packer.pack(static_cast<uint32_t>(kDepartureHasLeft));
    packer.pack(member.departure->has_left);
  }
  MemberRecord record{member, std::string(buffer.data(), buffer.size())};
  record.hash = Hash(record.bytes);
  return record;
}

std::optional<MemberRecord> MemberRecord::Decode(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMaxSize)
    return std::nullopt;
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::MAP)
      return std::nullopt;
    MemberRecord record{Member{}, std::string(bytes), Hash(bytes)};
    for (uint32_t i = 0; i < object.via.map.size; ++i) {
      const msgpack::object_kv& field = object.via.map.ptr[i];
      ReadField(record.member, field.key.as<uint64_t>(), field.val);
    }
    if (record.member.id.value == 0)
      return std::nullopt;
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnutport::membership
