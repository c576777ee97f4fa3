#include <nlohmann/json.hpp>
#include <utility>

#include "declarations/checker.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;
using declarations::DeclarationTexts;
using nlohmann::json;

std::optional<DeclarationTexts> ReadTexts(const json& body) {
  if (!body.is_object() || !body.contains("services") ||
      !body["services"].is_object()) {
    return std::nullopt;
  }
  DeclarationTexts texts;
  for (const auto& [name, text] : body["services"].items()) {
    if (!text.is_string())
      return std::nullopt;
    texts[name] = text.get<std::string>();
  }
  return texts;
}

settings::Problems Check(const DeclarationTexts& texts) {
  std::vector<declarations::DeclarationFile> files;
  for (const auto& [name, text] : texts)
    files.push_back({name, text});
  settings::Problems problems;
  const DeclarationTexts by_name =
      declarations::CheckDeclarations(files, problems);
  for (const auto& [name, text] : texts) {
    if (!by_name.contains(name)) {
      problems.push_back({name, 0, "service", "name", name,
                          "the name under which the text is sent"});
    }
  }
  return problems;
}

}  // namespace

std::optional<DeclarationTexts> ReadDeclarations(
    const net::HttpRequest& request,
    net::Reply& reply) {
  auto texts = ReadTexts(json::parse(request.body.ToString(), nullptr, false));
  if (!texts) {
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"accepted", "{\"services\": {name: text}}"}});
    return std::nullopt;
  }
  const settings::Problems problems = Check(*texts);
  if (problems.empty())
    return texts;
  json lines = json::array();
  for (const settings::Problem& problem : problems)
    lines.push_back(problem.ToString());
  SendError(reply, ErrorKind::kInvalidDeclaration, {{"problems", lines}});
  return std::nullopt;
}

}  // namespace chestnutport::operators
