#include "api_client.h"

#include <iostream>
#include <utility>

#include "http_client/http_client.h"
#include "net/event_loop.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

// Longer than a node retries a confirmation.
constexpr std::chrono::seconds kTimeout(25);
constexpr int kFirstErrorStatus = 400;

http_client::TransferResult Transfer(const base::SocketAddress& node,
                                     net::HttpRequest request) {
  net::EventLoop loop;
  http_client::HttpClient http(loop, http_client::HttpClientOptions{});
  http_client::TransferResult result;
  http.Send(node, std::move(request), kTimeout,
            [&](http_client::TransferResult answer) {
              result = std::move(answer);
              loop.Stop();
            });
  loop.Run();
  return result;
}

ExitCode ToExitCode(int status, const json& body) {
  if (status < kFirstErrorStatus)
    return kExitDone;
  const auto outcome = body.find("outcome");
  return outcome != body.end() && *outcome == "unknown" ? kExitUnknown
                                                        : kExitRefused;
}

}  // namespace

ApiAnswer CallApi(const CommandContext& context,
                  const std::string& method,
                  const std::string& target,
                  const std::string& body) {
  const http_client::TransferResult result = Transfer(
      context.node, {.method = method,
                     .target = target,
                     .headers = {{"Authorization", "Bearer " + context.token},
                                 {"Content-Type", "application/json"}},
                     .body = body});
  const bool may_have_run =
      method == "POST" && result.end != http_client::TransferEnd::kNotSent;
  if (result.end != http_client::TransferEnd::kComplete) {
    std::cerr << "chestnutport: no answer from " << context.node.ToString()
              << "\n";
    return {may_have_run ? kExitUnknown : kExitUnreachable, json::object()};
  }
  json answer = json::parse(result.answer.body, nullptr, false);
  if (!answer.is_object()) {
    std::cerr << "chestnutport: " << context.node.ToString()
              << " is not a node's operators' address\n";
    return {may_have_run ? kExitUnknown : kExitUnreachable, json::object()};
  }
  const ExitCode exit_code = ToExitCode(result.answer.status, answer);
  return {exit_code, std::move(answer)};
}

}  // namespace chestnutport::cli
