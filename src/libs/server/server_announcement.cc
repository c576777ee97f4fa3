#include "server/server_announcement.h"

#include <nlohmann/json.hpp>
#include <set>
#include <type_traits>

#include "base/encoding.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

// No server has that many slots; a larger number is an error of the sender.
constexpr int64_t kMaxSlots = 100000;
constexpr char kReady[] = "ready";
constexpr char kDraining[] = "draining";
constexpr char kStartedAt[] = "born";

// Reads the fields of an announcement and records the name of the first invalid
// one.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  // Leaves `value` unchanged if the field is missing.
  template <typename T>
  void Read(const char* name, T* value) {
    read_.insert(name);
    const auto found = object_.find(name);
    if (found == object_.end())
      return;
    if (!IsOf<T>(*found)) {
      Reject(name);
      return;
    }
    *value = found->template get<T>();
  }

  void Require(const std::string& name, bool holds) {
    if (!holds)
      Reject(name);
  }

  // Requires the field to be present, and to be a string if Read() was not
  // called for it.
  void RequirePresent(const std::string& name) {
    const auto found = object_.find(name);
    Require(name, found != object_.end() &&
                      (read_.contains(name) || found->is_string()));
  }

  const std::string& fault() const { return fault_; }

 private:
  template <typename T>
  static bool IsOf(const json& field) {
    if constexpr (std::is_same_v<T, bool>)
      return field.is_boolean();
    else if constexpr (std::is_integral_v<T>)
      return field.is_number_integer();
    else
      return field.is_string();
  }

  void Reject(const std::string& name) {
    if (fault_.empty())
      fault_ = name;
  }

  const json& object_;
  std::set<std::string> read_;
  std::string fault_;
};

void ReadStart(FieldReader& fields, ServerAnnouncement& announcement) {
  int64_t started_at = 0;
  fields.Read(kStartedAt, &started_at);
  fields.Require(kStartedAt, started_at >= 0);
  announcement.started_at = std::chrono::milliseconds(started_at);
}

void ReadState(FieldReader& fields, ServerAnnouncement& announcement) {
  std::string state = kReady;
  fields.Read("state", &state);
  fields.Require("state", state == kReady || state == kDraining);
  fields.Read("draining", &announcement.draining);
  announcement.draining = announcement.draining || state == kDraining;
}

void ReadAddress(FieldReader& fields, ServerAnnouncement& announcement) {
  std::string text;
  fields.Read("address", &text);
  const auto address = base::SocketAddress::Parse(text);
  fields.Require("address", address.has_value());
  announcement.address = address.value_or(base::SocketAddress());
}

void ReadColdFor(FieldReader& fields, ServerAnnouncement& announcement) {
  std::string text;
  fields.Read("cold_for", &text);
  if (text.empty())
    return;
  announcement.cold_for = base::ParseDuration(text);
  fields.Require("cold_for", announcement.cold_for.has_value());
}

}  // namespace

std::optional<ServerAnnouncement> ServerAnnouncement::FromJson(
    std::string_view text,
    const AnnouncementRequirements& requirements,
    std::string* fault) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    *fault = "not a JSON object";
    return std::nullopt;
  }
  ServerAnnouncement announcement;
  FieldReader fields(body);
  fields.Read("service", &announcement.service);
  fields.Require("service", !announcement.service.empty());
  ReadAddress(fields, announcement);
  fields.Read("slots", &announcement.slots);
  fields.Require("slots",
                 announcement.slots >= 1 && announcement.slots <= kMaxSlots);
  fields.Read("health", &announcement.health_path);
  fields.Read("instance", &announcement.instance);
  ReadState(fields, announcement);
  fields.Read("sequence", &announcement.sequence);
  fields.Require("sequence", announcement.sequence >= 0);
  ReadColdFor(fields, announcement);
  ReadStart(fields, announcement);
  for (const std::string& name : requirements.fields)
    fields.RequirePresent(name);
  *fault = fields.fault();
  if (!fault->empty())
    return std::nullopt;
  return announcement;
}

std::optional<std::chrono::milliseconds> ReadStartedAt(std::string_view text) {
  if (text.empty())
    return std::chrono::milliseconds(0);
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return std::nullopt;
  ServerAnnouncement announcement;
  FieldReader fields(body);
  ReadStart(fields, announcement);
  if (!fields.fault().empty())
    return std::nullopt;
  return announcement.started_at;
}

}  // namespace chestnutport::server
