#include "evacuation_store/native_evacuation_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace chestnutport::evacuation_store {

using nlohmann::json;

NativeEvacuationFormat::NativeEvacuationFormat(const std::string& fleet)
    : key_(absl::StrCat("chestnutport/", fleet, "/evacuations")) {}

std::optional<DataCentres> NativeEvacuationFormat::Read(
    std::span<const store::StoreEntry> entries) const {
  const auto found = std::ranges::find(entries, key_, &store::StoreEntry::key);
  return found == entries.end() ? DataCentres() : Parse(found->value);
}

std::string NativeEvacuationFormat::Write(const DataCentres& data_centres) {
  return json(data_centres).dump();
}

std::optional<DataCentres> NativeEvacuationFormat::Parse(
    const std::string& text) {
  const json list = json::parse(text, nullptr, false);
  const bool is_list =
      list.is_array() && std::ranges::all_of(list, [](const json& name) {
        return name.is_string();
      });
  if (!is_list)
    return std::nullopt;
  return list.get<DataCentres>();
}

}  // namespace chestnutport::evacuation_store
