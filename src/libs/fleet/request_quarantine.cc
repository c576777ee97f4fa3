#include "fleet/request_quarantine.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::fleet {
namespace {

using base::RequestFingerprint;
using quarantine::CrashObservation;
using quarantine::RequestEvidence;
using quarantine::Verdict;
using quarantine::VerdictUntil;
using telemetry::Event;

// Quarantines and suspicions last for seconds to minutes, so that this
// resolution suffices.
constexpr std::chrono::seconds kTickInterval(1);
// Names of nodes that are gone are kept for log lines on crashes of their
// servers.
constexpr size_t kMaxNames = 10000;

}  // namespace

RequestQuarantine::RequestQuarantine(net::EventLoop& loop,
                                     VerdictsHandler publish)
    : loop_(loop),
      publish_(std::move(publish)),
      known_(std::make_shared<const quarantine::Verdicts>()) {
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

RequestQuarantine::~RequestQuarantine() {
  loop_.Cancel(timer_);
}

void RequestQuarantine::SetMembers(
    std::span<const membership::Member> members) {
  if (names_.size() > kMaxNames)
    names_.clear();
  for (const membership::Member& member : members)
    names_[member.id] = member.name;
}

void RequestQuarantine::OnServerCrash(const quarantine::ServerCrash& crash) {
  std::vector<RequestFingerprint> announced;
  for (const RequestEvidence& evidence : ledger_.AddCrash(crash, loop_.now())) {
    announced.push_back(evidence.fingerprint);
  }
  announce_(announced);
  Publish("");
}

void RequestQuarantine::OnAnswered(RequestFingerprint fingerprint) {
  Refute(fingerprint, "answered");
}

void RequestQuarantine::OnEvidenceReceived() {
  Publish("told");
}

void RequestQuarantine::Learn(std::span<const RequestEvidence> stored) {
  std::vector<RequestFingerprint> announced;
  for (const RequestEvidence& evidence : stored) {
    if (ledger_.Merge(evidence, loop_.now()))
      announced.push_back(evidence.fingerprint);
  }
  if (announced.empty())
    return;
  announce_(announced);
  Publish("stored");
}

bool RequestQuarantine::Release(RequestFingerprint fingerprint,
                                const std::string& who) {
  return Refute(fingerprint, "released by " + who);
}

bool RequestQuarantine::Refute(RequestFingerprint fingerprint,
                               const std::string& why) {
  if (!ledger_.Refute(fingerprint, loop_.now()))
    return false;
  announce_({&fingerprint, 1});
  Publish(why);
  return true;
}

std::vector<RequestWithVerdict> RequestQuarantine::RequestsWithVerdict() const {
  std::vector<RequestWithVerdict> requests;
  for (const auto& [fingerprint, verdict] : known_->all()) {
    if (auto evidence = ledger_.Find(fingerprint))
      requests.push_back({*std::move(evidence), verdict});
  }
  std::ranges::sort(
      requests, [](const RequestWithVerdict& a, const RequestWithVerdict& b) {
        return std::pair(b.verdict.verdict, a.evidence.fingerprint) <
               std::pair(a.verdict.verdict, b.evidence.fingerprint);
      });
  return requests;
}

size_t RequestQuarantine::CountOf(Verdict verdict) const {
  return static_cast<size_t>(std::ranges::count_if(
      known_->all(),
      [verdict](const auto& item) { return item.second.verdict == verdict; }));
}

void RequestQuarantine::Tick() {
  if (ledger_.size() > 0) {
    ledger_.Expire(loop_.now());
    Publish("time");
  }
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

void RequestQuarantine::Publish(const std::string& why) {
  auto verdicts = std::make_shared<const quarantine::Verdicts>(
      ledger_.AllVerdicts(loop_.now()));
  if (verdicts->all() == known_->all())
    return;
  const auto before = std::exchange(known_, std::move(verdicts));
  for (const auto& [fingerprint, verdict] : known_->all()) {
    if (before->Of(fingerprint).verdict != verdict.verdict)
      LogVerdict(fingerprint, verdict);
  }
  for (const auto& [fingerprint, verdict] : before->all()) {
    if (known_->IsFree(fingerprint))
      LogVerdictEnded(fingerprint, verdict, why);
  }
  publish_(known_);
}

void RequestQuarantine::LogVerdictEnded(RequestFingerprint fingerprint,
                                        const VerdictUntil& verdict,
                                        const std::string& why) {
  telemetry::LogEvent(Event::kVerdictEnded,
                      {{"fingerprint", fingerprint.ToString()},
                       {"was", std::string(ToString(verdict.verdict))},
                       {"by", why}});
}

void RequestQuarantine::LogVerdict(RequestFingerprint fingerprint,
                                   const VerdictUntil& verdict) const {
  const auto evidence = ledger_.Find(fingerprint);
  const base::Duration left = verdict.until - loop_.now();
  telemetry::LogEvent(
      Event::kVerdictPassed,
      {{"fingerprint", fingerprint.ToString()},
       {"verdict", std::string(ToString(verdict.verdict))},
       {"for",
        base::FormatDuration(std::chrono::round<std::chrono::seconds>(left))},
       {"ends", evidence ? Describe(*evidence) : ""}});
}

std::string RequestQuarantine::NameOf(base::NodeId node) const {
  const auto found = names_.find(node);
  return found == names_.end() ? node.ToString() : found->second;
}

std::string RequestQuarantine::Describe(const RequestEvidence& evidence) const {
  std::string text;
  for (const CrashObservation& observation : evidence.crashes) {
    const auto age = std::chrono::round<std::chrono::milliseconds>(
        loop_.now() - observation.at);
    const auto run_time =
        std::chrono::round<std::chrono::milliseconds>(observation.run_time);
    absl::StrAppend(
        &text, text.empty() ? "" : " ", NameOf(observation.crash.node), "/",
        observation.crash.life, "-", base::FormatDuration(age), "+",
        base::FormatDuration(run_time), observation.is_sole_suspect ? "!" : "");
  }
  return text;
}

}  // namespace chestnutport::fleet
