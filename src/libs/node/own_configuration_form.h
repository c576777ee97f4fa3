// The product's own form: a head, and documents under their hashes.
#ifndef NODE_OWN_CONFIGURATION_FORM_H_
#define NODE_OWN_CONFIGURATION_FORM_H_

#include <string>

#include "fleet_configuration/configuration_format.h"

namespace chestnutport::node {

class OwnConfigurationForm {
 public:
  explicit OwnConfigurationForm(const std::string& fleet);

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

#endif  // NODE_OWN_CONFIGURATION_FORM_H_
