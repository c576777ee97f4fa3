// How evacuations lie in the store.
#ifndef EVACUATION_STORE_EVACUATION_FORM_H_
#define EVACUATION_STORE_EVACUATION_FORM_H_

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
concept EvacuationForm = requires(const Form& form,
                                  std::span<const store::StoreEntry> entries) {
  // Of all keys that tell of evacuations.
  { form.Prefix() } -> std::same_as<std::string>;
  // The data centres by all entries with the prefix, in any order; nothing if
  // an entry cannot be read.
  { form.Read(entries) } -> std::same_as<std::optional<DataCentres>>;
  // Whether operators write them through a node; if not, they write them
  // themselves.
  { form.IsWritten() } -> std::same_as<bool>;
};

// Any EvacuationForm, by value.
struct AnyEvacuationForm {
  template <EvacuationForm Form>
  static AnyEvacuationForm Of(const Form& form) {
    return {.prefix = form.Prefix(),
            .read =
                [form](std::span<const store::StoreEntry> entries) {
                  return form.Read(entries);
                },
            .is_written = form.IsWritten()};
  }

  std::string prefix;
  std::function<std::optional<DataCentres>(std::span<const store::StoreEntry>)>
      read;
  bool is_written = true;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_FORM_H_
