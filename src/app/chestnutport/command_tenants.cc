#include <cmath>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

constexpr int kPercent = 100;

std::string Percent(const json& share) {
  return absl::StrCat(std::lround(share.get<double>() * kPercent), "%");
}

std::string Rounded(const json& number) {
  return absl::StrCat(std::lround(number.get<double>()));
}

// Returns one row of the table.
json ToRow(const json& tenant) {
  const json& here = tenant.at("here");
  const json& fleet = tenant.at("fleet");
  const bool is_limited = tenant.at("rate").get<double>() > 0;
  json row = {
      {"name", tenant.at("name")},
      {"urgency",
       tenant.at("urgency").is_null() ? "-" : tenant.at("urgency").dump()},
      {"keys", tenant.at("keys").dump()},
      {"rate", is_limited ? tenant.at("rate").dump() : "none"},
      {"burst", is_limited ? tenant.at("burst").dump() : "-"},
      {"here", is_limited ? Percent(here.at("rate_share")) : "-"},
      {"fleet", "-"},
      {"nodes", "-"},
      {"demand", "-"},
      {"admitted", here.at("admitted").dump()},
      {"over", here.at("rate_limited").dump()},
      {"unknown", here.at("rate_limit_unknown").dump()}};
  if (!fleet.is_null()) {
    row["fleet"] = Percent(fleet.at("rate_share"));
    row["nodes"] = fleet.at("nodes").dump();
    row["demand"] = Rounded(fleet.at("demand"));
  }
  return row;
}

}  // namespace

ExitCode Tenants(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("tenants");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/tenants", "");
  if (!PrintJsonOrError(context, answer)) {
    json rows = json::array();
    for (const json& tenant : answer.body.at("tenants"))
      rows.push_back(ToRow(tenant));
    std::cout << Table({{"TENANT", "name"},
                        {"URGENCY", "urgency"},
                        {"KEYS", "keys"},
                        {"RATE", "rate"},
                        {"BURST", "burst"},
                        {"HELD HERE", "here"},
                        {"LEASED", "fleet"},
                        {"NODES", "nodes"},
                        {"DEMAND", "demand"},
                        {"ADMITTED HERE", "admitted"},
                        {"OVER LIMIT", "over"},
                        {"UNKNOWN", "unknown"}},
                       rows);
    const json& allocator = answer.body.at("allocator");
    if (allocator.is_null())
      std::cout << "no allocator of rate limits is known to this node\n";
    else
      std::cout << "allocator: " << allocator.at("name").get<std::string>()
                << "\n";
  }
  return answer.exit_code;
}

}  // namespace chestnutport::cli
