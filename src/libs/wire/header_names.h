// Names of the HTTP headers that the product reads or writes.
#ifndef WIRE_HEADER_NAMES_H_
#define WIRE_HEADER_NAMES_H_

namespace chestnutport::wire {

// From a caller, and on to the server.
inline constexpr char kDeadlineHeader[] = "Chestnutport-Deadline";
inline constexpr char kTenantHeader[] = "Chestnutport-Tenant";
// From a caller only: the key of its tenant.
inline constexpr char kTenantKeyHeader[] = "Chestnutport-Key";
inline constexpr char kClassHeader[] = "Chestnutport-Class";
inline constexpr char kDepthHeader[] = "Chestnutport-Depth";
// The depth of the call that is repeated if it fails; set for calls below it.
inline constexpr char kRetryLevelHeader[] = "Chestnutport-Retry-Level";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
// Time since the key was first used, as a duration.
inline constexpr char kKeyAgeHeader[] = "Chestnutport-Key-Age";

// From the server: how much longer it stays cold, as a duration.
inline constexpr char kColdForHeader[] = "Chestnutport-Cold-For";
// From the server: the requests per second that it accepts from all nodes
// together, and that it shuts down ("1").
inline constexpr char kRateLimitHeader[] = "Chestnutport-Rate-Limit";
inline constexpr char kLeavingHeader[] = "Chestnutport-Leaving";

// On an answer to a caller.
inline constexpr char kOutcomeHeader[] = "Chestnutport-Outcome";
inline constexpr char kErrorHeader[] = "Chestnutport-Error";
inline constexpr char kRetryAfterHeader[] = "Retry-After";

// Between nodes.
inline constexpr char kAttemptHeader[] = "Chestnutport-Attempt";
// How many attempts of the same call were made before, also for the server.
inline constexpr char kAttemptNumberHeader[] = "Chestnutport-Attempt-Number";
inline constexpr char kTargetHeader[] = "Chestnutport-Target";
inline constexpr char kServiceHeader[] = "Chestnutport-Service";
inline constexpr char kSignatureHeader[] = "Chestnutport-Signature";
// On an answer: the key's owner had no record of an earlier use.
inline constexpr char kKeyNewHeader[] = "Chestnutport-Key-New";
inline constexpr char kLoadHeader[] = "Chestnutport-Load";
// On a request between nodes: the gate may hand it back unrun if its server is
// in a poor state.
inline constexpr char kMayMoveHeader[] = "Chestnutport-May-Move";
// On a request between nodes: how many times the usual work a good answer of
// the service costs as a rule just now, as far as the sender knows.
inline constexpr char kUsualStrainHeader[] = "Chestnutport-Usual-Strain";
// On a request between nodes: how long an answer is still worth most.
inline constexpr char kTargetInHeader[] = "Chestnutport-Target-In";
// On a request between nodes: one that runs may be stopped halfway.
inline constexpr char kMayStopHeader[] = "Chestnutport-May-Stop";
// On a request between nodes: how the caller named it, for the logs.
inline constexpr char kRequestNameHeader[] = "Chestnutport-Request-Name";
// On a request between nodes: the same for what is sent again.
inline constexpr char kFingerprintHeader[] = "Chestnutport-Fingerprint";
// On a request between nodes: servers ended with it twice.
inline constexpr char kSuspectHeader[] = "Chestnutport-Suspect";
// On a request between nodes: the kind of work, if it is not told by the class.
inline constexpr char kWorkKindHeader[] = "Chestnutport-Work-Kind";
// On a capacity inquiry: the size of the body in bytes.
inline constexpr char kBodyBytesHeader[] = "Chestnutport-Body-Bytes";
// On an answer between nodes: when to come back, as a duration. Retry-After
// has whole seconds only.
inline constexpr char kRetryInHeader[] = "Chestnutport-Retry-In";
// On an answer between nodes: a call failed that the server made for it.
inline constexpr char kCallFailedHeader[] = "Chestnutport-Call-Failed";
// Between nodes, on requests and answers: what the server last stated of its
// rate limit and of leaving; see PeerServerNotice.
inline constexpr char kServerNoticeHeader[] = "Chestnutport-Server-Notice";
inline constexpr char kServerTimeHeader[] = "Chestnutport-Server-Time";

}  // namespace chestnutport::wire

#endif  // WIRE_HEADER_NAMES_H_
