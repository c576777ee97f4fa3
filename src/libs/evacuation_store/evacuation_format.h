// How evacuations lie in the store.
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
  // Of all keys that tell of evacuations.
  { format.Prefix() } -> std::same_as<std::string>;
  // The data centres by all entries with the prefix, in any order; nothing if
  // an entry cannot be read.
  { format.Read(entries) } -> std::same_as<std::optional<DataCentres>>;
  // Whether operators write them through a node; if not, they write them
  // themselves.
  { format.IsWrittenByNodes() } -> std::same_as<bool>;
};

// Any EvacuationFormat, by value.
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
