// The numbered events that are logged. docs/EVENTS.md lists the same; a test
// keeps the two equal.
#ifndef TELEMETRY_EVENT_H_
#define TELEMETRY_EVENT_H_

#include <optional>
#include <span>
#include <string_view>

namespace chestnutport::telemetry {

// In rising order.
enum class Level { kInfo, kWarning, kError };

std::string_view ToString(Level level);
// Nothing for a text that is no level.
std::optional<Level> ParseLevel(std::string_view text);

enum class Event {
  kStarted = 1001,
  kListening = 1002,
  kStopping = 1003,
  kStopped = 1004,
  kSettingsInvalid = 1005,
  kSettingsReloaded = 1006,
  kRequestMalformed = 2001,
  kRequestNotMatched = 2002,
  kSenderUnauthorized = 2003,
  kConfigurationMissing = 2004,
  kNoServer = 2005,
  kRefused = 2006,
  kStaleTarget = 2007,
  kDuplicateAttempt = 2008,
  kCancelled = 2009,
  kConnectFailed = 2010,
  kConnectionLost = 2011,
  kConnectionSilent = 2012,
  kDeadlinePassed = 2013,
  kServerShed = 2014,
  kKeyRefused = 2015,
  kKeyRecordUnavailable = 2016,
  kServerSlow = 2017,
  kServerReplaced = 2018,
  kAnswerUnusable = 2019,
  kServerLost = 2020,
  kRequestSuspected = 2021,
  kRequestQuarantined = 2022,
  kRequestStopped = 2023,
  kKeyUnknown = 2024,
  kConfigurationStale = 2025,
  kRateLimited = 2026,
  kRateLimitUnknown = 2027,
  kCallUnknown = 2028,
  kCallEnded = 2031,
  kCallRejected = 2032,
  kCallerGone = 2033,
  kGateDecided = 2034,
  kServerLate = 2035,
  kAttemptLost = 2036,
  kBodyRefused = 2037,
  kClientRefused = 2038,
  kServerAnnounced = 2101,
  kServerWithdrawn = 2102,
  kServerDraining = 2103,
  kServerEmpty = 2104,
  kAnnouncementLate = 2105,
  kAnnouncementRefused = 2106,
  kServerEnded = 2107,
  kServerNotice = 2108,
  kServerNoticeInvalid = 2109,
  kAnnouncementUnconfirmed = 2110,
  kDepartureInherited = 2111,
  kLeaveReported = 2112,
  kLeaveNotStored = 2113,
  kDeparturesUnknown = 2114,
  kVerdictPassed = 2201,
  kVerdictEnded = 2202,
  kStoreUnavailable = 3001,
  kStoreOutcomeUnknown = 3002,
  kPlanRefused = 3003,
  kDeclarationInvalid = 3004,
  kConfigurationConfirmed = 3005,
  kConfigurationInForce = 3006,
  kStoreRepaired = 3007,
  kConfigurationUnreadable = 3008,
  kStoreBack = 3009,
  kStoreEntryUnreadable = 3010,
  kConfigurationFetchFailed = 3011,
  kConfigurationProofLost = 3101,
  kConfigurationProofRegained = 3102,
  kLimitAllocatorStarted = 3201,
  kLimitAllocatorStopped = 3202,
  kLimitTakeoverComplete = 3203,
  kTenantAtLimit = 3204,
  kMemberJoined = 4001,
  kMemberGone = 4002,
  kEvacuated = 4101,
  kEvacuationEnded = 4102,
  kEvacuationConfirmed = 4103,
  kInternalFault = 9001,
};

struct EventDescription {
  Event event;
  std::string_view name;
  Level level;
  std::string_view meaning;
  std::string_view action;  // What an operator should do.
};

// All events, in the order of their numbers.
std::span<const EventDescription> EventTable();

const EventDescription& Describe(Event event);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_EVENT_H_
