#include "wire/peer_answer_head.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/text.h"
#include "net/error_answer.h"
#include "wire/header_names.h"

namespace chestnutport::wire {
namespace {

std::optional<base::ErrorKind> ReadError(std::string_view name) {
  for (const base::ErrorAnswer& row : base::ErrorTable()) {
    if (row.name == name)
      return row.kind;
  }
  return std::nullopt;
}

base::Outcome ReadOutcome(std::string_view name) {
  for (const auto outcome :
       {base::Outcome::kAnswered, base::Outcome::kNotRun}) {
    if (ToString(outcome) == name)
      return outcome;
  }
  return base::Outcome::kUnknown;
}

}  // namespace

PeerAnswerHead PeerAnswerHead::Read(const net::HttpHeaders& headers) {
  PeerAnswerHead head;
  head.outcome = ReadOutcome(net::FindHeader(headers, kOutcomeHeader));
  head.error = ReadError(net::FindHeader(headers, kErrorHeader));
  int64_t retry_after = 0;
  if (const auto retry_in =
          base::ParseDuration(net::FindHeader(headers, kRetryInHeader))) {
    head.retry_after = *retry_in;
  } else if (base::ParseNumber(net::FindHeader(headers, kRetryAfterHeader),
                               &retry_after)) {
    head.retry_after = std::chrono::seconds(retry_after);
  }
  head.load = LoadReport::FromHeader(net::FindHeader(headers, kLoadHeader));
  head.server_time =
      base::ParseDuration(net::FindHeader(headers, kServerTimeHeader))
          .value_or(base::Duration::zero());
  return head;
}

net::HttpAnswer MakePeerErrorAnswer(base::ErrorKind kind,
                                    base::Duration retry_after) {
  net::HttpAnswer answer = net::MakeErrorAnswer(kind, retry_after);
  if (retry_after > base::Duration::zero()) {
    answer.headers.push_back(
        {kRetryInHeader, base::FormatDuration(retry_after)});
  }
  return answer;
}

}  // namespace chestnutport::wire
