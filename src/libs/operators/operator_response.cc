#include "operators/operator_response.h"

#include <string>
#include <utility>

namespace chestnutport::operators {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

// Replaces invalid UTF-8, which would otherwise make the serialisation throw.
std::string ToBody(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace

void SendJson(net::Reply& reply, const json& body) {
  reply.Send({.status = kOk,
              .headers = {{"Content-Type", "application/json"}},
              .body = ToBody(body)});
}

void SendError(net::Reply& reply, base::ErrorKind kind, json details) {
  const base::ErrorAnswer& row = base::AnswerTo(kind);
  details["error"] = row.name;
  details["outcome"] = ToString(row.outcome);
  details["text"] = row.text;
  net::HttpAnswer answer{.status = row.http_status,
                         .headers = {{"Content-Type", "application/json"}}};
  if (row.retry_after.count() > 0) {
    details["retry_after_seconds"] = row.retry_after.count();
    answer.headers.push_back(
        {"Retry-After", std::to_string(row.retry_after.count())});
  }
  answer.body = ToBody(details);
  reply.Send(std::move(answer));
}

}  // namespace chestnutport::operators
