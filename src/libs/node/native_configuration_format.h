// Native format of the configuration in the store: a head, and documents that
// are stored under their hashes. Used if the setting `adapter` is `own`.
#ifndef NODE_NATIVE_CONFIGURATION_FORMAT_H_
#define NODE_NATIVE_CONFIGURATION_FORMAT_H_

#include <string>

#include "fleet_configuration/configuration_format.h"

namespace chestnutport::node {

class NativeConfigurationFormat {
 public:
  explicit NativeConfigurationFormat(const std::string& fleet);

  std::string HeadKey() const { return head_key_; }
  std::optional<fleet_configuration::PublishedHead> ReadHead(
      std::string_view text) const;
  declarations::Configuration Parse(uint64_t revision,
                                    declarations::DeclarationTexts texts) const;
  bool IsWrittenByNodes() const { return true; }

 private:
  std::string head_key_;
};

}  // namespace chestnutport::node

#endif  // NODE_NATIVE_CONFIGURATION_FORMAT_H_
