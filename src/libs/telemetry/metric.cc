#include "telemetry/metric.h"

#include <array>

namespace chestnutport::telemetry {
namespace {

constexpr std::string_view kSeries = "service,tenant,class";

constexpr std::array kTable = {
    MetricDescription{Metric::kCallSeconds, "chestnutport_call_seconds",
                      MetricType::kHistogram, kSeries,
                      "Time from a caller's whole request to its answer."},
    MetricDescription{Metric::kCallAddedSeconds,
                      "chestnutport_call_added_seconds", MetricType::kHistogram,
                      kSeries,
                      "The same without the time that the server took."},
    MetricDescription{Metric::kCalls, "chestnutport_calls_total",
                      MetricType::kCounter, "service,tenant,class,outcome",
                      "Callers' requests by outcome."},
    MetricDescription{Metric::kCallErrors, "chestnutport_call_errors_total",
                      MetricType::kCounter, "service,tenant,class,error",
                      "Errors that callers got."},
    MetricDescription{Metric::kAttempts, "chestnutport_attempts_total",
                      MetricType::kCounter, kSeries,
                      "Attempts sent to gates, hedges included."},
    MetricDescription{Metric::kRetries, "chestnutport_retries_total",
                      MetricType::kCounter, kSeries,
                      "Attempts after an earlier one had failed."},
    MetricDescription{Metric::kMoves, "chestnutport_moves_total",
                      MetricType::kCounter, kSeries,
                      "Attempts that a gate handed back, unrun, because "
                      "another server would do better."},
    MetricDescription{Metric::kHedges, "chestnutport_hedges_total",
                      MetricType::kCounter, kSeries,
                      "Attempts while an earlier one was in flight."},
    MetricDescription{Metric::kAttemptQueueSeconds,
                      "chestnutport_attempt_queue_seconds",
                      MetricType::kHistogram, kSeries,
                      "Wait of attempts at the gate of this node's server."},
    MetricDescription{Metric::kAttemptServerSeconds,
                      "chestnutport_attempt_server_seconds",
                      MetricType::kHistogram, kSeries,
                      "Time that this node's server took for attempts."},
    MetricDescription{Metric::kAttemptErrors,
                      "chestnutport_attempt_errors_total", MetricType::kCounter,
                      "service,tenant,class,error",
                      "Attempts that this node's gate refused or lost."},
    MetricDescription{Metric::kAttemptsRateLimited,
                      "chestnutport_attempts_rate_limited_total",
                      MetricType::kCounter, kSeries,
                      "Attempts that this node's gate refused for lack of "
                      "capacity while its server stated a rate limit."},
    MetricDescription{Metric::kInFlight, "chestnutport_in_flight",
                      MetricType::kGauge, "role",
                      "Requests in flight: callers' (ingress), and attempts "
                      "waiting or running (gate)."},
    MetricDescription{Metric::kLoopDelay, "chestnutport_loop_delay_seconds",
                      MetricType::kGauge, "role",
                      "Longest time since the last reading in which the thread "
                      "did not look at its connections."},
    MetricDescription{Metric::kBodyBytes, "chestnutport_body_bytes",
                      MetricType::kGauge, "role",
                      "Memory reserved for the bodies of requests at hand: "
                      "callers' (ingress), and other nodes' (gate)."},
    MetricDescription{Metric::kBodyLimit, "chestnutport_body_limit_bytes",
                      MetricType::kGauge, "role",
                      "Limit of chestnutport_body_bytes. Requests beyond it "
                      "wait unread, and are then refused."},
    MetricDescription{Metric::kBodiesRefused,
                      "chestnutport_bodies_refused_total", MetricType::kCounter,
                      "role",
                      "Requests refused because there was no memory for their "
                      "bodies."},
    MetricDescription{Metric::kClientsRefused,
                      "chestnutport_clients_refused_total",
                      MetricType::kCounter, "limit",
                      "Clients that met a limit on what the node reads or "
                      "keeps for them, by the listener's role and the limit."},
    MetricDescription{Metric::kMembers, "chestnutport_members",
                      MetricType::kGauge, "state",
                      "Nodes that this node knows."},
    MetricDescription{Metric::kRevision, "chestnutport_configuration_revision",
                      MetricType::kGauge, "",
                      "Revision in force on this node."},
    MetricDescription{Metric::kConfigurationBehind,
                      "chestnutport_configuration_behind_seconds",
                      MetricType::kGauge, "",
                      "For how long this node has known of a newer revision "
                      "than the one in force; zero if it knows of none."},
    MetricDescription{Metric::kStoreWordAge,
                      "chestnutport_store_word_age_seconds", MetricType::kGauge,
                      "",
                      "Age of the store's last word about the configuration, "
                      "on nodes that read it for their data centre."},
    MetricDescription{
        Metric::kConfigurationProofAge,
        "chestnutport_configuration_proof_age_seconds", MetricType::kGauge, "",
        "Age of the proof that the configuration in force is current; missing "
        "without a proof or without a revocation time."},
    MetricDescription{Metric::kStoreCalls, "chestnutport_store_calls_total",
                      MetricType::kCounter, "kind,result",
                      "Calls to the platform's store."},
    MetricDescription{
        Metric::kGossipSentBytes, "chestnutport_gossip_sent_bytes_total",
        MetricType::kCounter, "", "Bytes of datagrams sent to other nodes."},
    MetricDescription{Metric::kGossipRejected,
                      "chestnutport_gossip_rejected_total",
                      MetricType::kCounter, "",
                      "Datagrams of another key or fleet, or unreadable."},
    MetricDescription{
        Metric::kGossipSuspected, "chestnutport_gossip_suspected_total",
        MetricType::kCounter, "", "Times that this node suspected another."},
    MetricDescription{Metric::kGossipRefuted,
                      "chestnutport_gossip_refuted_total", MetricType::kCounter,
                      "", "Times that others suspected this node wrongly."},
    MetricDescription{
        Metric::kHeldRequests, "chestnutport_held_requests", MetricType::kGauge,
        "verdict",
        "Requests that servers ended with, by what this node does "
        "with them."},
    MetricDescription{
        Metric::kServerStrain, "chestnutport_server_strain", MetricType::kGauge,
        "",
        "How many times the usual work a good answer of this node's server "
        "costs, as last known."},
    MetricDescription{Metric::kServerWordAge,
                      "chestnutport_server_word_age_seconds",
                      MetricType::kGauge, "",
                      "Age of what this node's server last said of its pace."},
    MetricDescription{
        Metric::kServerRateLimit, "chestnutport_server_rate_limit",
        MetricType::kGauge, "",
        "Requests per second that this node's server states it accepts; "
        "missing if it states none."},
    MetricDescription{Metric::kProbes, "chestnutport_probes_total",
                      MetricType::kCounter, "",
                      "Probes of servers made by this node."},
    MetricDescription{
        Metric::kProbeSeconds, "chestnutport_probe_seconds_total",
        MetricType::kCounter, "",
        "Server time spent on probes; compare its rate with probe_budget."},
    MetricDescription{Metric::kTenantRequests,
                      "chestnutport_tenant_requests_total",
                      MetricType::kCounter, "tenant,result",
                      "Requests of tenants with a rate limit, by what the "
                      "limit decided. A request that was returned had been "
                      "admitted and did not run."},
    MetricDescription{Metric::kLimitLeases, "chestnutport_limit_leases",
                      MetricType::kGauge, "",
                      "Tenants of whose rate limit this node holds a part."},
    MetricDescription{Metric::kLimitAllocator, "chestnutport_limit_allocator",
                      MetricType::kGauge, "",
                      "One if this node divides the tenants' rate limits; "
                      "over all nodes it should be one."},
    MetricDescription{Metric::kLogSuppressed,
                      "chestnutport_log_suppressed_total", MetricType::kCounter,
                      "event", "Repeats of an event that were not logged."},
    MetricDescription{Metric::kLogDropped, "chestnutport_log_dropped_total",
                      MetricType::kCounter, "",
                      "Log lines lost because the log was full."},
    MetricDescription{
        Metric::kControlCpuSeconds, "chestnutport_control_cpu_seconds_total",
        MetricType::kCounter, "", "Processor time of the control thread."},
    MetricDescription{
        Metric::kProcessCpuSeconds, "chestnutport_process_cpu_seconds_total",
        MetricType::kCounter, "", "Processor time of the whole process."},
    MetricDescription{Metric::kResidentBytes, "chestnutport_resident_bytes",
                      MetricType::kGauge, "",
                      "Memory that the process occupies."},
};

}  // namespace

std::string_view ToString(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

std::span<const MetricDescription> MetricTable() {
  return kTable;
}

const MetricDescription& Describe(Metric metric) {
  for (const MetricDescription& row : kTable) {
    if (row.metric == metric)
      return row;
  }
  return kTable.front();
}

}  // namespace chestnutport::telemetry
