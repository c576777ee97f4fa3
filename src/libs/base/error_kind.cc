#include "base/error_kind.h"

#include <array>
#include <string>

namespace chestnutport::base {
namespace {

using std::chrono::seconds;

constexpr std::array kTable = {
    ErrorAnswer{ErrorKind::kMalformedRequest, "malformed-request", 400,
                Outcome::kNotRun, seconds(0), 2001,
                "the request cannot be read"},
    ErrorAnswer{ErrorKind::kHeadersTooLarge, "headers-too-large", 431,
                Outcome::kNotRun, seconds(0), 2001,
                "the request's headers are larger than allowed"},
    ErrorAnswer{ErrorKind::kBodyTooLarge, "body-too-large", 413,
                Outcome::kNotRun, seconds(0), 2001,
                "the request's body is larger than allowed"},
    ErrorAnswer{ErrorKind::kInvalidDeadline, "invalid-deadline", 400,
                Outcome::kNotRun, seconds(0), 2001,
                "the deadline is not a positive duration such as 250ms"},
    ErrorAnswer{ErrorKind::kUnknownService, "unknown-service", 404,
                Outcome::kNotRun, seconds(0), 2002,
                "no declared service matches the request"},
    ErrorAnswer{ErrorKind::kUnknownTenant, "unknown-tenant", 403,
                Outcome::kNotRun, seconds(0), 2002,
                "the service does not declare this tenant"},
    ErrorAnswer{ErrorKind::kUnauthorized, "unauthorized", 401, Outcome::kNotRun,
                seconds(0), 2003, "the sender does not hold the key"},
    ErrorAnswer{ErrorKind::kUnknownKey, "unknown-key", 401, Outcome::kNotRun,
                seconds(0), 2024,
                "the request has no key, or one that no tenant holds"},
    ErrorAnswer{ErrorKind::kConfigurationStale, "configuration-stale", 503,
                Outcome::kNotRun, seconds(1), 2025,
                "this node cannot tell whether its configuration is current"},
    ErrorAnswer{ErrorKind::kRateLimited, "rate-limited", 429, Outcome::kNotRun,
                seconds(1), 2026, "the tenant is at its rate limit"},
    ErrorAnswer{ErrorKind::kRateLimitUnknown, "rate-limit-unknown", 503,
                Outcome::kNotRun, seconds(1), 2027,
                "this node holds no part of the tenant's rate limit"},
    ErrorAnswer{ErrorKind::kCallUnknown, "call-unknown", 503, Outcome::kNotRun,
                seconds(1), 2028,
                "a call without a key, whose request this node may have sent "
                "before it was restarted"},
    ErrorAnswer{ErrorKind::kConfigurationMissing, "configuration-missing", 503,
                Outcome::kNotRun, seconds(2), 2004,
                "this node has no configuration yet"},
    ErrorAnswer{ErrorKind::kNoServer, "no-server", 503, Outcome::kNotRun,
                seconds(1), 2005, "no server of the service is available"},
    ErrorAnswer{ErrorKind::kOverloaded, "overloaded", 503, Outcome::kNotRun,
                seconds(1), 2006, "the servers are at their limit"},
    ErrorAnswer{ErrorKind::kDeadlineTooClose, "deadline-too-close", 503,
                Outcome::kNotRun, seconds(1), 2006,
                "the expected wait passes the remaining deadline"},
    ErrorAnswer{ErrorKind::kDraining, "draining", 503, Outcome::kNotRun,
                seconds(1), 2005, "the server is leaving"},
    ErrorAnswer{ErrorKind::kStaleTarget, "stale-target", 503, Outcome::kNotRun,
                seconds(1), 2007,
                "the request was meant for an earlier node at this address"},
    ErrorAnswer{ErrorKind::kDuplicateAttempt, "duplicate-attempt", 409,
                Outcome::kUnknown, seconds(1), 2008,
                "this attempt arrived before"},
    ErrorAnswer{ErrorKind::kCancelled, "cancelled", 503, Outcome::kNotRun,
                seconds(1), 2009, "the attempt was cancelled before it ran"},
    ErrorAnswer{ErrorKind::kConnectFailed, "connect-failed", 503,
                Outcome::kNotRun, seconds(1), 2010,
                "no connection could be opened"},
    ErrorAnswer{ErrorKind::kConnectionLost, "connection-lost", 502,
                Outcome::kUnknown, seconds(1), 2011,
                "the connection was lost before the whole answer came"},
    ErrorAnswer{ErrorKind::kServerLost, "server-lost", 502, Outcome::kUnknown,
                seconds(1), 2020,
                "the server broke off before its whole answer came"},
    ErrorAnswer{ErrorKind::kSilentConnection, "silent-connection", 504,
                Outcome::kUnknown, seconds(1), 2012,
                "the connection went silent"},
    ErrorAnswer{ErrorKind::kDeadlinePassed, "deadline-passed", 504,
                Outcome::kUnknown, seconds(1), 2013,
                "the deadline passed before the answer came"},
    ErrorAnswer{ErrorKind::kServerShed, "server-shed", 503, Outcome::kNotRun,
                seconds(1), 2014, "the server refused the work"},
    ErrorAnswer{ErrorKind::kServerSlow, "server-slow", 503, Outcome::kNotRun,
                seconds(1), 2017, "the server is slow at this moment"},
    ErrorAnswer{ErrorKind::kServerReplaced, "server-replaced", 503,
                Outcome::kNotRun, seconds(1), 2018,
                "another start of a server holds the address"},
    ErrorAnswer{ErrorKind::kRequestSuspected, "request-suspected", 503,
                Outcome::kNotRun, seconds(1), 2021,
                "servers ended while they ran this request; it is run by one "
                "server at a time, which runs another such request"},
    ErrorAnswer{ErrorKind::kRequestQuarantined, "request-quarantined", 503,
                Outcome::kNotRun, seconds(600), 2022,
                "servers ended each time they ran this request"},
    ErrorAnswer{ErrorKind::kRequestStopped, "request-stopped", 502,
                Outcome::kUnknown, seconds(600), 2023,
                "the request was put in quarantine while a server ran it"},
    ErrorAnswer{ErrorKind::kAnswerUnusable, "answer-unusable", 502,
                Outcome::kUnknown, seconds(1), 2019,
                "the server's answer cannot be handed on"},
    ErrorAnswer{ErrorKind::kKeyInUse, "key-in-use", 409, Outcome::kUnknown,
                seconds(1), 2015,
                "a request with this idempotency key is running"},
    ErrorAnswer{ErrorKind::kKeyUncertain, "key-uncertain", 409,
                Outcome::kUnknown, seconds(0), 2015,
                "a request with this idempotency key may have run"},
    ErrorAnswer{ErrorKind::kKeyMismatch, "key-mismatch", 422, Outcome::kNotRun,
                seconds(0), 2015,
                "this idempotency key was first used for another request"},
    ErrorAnswer{ErrorKind::kAnsweredBefore, "answered-before", 409,
                Outcome::kUnknown, seconds(0), 2015,
                "a request with this idempotency key ran; its answer was too "
                "large to keep"},
    ErrorAnswer{ErrorKind::kKeyRecordUnavailable, "key-record-unavailable", 503,
                Outcome::kUnknown, seconds(2), 2016,
                "the record of idempotency keys is out of reach"},
    ErrorAnswer{ErrorKind::kStoreUnavailable, "store-unavailable", 503,
                Outcome::kNotRun, seconds(2), 3001,
                "the platform's store does not answer"},
    ErrorAnswer{ErrorKind::kStoreOutcomeUnknown, "store-outcome-unknown", 502,
                Outcome::kUnknown, seconds(2), 3002,
                "the store may or may not have taken the change"},
    ErrorAnswer{ErrorKind::kStalePlan, "stale-plan", 409, Outcome::kNotRun,
                seconds(0), 3003,
                "the configuration changed since the plan was made"},
    ErrorAnswer{ErrorKind::kPlanMismatch, "plan-mismatch", 409,
                Outcome::kNotRun, seconds(0), 3003,
                "the declarations are not those of the plan"},
    ErrorAnswer{ErrorKind::kInvalidSetting, "invalid-setting", 400,
                Outcome::kNotRun, seconds(0), 1005, "a setting is wrong"},
    ErrorAnswer{ErrorKind::kInvalidDeclaration, "invalid-declaration", 400,
                Outcome::kNotRun, seconds(0), 3004, "a declaration is wrong"},
    ErrorAnswer{ErrorKind::kNotFound, "not-found", 404, Outcome::kNotRun,
                seconds(0), 0, "there is no such thing here"},
    ErrorAnswer{ErrorKind::kInternal, "internal", 500, Outcome::kUnknown,
                seconds(1), 9001, "a fault of chestnutport itself"},
};

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "chestnutport"; }
  std::string message(int value) const override {
    return std::string(AnswerTo(static_cast<ErrorKind>(value)).text);
  }
};

}  // namespace

std::span<const ErrorAnswer> ErrorTable() {
  return kTable;
}

const ErrorAnswer& AnswerTo(ErrorKind kind) {
  for (const ErrorAnswer& row : kTable) {
    if (row.kind == kind)
      return row;
  }
  return kTable.back();
}

std::string NameOf(const std::optional<ErrorKind>& error) {
  return error ? std::string(AnswerTo(*error).name) : "none";
}

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), ErrorCategory()};
}

ErrorKind KindOf(const std::error_code& code) {
  if (code.category() != ErrorCategory())
    return ErrorKind::kInternal;
  return static_cast<ErrorKind>(code.value());
}

}  // namespace chestnutport::base
