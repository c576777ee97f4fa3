// The one closed list of error kinds, and the table that says what each kind
// means to a caller: status, outcome, when to come back, and the event that is
// logged. docs/ERRORS.md shows the same table; a test keeps the two equal.
#ifndef BASE_ERROR_KIND_H_
#define BASE_ERROR_KIND_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

#include "base/outcome.h"

namespace chestnutport::base {

enum class ErrorKind {
  kMalformedRequest = 1,
  kHeadersTooLarge,
  kBodyTooLarge,
  kInvalidDeadline,
  kUnknownService,
  kUnknownTenant,
  kUnauthorized,
  kUnknownKey,
  kConfigurationStale,
  kRateLimited,
  kRateLimitUnknown,
  kCallUnknown,
  kConfigurationMissing,
  kNoServer,
  kOverloaded,
  kDeadlineTooClose,
  kDraining,
  kStaleTarget,
  kDuplicateAttempt,
  kCancelled,
  kConnectFailed,
  kConnectionLost,
  kServerLost,
  kSilentConnection,
  kDeadlinePassed,
  kServerShed,
  kServerSlow,
  kServerReplaced,
  kRequestSuspected,
  kRequestQuarantined,
  kRequestStopped,
  kAnswerUnusable,
  kKeyInUse,
  kKeyUncertain,
  kKeyMismatch,
  kAnsweredBefore,
  kKeyRecordUnavailable,
  kStoreUnavailable,
  kStoreOutcomeUnknown,
  kStalePlan,
  kPlanMismatch,
  kInvalidSetting,
  kInvalidDeclaration,
  kNotFound,
  kInternal,
};

// What an error kind means to whoever is told of it.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // As in the Chestnutport-Error header.
  int http_status;
  Outcome outcome;
  std::chrono::seconds retry_after;  // Zero: coming back would not help.
  int event;                         // Number in docs/EVENTS.md; 0: none.
  std::string_view text;
};

// The whole table, in the order of the enumeration.
std::span<const ErrorAnswer> ErrorTable();

// The row of `kind`.
const ErrorAnswer& AnswerTo(ErrorKind kind);

const std::error_category& ErrorCategory();
std::error_code make_error_code(ErrorKind kind);

// The name of its row; "none" if there is no error.
std::string NameOf(const std::optional<ErrorKind>& error);

// The kind behind `code`; kInternal for a code of another category.
ErrorKind KindOf(const std::error_code& code);

}  // namespace chestnutport::base

template <>
struct std::is_error_code_enum<chestnutport::base::ErrorKind> : std::true_type {
};

#endif  // BASE_ERROR_KIND_H_
