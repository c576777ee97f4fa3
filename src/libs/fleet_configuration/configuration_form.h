// The form in which the store holds what operators confirmed.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_FORM_H_
#define FLEET_CONFIGURATION_CONFIGURATION_FORM_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/documents.h"
#include "configuration/head.h"
#include "declarations/configuration.h"

namespace chestnutport::fleet_configuration {

// What one entry of the store says: a head, and those of its documents that
// came along.
struct PublishedHead {
  configuration::Head head;
  configuration::Documents documents;
};

template <typename Form>
concept ConfigurationForm = requires(const Form& form,
                                     std::string_view text,
                                     uint64_t revision,
                                     declarations::DeclarationTexts texts) {
  // The key of the entry that changes with each confirmation.
  { form.HeadKey() } -> std::same_as<std::string>;
  // Nothing if the entry's value cannot be read.
  { form.ReadHead(text) } -> std::same_as<std::optional<PublishedHead>>;
  // The declarations in force.
  { form.Parse(revision, texts) } -> std::same_as<declarations::Configuration>;
  // Whether nodes write the head and its documents; if not, operators do.
  { form.IsWritten() } -> std::same_as<bool>;
};

// Any ConfigurationForm, by value.
struct AnyConfigurationForm {
  template <ConfigurationForm Form>
  static AnyConfigurationForm Of(const Form& form) {
    return {
        .head_key = form.HeadKey(),
        .read_head =
            [form](std::string_view text) { return form.ReadHead(text); },
        .parse =
            [form](uint64_t revision, declarations::DeclarationTexts texts) {
              return form.Parse(revision, std::move(texts));
            },
        .is_written = form.IsWritten()};
  }

  std::string head_key;
  std::function<std::optional<PublishedHead>(std::string_view)> read_head;
  std::function<declarations::Configuration(uint64_t,
                                            declarations::DeclarationTexts)>
      parse;
  bool is_written = true;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_FORM_H_
