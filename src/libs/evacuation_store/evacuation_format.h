// Encoding of evacuations in the store.
#ifndef EVACUATION_STORE_EVACUATION_FORMAT_H_
#define EVACUATION_STORE_EVACUATION_FORMAT_H_

#include <concepts>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "store/store_entry.h"

namespace chestnutport::evacuation_store {

using DataCentres = std::vector<std::string>;

template <typename Form>
concept EvacuationFormat =
    requires(const Form& format, std::span<const store::StoreEntry> entries) {
  // Returns the prefix of all keys that hold evacuations.
  { format.Prefix() } -> std::same_as<std::string>;
  // Returns the evacuated data centres, in any order, from all entries with the
  // prefix; nothing if an entry cannot be parsed.
  { format.Read(entries) } -> std::same_as<std::optional<DataCentres>>;
  // Whether nodes write evacuations for operators. Otherwise operators write
  // them to the store directly.
  { format.IsWrittenByNodes() } -> std::same_as<bool>;
};

// Type-erased EvacuationFormat.
struct AnyEvacuationFormat {
  template <EvacuationFormat Form>
  static AnyEvacuationFormat Of(const Form& format) {
    return {.prefix = format.Prefix(),
            .read =
                [format](std::span<const store::StoreEntry> entries) {
                  return format.Read(entries);
                },
            .is_written_by_nodes = format.IsWrittenByNodes()};
  }

  std::string prefix;
  std::function<std::optional<DataCentres>(std::span<const store::StoreEntry>)>
      read;
  bool is_written_by_nodes = true;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_FORMAT_H_
