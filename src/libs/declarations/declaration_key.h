// Documentation of the keys of a declaration.
#ifndef DECLARATIONS_DECLARATION_KEY_H_
#define DECLARATIONS_DECLARATION_KEY_H_

#include <string>
#include <string_view>
#include <vector>

namespace chestnutport::declarations {

// Documentation of one key of a declaration.
struct DeclarationKey {
  std::string_view section;
  std::string_view key;
  std::string_view accepted;
  std::string_view default_text;  // Empty if the key is required.
  std::string_view help;
};

// Returns a table of `keys` for docs/DECLARATIONS.md, in Markdown.
std::string DescribeInTable(const std::vector<DeclarationKey>& keys);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_DECLARATION_KEY_H_
