#include "node/control_metrics.h"

#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

using membership::MemberState;
using telemetry::Metric;
using telemetry::Reading;

struct StateName {
  MemberState state;
  const char* name;
};

constexpr std::array kStateNames = {
    StateName{MemberState::kAlive, "alive"},
    StateName{MemberState::kSuspected, "suspected"},
    StateName{MemberState::kGone, "gone"},
};

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

double CpuSeconds(clockid_t clock) {
  timespec used{};
  clock_gettime(clock, &used);
  return Seconds(std::chrono::seconds(used.tv_sec) +
                 std::chrono::nanoseconds(used.tv_nsec));
}

// Returns the resident set size from /proc/self/statm, whose second field
// counts pages; zero if it cannot be read.
double ResidentBytes() {
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

void AppendMembers(std::vector<Reading>& readings,
                   const std::vector<membership::Member>& members) {
  for (const StateName& row : kStateNames) {
    double count = 0;
    for (const membership::Member& member : members)
      count += member.state == row.state ? 1 : 0;
    readings.push_back({Metric::kMembers, row.name, count});
  }
}

void AppendConfiguration(
    std::vector<Reading>& readings,
    const fleet_configuration::ConfigurationManager& configuration) {
  readings.push_back(
      {Metric::kRevision, "",
       static_cast<double>(configuration.configuration().revision)});
  readings.push_back(
      {Metric::kConfigurationBehind, "", Seconds(configuration.Behind())});
  if (const auto age = configuration.StoreStaleness())
    readings.push_back({Metric::kStoreWordAge, "", Seconds(*age)});
}

void AppendStoreCalls(std::vector<Reading>& readings,
                      const store::StoreCallCounts& calls) {
  for (const store::CallKind kind : store::kCallKinds) {
    for (const store::CallResult result : store::kCallResults) {
      const std::string labels = absl::StrCat(std::string(ToString(kind)), ",",
                                              std::string(ToString(result)));
      readings.push_back({Metric::kStoreCalls, labels,
                          static_cast<double>(calls.Of(kind, result))});
    }
  }
}

void AppendGossip(std::vector<Reading>& readings,
                  const membership::GossipCounters& gossip,
                  const fleet::DirectCounters& direct) {
  readings.push_back(
      {Metric::kGossipSentBytes, "", static_cast<double>(gossip.sent_bytes)});
  const uint64_t rejected = gossip.unauthenticated + gossip.malformed +
                            direct.unauthenticated + direct.unknown_channel;
  readings.push_back(
      {Metric::kGossipRejected, "", static_cast<double>(rejected)});
  readings.push_back(
      {Metric::kGossipSuspected, "", static_cast<double>(gossip.suspected)});
  readings.push_back(
      {Metric::kGossipRefuted, "", static_cast<double>(gossip.refuted)});
}

void AppendHeld(std::vector<Reading>& readings,
                const fleet::RequestQuarantine& quarantine) {
  using quarantine::Verdict;
  for (const Verdict verdict : {Verdict::kSuspected, Verdict::kQuarantined}) {
    readings.push_back({Metric::kHeldRequests, std::string(ToString(verdict)),
                        static_cast<double>(quarantine.CountOf(verdict))});
  }
}

void AppendLog(std::vector<Reading>& readings) {
  for (const telemetry::SuppressedEvent& row : telemetry::SuppressedEvents()) {
    readings.push_back({Metric::kLogSuppressed,
                        std::to_string(static_cast<int>(row.event)),
                        static_cast<double>(row.count)});
  }
  readings.push_back({Metric::kLogDropped, "",
                      static_cast<double>(telemetry::DroppedLines())});
}

}  // namespace

std::vector<Reading> CollectControlMetrics(const ControlMetricSources& counts) {
  std::vector<Reading> readings;
  AppendMembers(readings, counts.members);
  AppendConfiguration(readings, counts.configuration);
  AppendStoreCalls(readings, counts.store_calls);
  AppendHeld(readings, counts.quarantine);
  if (counts.proof_age) {
    readings.push_back(
        {Metric::kConfigurationProofAge, "", Seconds(*counts.proof_age)});
  }
  if (counts.gate.load.strain)
    readings.push_back({Metric::kServerStrain, "", *counts.gate.load.strain});
  readings.push_back(
      {Metric::kServerWordAge, "", Seconds(counts.gate.slowness_report_age)});
  if (counts.gate.rate_limit) {
    readings.push_back({Metric::kServerRateLimit, "", *counts.gate.rate_limit});
  }
  readings.push_back(
      {Metric::kProbes, "", static_cast<double>(counts.gate.probes)});
  readings.push_back(
      {Metric::kProbeSeconds, "", Seconds(counts.gate.probe_time)});
  readings.push_back(
      {Metric::kLimitAllocator, "", counts.is_limit_allocator ? 1.0 : 0.0});
  AppendGossip(readings, counts.gossip, counts.direct);
  AppendLog(readings);
  readings.push_back(
      {Metric::kControlCpuSeconds, "", CpuSeconds(CLOCK_THREAD_CPUTIME_ID)});
  readings.push_back(
      {Metric::kProcessCpuSeconds, "", CpuSeconds(CLOCK_PROCESS_CPUTIME_ID)});
  readings.push_back({Metric::kResidentBytes, "", ResidentBytes()});
  return readings;
}

}  // namespace chestnutport::node
