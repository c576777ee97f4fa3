#include "declarations/declaration_key.h"

#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::declarations {

std::string DescribeInTable(const std::vector<DeclarationKey>& keys) {
  std::string text =
      "| section | key | default | accepted | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const DeclarationKey& key : keys) {
    const std::string_view default_text =
        key.default_text.empty() ? "must be given" : key.default_text;
    absl::StrAppend(
        &text, "| ", base::AbslView(key.section), " | ",
        base::AbslView(key.key), " | ", base::AbslView(default_text), " | ",
        base::AbslView(key.accepted), " | ", base::AbslView(key.help), " |\n");
  }
  return text;
}

}  // namespace chestnutport::declarations
