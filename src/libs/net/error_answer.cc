#include "net/error_answer.h"

#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"

namespace chestnutport::net {

HttpAnswer MakeErrorAnswer(base::ErrorKind kind, base::Duration retry_after) {
  const base::ErrorAnswer& row = base::AnswerTo(kind);
  HttpAnswer answer;
  answer.status = row.http_status;
  answer.headers = {
      {"Content-Type", "text/plain"},
      {"Chestnutport-Outcome", std::string(ToString(row.outcome))},
      {"Chestnutport-Error", std::string(row.name)}};
  // The header has whole seconds only; less would call the caller too early.
  const auto wait = std::chrono::ceil<std::chrono::seconds>(retry_after);
  if (wait.count() > 0)
    answer.headers.push_back({"Retry-After", absl::StrCat(wait.count())});
  answer.body = std::string(row.text) + "\n";
  return answer;
}

HttpAnswer MakeErrorAnswer(base::ErrorKind kind) {
  return MakeErrorAnswer(kind, base::AnswerTo(kind).retry_after);
}

}  // namespace chestnutport::net
