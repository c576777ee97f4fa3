// Large bodies of callers' requests, and those for which there is no memory.
#include <utility>

#include "absl/hash/hash.h"
#include "calls/retry_delay.h"
#include "ingress/call_log.h"
#include "ingress/ingress.h"

namespace chestnutport::ingress {
namespace {

// Of the time until a caller's deadline, the part that a request may wait for
// memory: the rest is for its body, the server and the answer.
constexpr int kBodyWaitDivisor = 2;

}  // namespace

net::BodyPolicy Ingress::MakeBodyPolicy() {
  return {.admit = [this](const auto& head) { return AdmitBody(head); },
          .refuse =
              [this](const auto& head, const auto& refusal) {
                return RefuseBody(head, refusal);
              }};
}

net::BodyAdmission Ingress::AdmitBody(const net::HttpRequest& head) {
  const std::string request_id = protocol_.request_id(head);
  const auto reject = [&](base::ErrorKind error) {
    return net::BodyAdmission{
        .rejection =
            Reject(request_id, error, base::AnswerTo(error).retry_after)};
  };
  const auto read = protocol_.read(*snapshot_.configuration, head, random_);
  if (!read)
    return reject(base::KindOf(read.error()));
  const CallerRequest& request = read.value();
  if (const auto key_error = FindKeyError(request, FindParent(request)))
    return reject(*key_error);
  net::BodyAdmission admission{.max_wait =
                                   request.remaining / kBodyWaitDivisor};
  if (request.tenant_account)
    admission.caller = absl::HashOf(request.tenant_account->name);
  return admission;
}

net::HttpAnswer Ingress::RefuseBody(const net::HttpRequest& head,
                                    const net::BodyRefusal& refusal) {
  const std::string request_id = protocol_.request_id(head);
  LogBodyRefused(request_id, refusal);
  base::Duration retry_after = base::AnswerTo(refusal.error).retry_after;
  if (protocol_.supports_subsecond_retry_delay) {
    const base::Duration left =
        refusal.max_wait * kBodyWaitDivisor - refusal.waited;
    retry_after = calls::RetryDelay(retry_after, left, random_);
  }
  return Reject(request_id, refusal.error, retry_after);
}

}  // namespace chestnutport::ingress
