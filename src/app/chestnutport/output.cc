#include "output.h"

#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

constexpr size_t kMaxCellWidth = 40;
constexpr size_t kColumnGap = 2;
constexpr size_t kMaxListItems = 4;  // Items of a list shown in one cell.

std::string Cell(const json& value) {
  if (value.is_null())
    return "-";
  if (value.is_string())
    return value.get<std::string>();
  if (value.is_boolean())
    return value.get<bool>() ? "yes" : "no";
  if (!value.is_array())
    return value.dump();
  std::string text;
  for (size_t i = 0; i < value.size() && i < kMaxListItems; ++i)
    absl::StrAppend(&text, i > 0 ? ", " : "", Cell(value[i]));
  if (value.size() > kMaxListItems)
    absl::StrAppend(&text, " and ", value.size() - kMaxListItems, " more");
  return text;
}

std::string Field(const json& row, const char* field) {
  std::string text = Cell(row.contains(field) ? row[field] : json());
  if (text.size() > kMaxCellWidth)
    text = text.substr(0, kMaxCellWidth - 3) + "...";
  return text;
}

void PrintProblems(const json& body) {
  if (!body.contains("problems"))
    return;
  for (const json& problem : body["problems"])
    std::cerr << Cell(problem) << "\n";
}

void PrintChangedSince(const json& body) {
  if (!body.contains("changed_since"))
    return;
  std::cerr << Table({{"REVISION", "revision"},
                      {"BY", "by"},
                      {"AT", "at"},
                      {"KIND", "kind"},
                      {"SERVICE", "service"},
                      {"SECTION", "section"},
                      {"KEY", "key"},
                      {"BEFORE", "before"},
                      {"AFTER", "after"}},
                     body["changed_since"]);
}

}  // namespace

std::string Table(const std::vector<Column>& columns, const json& rows) {
  std::vector<size_t> widths;
  for (const Column& column : columns) {
    size_t width = std::string(column.title).size();
    for (const json& row : rows)
      width = std::max(width, Field(row, column.field).size());
    widths.push_back(width + kColumnGap);
  }
  std::string text;
  const auto add_line = [&](auto cell) {
    std::string line;
    size_t end = 0;
    for (size_t i = 0; i < columns.size(); ++i) {
      line += cell(columns[i]);
      end += widths[i];
      line.resize(end, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    absl::StrAppend(&text, line, "\n");
  };
  add_line([](const Column& column) { return std::string(column.title); });
  for (const json& row : rows)
    add_line([&](const Column& column) { return Field(row, column.field); });
  return text;
}

bool PrintJsonOrError(const CommandContext& context, const ApiAnswer& answer) {
  if (answer.body.empty())
    return true;
  if (context.json) {
    std::cout << answer.body.dump() << "\n";
    return true;
  }
  if (answer.exit_code == kExitDone)
    return false;
  const json& body = answer.body;
  std::cerr << "chestnutport: " << Field(body, "error") << ": "
            << Cell(body.contains("text") ? body["text"] : json()) << "\n";
  if (body.contains("retry_after_seconds"))
    std::cerr << "try again in " << Cell(body["retry_after_seconds"]) << " s\n";
  PrintProblems(body);
  PrintChangedSince(body);
  return true;
}

}  // namespace chestnutport::cli
