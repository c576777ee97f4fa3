// Output of the operators' command line.
#ifndef CHESTNUTPORT_OUTPUT_H_
#define CHESTNUTPORT_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "api_client.h"
#include "commands.h"

namespace chestnutport::cli {

// A column of a table: its title and the name of the JSON field it shows.
struct Column {
  const char* title;
  const char* field;
};

// Returns a text table with a line of titles and one line per object in `rows`.
std::string Table(const std::vector<Column>& columns,
                  const nlohmann::json& rows);

// Prints the answer as JSON if requested, or else an error as text. Returns
// false if nothing was printed because the call succeeded and the caller has to
// print the result as text.
bool PrintJsonOrError(const CommandContext& context, const ApiAnswer& answer);

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_OUTPUT_H_
