#include "fleet_configuration/configuration_fetcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::Adoption;
using configuration::FetchAnswer;
using configuration::FetchRequest;
using membership::Member;

constexpr base::Duration kTimeout = std::chrono::seconds(2);
// Between two questions to any node. Short at first, because a node that just
// started has nothing to go by.
constexpr base::Duration kFirstInterval = std::chrono::milliseconds(250);
constexpr base::Duration kInterval = std::chrono::seconds(3);

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(
    net::EventLoop& loop,
    control_calls::ControlCaller& caller,
    const configuration::HeldConfiguration& held,
    base::Random& random,
    OfferHandler offer)
    : loop_(loop),
      caller_(caller),
      held_(held),
      random_(random),
      offer_(std::move(offer)),
      interval_(kFirstInterval) {}

ConfigurationFetcher::~ConfigurationFetcher() {
  loop_.Cancel(timer_);
  loop_.Cancel(newer_timer_);
}

void ConfigurationFetcher::Start() {
  AskAnyone();
}

void ConfigurationFetcher::SetMembers(const Member& self,
                                      const std::vector<Member>& members) {
  const bool was_alone = !plan_.HasOthers();
  plan_.SetMembers(self, members);
  if (was_alone && plan_.HasOthers() && timer_ != 0) {
    loop_.Cancel(timer_);
    AskAnyone();
  }
  AskNewer();
}

void ConfigurationFetcher::OnRevisionHeard(uint64_t revision,
                                           const Member& from) {
  plan_.OnHeard(revision, from);
  AskNewer();
}

void ConfigurationFetcher::AskAnyone() {
  if (const Member* member = plan_.AskAny(loop_.now(), random_))
    Ask(*member);
  timer_ = loop_.CallAfter(interval_, [this] { AskAnyone(); });
  if (plan_.HasOthers())
    interval_ = std::min(2 * interval_, kInterval);
}

void ConfigurationFetcher::AskNewer() {
  const uint64_t held = held_.head().revision;
  const base::Instant now = loop_.now();
  if (const Member* member = plan_.AskNewer(held, now, random_))
    Ask(*member);
  loop_.Cancel(newer_timer_);
  newer_timer_ = 0;
  const base::Instant next = plan_.NextNewer(held);
  const bool is_behind = plan_.GreatestHeard() > held;
  // Nobody is left to ask if it is due already: an event will bring more.
  if (is_behind && next > now && next < base::Instant::max())
    newer_timer_ = loop_.CallAt(next, [this] { AskNewer(); });
}

void ConfigurationFetcher::Ask(const Member& member) {
  const FetchRequest request{ask_for_all_ ? 0 : held_.head().revision};
  caller_.Call(
      member.control_address, configuration::kFetchMethod, request.ToJson(),
      kTimeout,
      [this, from = member.id, asked_at = loop_.now()](const auto& text) {
        OnAnswer(from, asked_at, text);
      },
      [this, from = member.id] { plan_.OnAnswering(from, loop_.now()); });
}

void ConfigurationFetcher::OnAnswer(base::NodeId from,
                                    base::Instant asked_at,
                                    const base::Result<std::string>& text) {
  const auto answer = text ? FetchAnswer::FromJson(text.value()) : std::nullopt;
  if (answer) {
    Take(from, *answer);
    plan_.OnAnswer(from, answer->revision, held_.head().revision, loop_.now());
  } else {
    LogFailure(from, asked_at);
    plan_.OnFailed(from);
  }
  AskNewer();
}

void ConfigurationFetcher::Take(base::NodeId from, const FetchAnswer& answer) {
  if (!answer.head)
    return;
  const Adoption adoption = offer_(from, *answer.head, answer.documents);
  ask_for_all_ = adoption == Adoption::kIncomplete;
}

void ConfigurationFetcher::LogFailure(base::NodeId from,
                                      base::Instant asked_at) const {
  telemetry::LogEvent(telemetry::Event::kConfigurationFetchFailed,
                      {{"node", from.ToString()},
                       {"took", base::FormatDuration(loop_.now() - asked_at)},
                       {"held", absl::StrCat(held_.head().revision)},
                       {"heard", absl::StrCat(GreatestHeard())}});
}

}  // namespace chestnutport::fleet_configuration
