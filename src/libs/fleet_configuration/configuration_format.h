// Encoding of the confirmed configuration in the store.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_FORMAT_H_
#define FLEET_CONFIGURATION_CONFIGURATION_FORMAT_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/documents.h"
#include "configuration/head.h"
#include "declarations/configuration.h"

namespace chestnutport::fleet_configuration {

// The content of one entry in the store: a head, and the documents that are
// embedded in the entry.
struct PublishedHead {
  configuration::Head head;
  configuration::Documents documents;
};

template <typename Form>
concept ConfigurationFormat = requires(const Form& format,
                                       std::string_view text,
                                       uint64_t revision,
                                       declarations::DeclarationTexts texts) {
  // Returns the key of the head, the entry that changes with each confirmation.
  { format.HeadKey() } -> std::same_as<std::string>;
  // Returns nothing if the value of the entry cannot be parsed.
  { format.ReadHead(text) } -> std::same_as<std::optional<PublishedHead>>;
  // Returns the configuration made of `texts`.
  {
    format.Parse(revision, texts)
    } -> std::same_as<declarations::Configuration>;
  // Whether nodes write the head and its documents. Otherwise operators write
  // them to the store directly.
  { format.IsWrittenByNodes() } -> std::same_as<bool>;
};

// Type-erased ConfigurationFormat.
struct AnyConfigurationFormat {
  template <ConfigurationFormat Form>
  static AnyConfigurationFormat Of(const Form& format) {
    return {
        .head_key = format.HeadKey(),
        .read_head =
            [format](std::string_view text) { return format.ReadHead(text); },
        .parse =
            [format](uint64_t revision, declarations::DeclarationTexts texts) {
              return format.Parse(revision, std::move(texts));
            },
        .is_written_by_nodes = format.IsWrittenByNodes()};
  }

  std::string head_key;
  std::function<std::optional<PublishedHead>(std::string_view)> read_head;
  std::function<declarations::Configuration(uint64_t,
                                            declarations::DeclarationTexts)>
      parse;
  bool is_written_by_nodes = true;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_FORMAT_H_
