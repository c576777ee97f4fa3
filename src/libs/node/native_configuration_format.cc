#include "node/native_configuration_format.h"

#include <utility>

namespace chestnutport::node {

NativeConfigurationFormat::NativeConfigurationFormat(const std::string& fleet)
    : head_key_(configuration::HeadKey(fleet)) {}

std::optional<fleet_configuration::PublishedHead>
NativeConfigurationFormat::ReadHead(std::string_view text) const {
  auto head = configuration::Head::FromJson(text);
  if (!head)
    return std::nullopt;
  return fleet_configuration::PublishedHead{*std::move(head), {}};
}

declarations::Configuration NativeConfigurationFormat::Parse(
    uint64_t revision,
    declarations::DeclarationTexts texts) const {
  return declarations::Configuration::FromTexts(revision, std::move(texts));
}

}  // namespace chestnutport::node
