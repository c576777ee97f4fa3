#include "server/server_announcement.h"

#include <nlohmann/json.hpp>
#include <type_traits>

#include "base/encoding.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

// More than any server has; a larger figure is a fault of its writer.
constexpr int64_t kMostSlots = 100000;
constexpr char kReady[] = "ready";
constexpr char kDraining[] = "draining";
constexpr char kStartedAt[] = "born";

// Reads the members of an announcement, and remembers the first that is wrong.
class Members {
 public:
  explicit Members(const json& object) : object_(object) {}

  // Leaves the default if the member is missing.
  template <typename T>
  void Read(const char* name, T* value) {
    const auto found = object_.find(name);
    if (found == object_.end())
      return;
    if (!IsOf<T>(*found)) {
      Reject(name);
      return;
    }
    *value = found->template get<T>();
  }

  void Require(const char* name, bool holds) {
    if (!holds)
      Reject(name);
  }

  const std::string& fault() const { return fault_; }

 private:
  template <typename T>
  static bool IsOf(const json& member) {
    if constexpr (std::is_same_v<T, bool>)
      return member.is_boolean();
    else if constexpr (std::is_integral_v<T>)
      return member.is_number_integer();
    else
      return member.is_string();
  }

  void Reject(const char* name) {
    if (fault_.empty())
      fault_ = name;
  }

  const json& object_;
  std::string fault_;
};

void ReadStart(Members& members, ServerAnnouncement& said) {
  int64_t started_at = 0;
  members.Read(kStartedAt, &started_at);
  members.Require(kStartedAt, started_at >= 0);
  said.started_at = std::chrono::milliseconds(started_at);
}

void ReadState(Members& members, ServerAnnouncement& said) {
  std::string state = kReady;
  members.Read("state", &state);
  members.Require("state", state == kReady || state == kDraining);
  members.Read("draining", &said.draining);
  said.draining = said.draining || state == kDraining;
}

void ReadAddress(Members& members, ServerAnnouncement& said) {
  std::string text;
  members.Read("address", &text);
  const auto address = base::SocketAddress::Parse(text);
  members.Require("address", address.has_value());
  said.address = address.value_or(base::SocketAddress());
}

void ReadColdFor(Members& members, ServerAnnouncement& said) {
  std::string text;
  members.Read("cold_for", &text);
  if (text.empty())
    return;
  said.cold_for = base::ParseDuration(text);
  members.Require("cold_for", said.cold_for.has_value());
}

}  // namespace

std::optional<ServerAnnouncement> ServerAnnouncement::FromJson(
    std::string_view text,
    std::string* fault) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    *fault = "no JSON object";
    return std::nullopt;
  }
  ServerAnnouncement said;
  Members members(body);
  members.Read("service", &said.service);
  members.Require("service", !said.service.empty());
  ReadAddress(members, said);
  members.Read("slots", &said.slots);
  members.Require("slots", said.slots >= 1 && said.slots <= kMostSlots);
  members.Read("health", &said.health_path);
  members.Read("instance", &said.instance);
  ReadState(members, said);
  members.Read("sequence", &said.sequence);
  members.Require("sequence", said.sequence >= 0);
  ReadColdFor(members, said);
  ReadStart(members, said);
  *fault = members.fault();
  if (!fault->empty())
    return std::nullopt;
  return said;
}

std::optional<std::chrono::milliseconds> ReadStartedAt(std::string_view text) {
  if (text.empty())
    return std::chrono::milliseconds(0);
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return std::nullopt;
  ServerAnnouncement said;
  Members members(body);
  ReadStart(members, said);
  if (!members.fault().empty())
    return std::nullopt;
  return said.started_at;
}

}  // namespace chestnutport::server
