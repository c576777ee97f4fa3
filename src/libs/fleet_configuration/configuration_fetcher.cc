#include "fleet_configuration/configuration_fetcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::ApplyResult;
using configuration::FetchRequest;
using configuration::FetchResponse;
using membership::Member;

constexpr base::Duration kTimeout = std::chrono::seconds(2);
// Between two fetches from a random peer. Short at first, because a node that
// has just started has received no announcements.
constexpr base::Duration kFirstInterval = std::chrono::milliseconds(250);
constexpr base::Duration kMaxInterval = std::chrono::seconds(3);

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(
    net::EventLoop& loop,
    control_calls::ControlCaller& caller,
    const configuration::LocalConfiguration& local,
    base::Random& random,
    ApplyHandler apply)
    : loop_(loop),
      caller_(caller),
      local_(local),
      random_(random),
      apply_(std::move(apply)),
      interval_(kFirstInterval) {}

ConfigurationFetcher::~ConfigurationFetcher() {
  loop_.Cancel(timer_);
  loop_.Cancel(newer_timer_);
}

void ConfigurationFetcher::Start() {
  FetchFromAnyPeer();
}

void ConfigurationFetcher::SetMembers(const Member& self,
                                      const std::vector<Member>& members) {
  const bool was_alone = !scheduler_.HasPeers();
  scheduler_.SetMembers(self, members);
  if (was_alone && scheduler_.HasPeers() && timer_ != 0) {
    loop_.Cancel(timer_);
    FetchFromAnyPeer();
  }
  FetchNewer();
}

void ConfigurationFetcher::OnRevisionReported(uint64_t revision,
                                              const Member& from) {
  scheduler_.OnRevisionReported(revision, from);
  FetchNewer();
}

void ConfigurationFetcher::FetchFromAnyPeer() {
  if (const Member* member = scheduler_.SelectAnyPeer(loop_.now(), random_))
    Fetch(*member);
  timer_ = loop_.CallAfter(interval_, [this] { FetchFromAnyPeer(); });
  if (scheduler_.HasPeers())
    interval_ = std::min(2 * interval_, kMaxInterval);
}

void ConfigurationFetcher::FetchNewer() {
  const uint64_t revision = local_.head().revision;
  const base::Instant now = loop_.now();
  if (const Member* member =
          scheduler_.SelectPeerWithNewer(revision, now, random_))
    Fetch(*member);
  loop_.Cancel(newer_timer_);
  newer_timer_ = 0;
  const base::Instant next = scheduler_.NextSelectionAt(revision);
  const bool is_behind = scheduler_.GreatestReportedRevision() > revision;
  // If a fetch is already due, no peer is left to fetch from. The next event
  // will call this function again.
  if (is_behind && next > now && next < base::Instant::max())
    newer_timer_ = loop_.CallAt(next, [this] { FetchNewer(); });
}

void ConfigurationFetcher::Fetch(const Member& member) {
  const FetchRequest request{fetch_all_ ? 0 : local_.head().revision};
  caller_.Call(
      member.control_address, configuration::kFetchMethod, request.ToJson(),
      kTimeout,
      [this, from = member.id, started_at = loop_.now()](const auto& text) {
        OnResponse(from, started_at, text);
      },
      [this, from = member.id] {
        scheduler_.OnTransferStarted(from, loop_.now());
      });
}

void ConfigurationFetcher::OnResponse(base::NodeId from,
                                      base::Instant started_at,
                                      const base::Result<std::string>& text) {
  const auto response =
      text ? FetchResponse::FromJson(text.value()) : std::nullopt;
  if (response) {
    Apply(from, *response);
    scheduler_.OnResponse(from, response->revision, local_.head().revision,
                          loop_.now());
  } else {
    LogFailure(from, started_at);
    scheduler_.OnFailed(from);
  }
  FetchNewer();
}

void ConfigurationFetcher::Apply(base::NodeId from,
                                 const FetchResponse& response) {
  if (!response.head)
    return;
  const ApplyResult result = apply_(from, *response.head, response.documents);
  fetch_all_ = result == ApplyResult::kIncomplete;
}

void ConfigurationFetcher::LogFailure(base::NodeId from,
                                      base::Instant started_at) const {
  telemetry::LogEvent(telemetry::Event::kConfigurationFetchFailed,
                      {{"node", from.ToString()},
                       {"took", base::FormatDuration(loop_.now() - started_at)},
                       {"held", absl::StrCat(local_.head().revision)},
                       {"heard", absl::StrCat(GreatestReportedRevision())}});
}

}  // namespace chestnutport::fleet_configuration
