#include "configuration/head.h"

#include <algorithm>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::configuration {
namespace {

using nlohmann::json;

// Returns `object` without the fields in `known`, as text; empty if none
// remain.
std::string UnknownFields(json object,
                          std::initializer_list<const char*> known) {
  for (const char* name : known)
    object.erase(name);
  return object.empty() ? "" : object.dump();
}

json WithUnknownFields(const std::string& unknown_fields) {
  const json object = json::parse(unknown_fields, nullptr, false);
  return object.is_object() ? object : json::object();
}

json EntryToJson(const HistoryEntry& entry) {
  json object = WithUnknownFields(entry.unknown_fields);
  object["revision"] = entry.revision;
  object["plan"] = entry.plan_id;
  object["by"] = entry.confirmed_by;
  object["at"] = entry.confirmed_at;
  object["changed"] = entry.changed;
  if (entry.forgotten)
    object["forgotten"] = true;
  if (entry.overruled)
    object["overruled"] = true;
  return object;
}

HistoryEntry EntryFromJson(const json& object) {
  HistoryEntry entry;
  entry.revision = object.at("revision").get<uint64_t>();
  entry.plan_id = object.value("plan", "");
  entry.confirmed_by = object.value("by", "");
  entry.confirmed_at = object.value("at", "");
  // A named variable, because items() does not extend the life of a temporary.
  const json changed = object.value("changed", json::object());
  for (const auto& [service, before] : changed.items())
    entry.changed[service] = before.get<std::string>();
  entry.forgotten = object.value("forgotten", false);
  entry.overruled = object.value("overruled", false);
  entry.unknown_fields = UnknownFields(
      object,
      {"revision", "plan", "by", "at", "changed", "forgotten", "overruled"});
  return entry;
}

std::map<std::string, std::string, std::less<>> ChangedServices(
    const Manifest& before,
    const Manifest& after) {
  std::map<std::string, std::string, std::less<>> changed;
  for (const auto& [service, hash] : before) {
    const auto found = after.find(service);
    if (found == after.end() || found->second != hash)
      changed[service] = hash;
  }
  for (const auto& [service, hash] : after) {
    if (!before.contains(service))
      changed[service] = "";
  }
  return changed;
}

void Undo(const HistoryEntry& entry, Manifest& manifest) {
  for (const auto& [service, before] : entry.changed) {
    if (before.empty())
      manifest.erase(service);
    else
      manifest[service] = before;
  }
}

}  // namespace

std::string Head::ToJson() const {
  json object = WithUnknownFields(unknown_fields);
  object["revision"] = revision;
  object["manifest"] = manifest;
  object["history"] = json::array();
  for (const HistoryEntry& entry : history)
    object["history"].push_back(EntryToJson(entry));
  return object.dump();
}

std::optional<Head> Head::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    Head head;
    head.revision = object.at("revision").get<uint64_t>();
    for (const auto& [service, hash] : object.at("manifest").items())
      head.manifest[service] = hash.get<std::string>();
    for (const json& entry : object.value("history", json::array()))
      head.history.push_back(EntryFromJson(entry));
    head.unknown_fields =
        UnknownFields(object, {"revision", "manifest", "history"});
    return head;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

const HistoryEntry* Head::LastConfirmation() const {
  const auto found = std::find_if(history.rbegin(), history.rend(),
                                  [](const auto& e) { return !e.overruled; });
  return found == history.rend() ? nullptr : &*found;
}

const HistoryEntry* Head::FindPlan(std::string_view plan_id) const {
  const auto found = std::ranges::find_if(history, [&](const auto& entry) {
    return !entry.overruled && entry.plan_id == plan_id;
  });
  return found == history.end() ? nullptr : &*found;
}

Head NextHead(const Head& base, Manifest manifest, HistoryEntry confirmation) {
  Head next = base;
  next.revision = base.revision + 1;
  confirmation.revision = next.revision;
  confirmation.changed = ChangedServices(base.manifest, manifest);
  next.manifest = std::move(manifest);
  next.history.push_back(std::move(confirmation));
  BoundHistory(next.history);
  return next;
}

std::optional<Manifest> ManifestAt(const Head& head, uint64_t revision) {
  Manifest manifest = head.manifest;
  uint64_t reached = head.revision;
  for (auto entry = head.history.rbegin();
       entry != head.history.rend() && reached > revision; ++entry) {
    if (entry->overruled)
      continue;
    if (entry->revision != reached || entry->forgotten)
      return std::nullopt;
    Undo(*entry, manifest);
    --reached;
  }
  if (reached != revision)
    return std::nullopt;
  return manifest;
}

void BoundHistory(std::vector<HistoryEntry>& history) {
  if (history.size() > kMaxHistoryEntries)
    history.erase(history.begin(), history.end() - kMaxHistoryEntries);
  size_t services = 0;
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    services += entry->changed.size();
    if (services > kMaxHistoryServices) {
      entry->changed.clear();
      entry->forgotten = true;
    }
  }
}

std::string HeadKey(std::string_view fleet) {
  return absl::StrCat("chestnutport/", base::AbslView(fleet), "/head");
}

}  // namespace chestnutport::configuration
