#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

// Returns the members that have a server, sorted by service and name.
json MembersWithServer(const json& members) {
  std::vector<json> servers;
  for (json member : members) {
    if (!member.contains("service"))
      continue;
    const int state = member.value("state", 0);
    member["status"] = member.value("draining", false) ? "draining"
                       : state == 0                    ? "serving"
                       : state == 1                    ? "suspected"
                                                       : "gone";
    // A cold server has one too.
    const double rate_limit = member.value("cold_rate", 0.0);
    member["rate_limit"] =
        rate_limit > 0 ? absl::StrCat(rate_limit, "/s") : "none";
    servers.push_back(std::move(member));
  }
  std::ranges::sort(servers, {}, [](const json& server) {
    return std::pair(server.at("service"), server.at("name"));
  });
  return servers;
}

}  // namespace

ExitCode Servers(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("servers");
    return kExitUsage;
  }
  ApiAnswer answer = CallApi(context, "GET", "/v1/status", "");
  if (answer.exit_code == kExitDone)
    answer.body = {{"servers", MembersWithServer(answer.body.at("members"))}};
  if (!PrintJsonOrError(context, answer)) {
    std::cout << Table({{"SERVICE", "service"},
                        {"NAME", "name"},
                        {"DATA CENTRE", "data_centre"},
                        {"SLOTS", "slots"},
                        {"RATE LIMIT", "rate_limit"},
                        {"STATUS", "status"},
                        {"NODE", "id"}},
                       answer.body.at("servers"));
  }
  return answer.exit_code;
}

}  // namespace chestnutport::cli
