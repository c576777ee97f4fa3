#include "telemetry/event.h"

#include <array>

namespace chestnutport::telemetry {
namespace {

constexpr std::array kTable = {
    EventDescription{Event::kStarted, "started", Level::kInfo,
                     "The node process has started.", "None."},
    EventDescription{Event::kListening, "listening", Level::kInfo,
                     "The node listens on these addresses.", "None."},
    EventDescription{Event::kStopping, "stopping", Level::kInfo,
                     "A stop was asked for; requests in flight finish first.",
                     "None."},
    EventDescription{Event::kStopped, "stopped", Level::kInfo,
                     "The node has ended.", "None."},
    EventDescription{Event::kSettingsInvalid, "settings-invalid", Level::kError,
                     "A setting is wrong; the node did not start.",
                     "Correct the named key; try chestnutport check first."},
    EventDescription{Event::kSettingsReloaded, "settings-reloaded",
                     Level::kInfo,
                     "The settings file was looked at again. Addresses, names "
                     "and keys are taken over by a start only.",
                     "None."},
    EventDescription{Event::kRequestMalformed, "request-malformed",
                     Level::kWarning, "A request could not be read.",
                     "Look at the caller if it goes on."},
    EventDescription{Event::kRequestNotMatched, "request-not-matched",
                     Level::kWarning,
                     "No declared service or tenant fits a request.",
                     "Check the declarations and the caller's address."},
    EventDescription{Event::kSenderUnauthorized, "sender-unauthorized",
                     Level::kWarning, "A sender does not hold the key.",
                     "Check the keys; look for a node of another fleet."},
    EventDescription{Event::kConfigurationMissing, "configuration-missing",
                     Level::kWarning, "There is no configuration yet.",
                     "Confirm one, or wait for the store or a peer."},
    EventDescription{Event::kNoServer, "no-server", Level::kWarning,
                     "A service has no available server.",
                     "Start or undrain servers of the service."},
    EventDescription{Event::kRefused, "refused", Level::kWarning,
                     "Requests are refused because the servers are at their "
                     "limit.",
                     "Add servers, or look for a rush of one tenant."},
    EventDescription{Event::kStaleTarget, "stale-target", Level::kInfo,
                     "A request was meant for an earlier node here.", "None."},
    EventDescription{Event::kDuplicateAttempt, "duplicate-attempt",
                     Level::kWarning, "An attempt arrived a second time.",
                     "None; it was refused."},
    EventDescription{Event::kCancelled, "cancelled", Level::kInfo,
                     "An attempt was cancelled before it ran.", "None."},
    EventDescription{Event::kConnectFailed, "connect-failed", Level::kWarning,
                     "A connection could not be opened.",
                     "Check the named VM if it goes on."},
    EventDescription{Event::kConnectionLost, "connection-lost", Level::kWarning,
                     "A connection was lost with a request in flight.",
                     "Check the named VM if it goes on."},
    EventDescription{Event::kConnectionSilent, "connection-silent",
                     Level::kWarning, "A connection went silent.",
                     "Check what lies between the two VMs."},
    EventDescription{Event::kDeadlinePassed, "deadline-passed", Level::kWarning,
                     "A request's deadline passed.",
                     "Look at the service's latency histograms."},
    EventDescription{Event::kServerShed, "server-shed", Level::kWarning,
                     "The server refused work that was admitted.",
                     "Compare the declared slots with the server's."},
    EventDescription{Event::kKeyRefused, "key-refused", Level::kInfo,
                     "A request with a used idempotency key was refused.",
                     "None."},
    EventDescription{Event::kKeyRecordUnavailable, "key-record-unavailable",
                     Level::kWarning,
                     "The record of idempotency keys is out of reach.",
                     "Check the store and the service's nodes."},
    EventDescription{Event::kServerSlow, "server-slow", Level::kInfo,
                     "A gate handed a request back unrun, because its server "
                     "was slow or faulty just then.",
                     "None, unless it lasts: then look at that VM."},
    EventDescription{Event::kServerReplaced, "server-replaced", Level::kInfo,
                     "Another start of a server holds the address; the request "
                     "was not run.",
                     "None."},
    EventDescription{Event::kAnswerUnusable, "answer-unusable", Level::kWarning,
                     "A server's answer bears no proof that it is whole and "
                     "its own; it was not handed on.",
                     "Look at that server."},
    EventDescription{Event::kServerLost, "server-lost", Level::kWarning,
                     "A server broke off with a request in flight.",
                     "Look for server-ended of that node about then."},
    EventDescription{Event::kRequestSuspected, "request-suspected",
                     Level::kInfo,
                     "A suspect was refused, as its server runs another.",
                     "None, unless it lasts: look at verdict-passed."},
    EventDescription{Event::kRequestQuarantined, "request-quarantined",
                     Level::kWarning,
                     "A request that ends its servers was refused.",
                     "Look for verdict-passed with its fingerprint; see "
                     "chestnutport quarantine."},
    EventDescription{Event::kRequestStopped, "request-stopped", Level::kWarning,
                     "A request that ends its servers was stopped while one "
                     "ran it.",
                     "The same as for request-quarantined."},
    EventDescription{Event::kKeyUnknown, "key-unknown", Level::kInfo,
                     "A request had no key, or one that no tenant holds.",
                     "See runbooks/tenants.md if the key should be known."},
    EventDescription{Event::kConfigurationStale, "configuration-stale",
                     Level::kInfo,
                     "A request with a key was refused, as this node cannot "
                     "tell whether its configuration is current.",
                     "Look for configuration-proof-lost."},
    EventDescription{Event::kRateLimited, "rate-limited", Level::kInfo,
                     "A request beyond its tenant's rate limit was refused.",
                     "See chestnutport tenants."},
    EventDescription{Event::kRateLimitUnknown, "rate-limit-unknown",
                     Level::kInfo,
                     "A request was refused, as this node holds no part of its "
                     "tenant's rate limit and the allocator did not answer.",
                     "Look for limit-allocator-started and "
                     "limit-allocator-stopped."},
    EventDescription{Event::kCallUnknown, "call-unknown", Level::kInfo,
                     "A call without a key was refused soon after the start of "
                     "this node: the server may make it for a request that an "
                     "earlier run of the node sent to it.",
                     "None, if it ends a minute after the start."},
    EventDescription{Event::kCallEnded, "call-ended", Level::kInfo,
                     "A request ended in another way than a success in time at "
                     "the first server; the line has what decided it.",
                     "Follow the request's name with chestnutport explain."},
    EventDescription{Event::kCallRejected, "call-rejected", Level::kInfo,
                     "A request was answered without looking for a server.",
                     "Follow the request's name with chestnutport explain."},
    EventDescription{Event::kCallerGone, "caller-gone", Level::kInfo,
                     "A caller went away before its answer.", "None."},
    EventDescription{Event::kGateDecided, "gate-decided", Level::kInfo,
                     "A gate refused a request, or its server gave no answer "
                     "to it; the line has the state of the server.",
                     "Follow the request's name with chestnutport explain."},
    EventDescription{Event::kServerLate, "server-late", Level::kInfo,
                     "A server answered later than the request's target; the "
                     "line has its pace when the request was started.",
                     "Follow the request's name with chestnutport explain."},
    EventDescription{Event::kAttemptLost, "attempt-lost", Level::kInfo,
                     "A gate's server broke off a request; the line has the "
                     "state of the server.",
                     "Follow the request's name with chestnutport explain."},
    EventDescription{Event::kBodyRefused, "body-refused", Level::kWarning,
                     "A request was answered without reading its body: it was "
                     "too large, or there was no memory for it in time.",
                     "Watch chestnutport_body_bytes; spread large uploads over "
                     "time or over more nodes."},
    EventDescription{Event::kClientRefused, "client-refused", Level::kWarning,
                     "A client met a limit on what a node reads or keeps for "
                     "it; the line has its address, the listener and the "
                     "limit.",
                     "See docs/OPERATIONS.md, clients that do not behave."},
    EventDescription{Event::kServerAnnounced, "server-announced", Level::kInfo,
                     "This node's server announced itself.", "None."},
    EventDescription{Event::kServerWithdrawn, "server-withdrawn",
                     Level::kWarning,
                     "This node's server left or no longer announces itself; "
                     "the line says which.",
                     "Check the server if that was not planned."},
    EventDescription{Event::kServerDraining, "server-draining", Level::kInfo,
                     "The server takes no new work; the line says who drains "
                     "it.",
                     "None."},
    EventDescription{Event::kServerEmpty, "server-empty", Level::kInfo,
                     "A draining server has no work left.",
                     "It may be stopped now."},
    EventDescription{Event::kAnnouncementLate, "announcement-late",
                     Level::kInfo,
                     "An announcement came late, or of a start that has "
                     "ended; it changes nothing.",
                     "None."},
    EventDescription{Event::kAnnouncementRefused, "announcement-refused",
                     Level::kWarning,
                     "An announcement cannot be read, lacks a field that the "
                     "server's protocol requires, or names a service that is "
                     "not declared in place of one that is; it changes "
                     "nothing.",
                     "See who else writes to the node's server address."},
    EventDescription{
        Event::kServerEnded, "server-ended", Level::kWarning,
        "This node's server ended while it ran requests: how many, "
        "and the fingerprints of some with how long they had run.",
        "If a fingerprint stands in the lines of several ends, "
        "look at what that request does to its server."},
    EventDescription{Event::kServerNotice, "server-notice", Level::kInfo,
                     "The server states another rate limit, none any more, or "
                     "that it shuts down; the line has what is in force.",
                     "Find out why the server needs a limit if it stays."},
    EventDescription{Event::kServerNoticeInvalid, "server-notice-invalid",
                     Level::kWarning,
                     "The server states a rate limit that is no number; the "
                     "limit before stays in force.",
                     "Correct the server."},
    EventDescription{Event::kAnnouncementUnconfirmed,
                     "announcement-unconfirmed", Level::kInfo,
                     "The first announcement after the start of this node: it "
                     "waits until the server's health check or a later "
                     "announcement confirms it.",
                     "If requests stay away, look at the server's health "
                     "check."},
    EventDescription{Event::kDepartureInherited, "departure-inherited",
                     Level::kInfo,
                     "Another node knows that the server beside this node "
                     "drains or has left, as an earlier run of this node was "
                     "told.",
                     "None."},
    EventDescription{Event::kLeaveReported, "leave-reported", Level::kInfo,
                     "A server reported to this node that it drains or has "
                     "left; the line says whether it is the one in use.",
                     "None."},
    EventDescription{Event::kLeaveNotStored, "leave-not-stored",
                     Level::kWarning,
                     "A server's leave was not acknowledged, as the platform's "
                     "store did not keep it in time. The server gets no "
                     "requests all the same.",
                     "Look at the store; the server may report its leave "
                     "again."},
    EventDescription{Event::kDeparturesUnknown, "departures-unknown",
                     Level::kWarning,
                     "The platform's store did not say in time which servers "
                     "have told earlier runs of this node that they leave. The "
                     "node goes on asking, and needs more evidence before it "
                     "uses its server.",
                     "Look at the store."},
    EventDescription{Event::kVerdictPassed, "verdict-passed", Level::kWarning,
                     "This node suspects a request, or holds it in quarantine, "
                     "by the ends of servers that the line names.",
                     "Find out what the request does to its servers; see "
                     "runbooks/request-ends-servers.md."},
    EventDescription{Event::kVerdictEnded, "verdict-ended", Level::kInfo,
                     "A request runs like any other again: a server answered "
                     "it, an operator released it, or time has passed.",
                     "None."},
    EventDescription{Event::kStoreUnavailable, "store-unavailable",
                     Level::kWarning, "The platform's store does not answer.",
                     "Traffic goes on; changes wait for the store."},
    EventDescription{Event::kStoreOutcomeUnknown, "store-outcome-unknown",
                     Level::kWarning, "The answer to a store write was lost.",
                     "Ask chestnutport history whether it took effect."},
    EventDescription{Event::kPlanRefused, "plan-refused", Level::kInfo,
                     "A confirmation was refused.", "Make a new plan."},
    EventDescription{Event::kDeclarationInvalid, "declaration-invalid",
                     Level::kInfo, "A declaration is wrong.",
                     "Correct the named key."},
    EventDescription{Event::kConfigurationConfirmed, "configuration-confirmed",
                     Level::kInfo, "An operator confirmed a configuration.",
                     "None."},
    EventDescription{
        Event::kConfigurationInForce, "configuration-in-force", Level::kInfo,
        "A configuration is in force on this node: where it came "
        "from, and for how long a newer one than before was known.",
        "None."},
    EventDescription{Event::kStoreRepaired, "store-repaired", Level::kWarning,
                     "The store held an older configuration than the nodes; "
                     "the newer one was written back.",
                     "Look at chestnutport history for overruled changes."},
    EventDescription{Event::kConfigurationUnreadable,
                     "configuration-unreadable", Level::kError,
                     "The store's configuration cannot be read; the one in "
                     "force stays.",
                     "Look at what was written under the key."},
    EventDescription{Event::kStoreBack, "store-back", Level::kInfo,
                     "The platform's store answers again.", "None."},
    EventDescription{Event::kStoreEntryUnreadable, "store-entry-unreadable",
                     Level::kWarning,
                     "An entry in the store is not as nodes write it; it is "
                     "passed over, and the others hold.",
                     "See who else writes below the key."},
    EventDescription{Event::kConfigurationFetchFailed,
                     "configuration-fetch-failed", Level::kWarning,
                     "Another node did not hand out its configuration.",
                     "Check that node, and the way to it; others are asked."},
    EventDescription{Event::kConfigurationProofLost, "configuration-proof-lost",
                     Level::kWarning,
                     "Nobody has shown this node within the revocation time "
                     "that its configuration is current; it refuses requests "
                     "with keys.",
                     "See runbooks/tenants.md."},
    EventDescription{Event::kConfigurationProofRegained,
                     "configuration-proof-regained", Level::kInfo,
                     "This node accepts requests with keys again.", "None."},
    EventDescription{Event::kLimitAllocatorStarted, "limit-allocator-started",
                     Level::kInfo,
                     "This node divides the tenants' rate limits.", "None."},
    EventDescription{Event::kLimitAllocatorStopped, "limit-allocator-stopped",
                     Level::kInfo,
                     "This node no longer divides the tenants' rate limits.",
                     "None, unless no other node starts within seconds."},
    EventDescription{Event::kLimitTakeoverComplete, "limit-takeover-complete",
                     Level::kInfo,
                     "All that the allocator before had granted is accounted "
                     "for or has ended.",
                     "None."},
    EventDescription{Event::kTenantAtLimit, "tenant-at-limit", Level::kInfo,
                     "The demand of a tenant exceeds its rate limit.",
                     "See chestnutport tenants; raise the limit if the demand "
                     "is legitimate."},
    EventDescription{Event::kMemberJoined, "member-joined", Level::kInfo,
                     "A node became known.", "None."},
    EventDescription{Event::kMemberGone, "member-gone", Level::kWarning,
                     "A node left or was declared gone.",
                     "Check the VM if that was not planned."},
    EventDescription{Event::kEvacuated, "evacuated", Level::kInfo,
                     "The servers of a data centre take no new work until an "
                     "operator says so.",
                     "None; see runbooks/evacuation.md."},
    EventDescription{Event::kEvacuationEnded, "evacuation-ended", Level::kInfo,
                     "The servers of a data centre take work again, slowly "
                     "while they are cold.",
                     "None."},
    EventDescription{Event::kEvacuationConfirmed, "evacuation-confirmed",
                     Level::kInfo,
                     "An operator confirmed that a data centre is evacuated, "
                     "or no more.",
                     "None."},
    EventDescription{Event::kInternalFault, "internal-fault", Level::kError,
                     "A fault of chestnutport itself.",
                     "Report it with the log."},
};

}  // namespace

std::string_view ToString(Level level) {
  switch (level) {
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

std::optional<Level> ParseLevel(std::string_view text) {
  for (const Level level : {Level::kInfo, Level::kWarning, Level::kError}) {
    if (ToString(level) == text)
      return level;
  }
  return std::nullopt;
}

std::span<const EventDescription> EventTable() {
  return kTable;
}

const EventDescription& Describe(Event event) {
  for (const EventDescription& row : kTable) {
    if (row.event == event)
      return row;
  }
  return kTable.back();
}

}  // namespace chestnutport::telemetry
