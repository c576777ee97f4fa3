#include "node/configuration_fetcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

using configuration::Adoption;
using configuration::FetchAnswer;
using configuration::FetchRequest;
using membership::Member;

constexpr base::Duration kTimeout = std::chrono::seconds(2);
constexpr base::Duration kRetryWait = std::chrono::milliseconds(200);
// Between two questions to any node. Short at first, because a node that just
// started has nothing to go by.
constexpr base::Duration kFirstInterval = std::chrono::milliseconds(250);
constexpr base::Duration kInterval = std::chrono::seconds(3);

template <typename T>
const T& PickAny(const std::vector<T>& from, base::Random& random) {
  std::uniform_int_distribution<size_t> index(0, from.size() - 1);
  return from[index(random)];
}

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(
    net::EventLoop& loop,
    ControlCaller& caller,
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
  loop_.Cancel(retry_timer_);
}

void ConfigurationFetcher::Start() {
  AskAnyone();
}

void ConfigurationFetcher::SetMembers(const Member& self,
                                      const std::vector<Member>& members) {
  const bool was_alone = others_.empty();
  others_.clear();
  std::ranges::copy_if(members, std::back_inserter(others_), [&](auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  std::erase_if(heard_, [&](const auto& item) {
    return std::ranges::none_of(
        members, [&](auto& member) { return member.id == item.first; });
  });
  if (was_alone && !others_.empty() && timer_ != 0) {
    loop_.Cancel(timer_);
    AskAnyone();
  }
}

void ConfigurationFetcher::OnRevisionHeard(uint64_t revision,
                                           const Member& from) {
  uint64_t& known = heard_[from.id];
  known = std::max(known, revision);
  // The rumour may come before the list of members that names the node.
  const bool is_known = std::ranges::any_of(
      others_, [&](const Member& other) { return other.id == from.id; });
  if (!is_known)
    others_.push_back(from);
  AskNewer();
}

uint64_t ConfigurationFetcher::GreatestHeard() const {
  uint64_t greatest = 0;
  for (const auto& [node, revision] : heard_)
    greatest = std::max(greatest, revision);
  return greatest;
}

void ConfigurationFetcher::AskAnyone() {
  if (!others_.empty() && !asking_)
    Ask(PickAny(others_, random_));
  timer_ = loop_.CallAfter(interval_, [this] { AskAnyone(); });
  if (!others_.empty())
    interval_ = std::min(2 * interval_, kInterval);
}

void ConfigurationFetcher::AskNewer() {
  if (asking_)
    return;
  std::vector<Member> newer;
  for (const Member& member : others_) {
    const auto known = heard_.find(member.id);
    if (known != heard_.end() && known->second > held_.head().revision)
      newer.push_back(member);
  }
  if (!newer.empty())
    Ask(PickAny(newer, random_));
}

void ConfigurationFetcher::Ask(const Member& member) {
  asking_ = true;
  const FetchRequest request{ask_for_all_ ? 0 : held_.head().revision};
  caller_.Call(member.control_address, configuration::kFetchMethod,
               request.ToJson(), kTimeout,
               [this, from = member.id, asked_at = loop_.now()](
                   const auto& text) { OnAnswer(from, asked_at, text); });
}

void ConfigurationFetcher::OnAnswer(base::NodeId from,
                                    base::Instant asked_at,
                                    const base::Result<std::string>& text) {
  asking_ = false;
  const uint64_t before = held_.head().revision;
  const auto answer = text ? FetchAnswer::FromJson(text.value()) : std::nullopt;
  if (answer) {
    heard_[from] = answer->revision;
    Take(from, *answer);
  } else {
    LogFailure(from, asked_at);
    // Others are asked first; it is asked again once it is heard again.
    heard_.erase(from);
  }
  loop_.Cancel(retry_timer_);
  if (GreatestHeard() <= held_.head().revision)
    return;
  const bool moved = held_.head().revision > before;
  retry_timer_ = loop_.CallAfter(moved ? base::Duration::zero() : kRetryWait,
                                 [this] { AskNewer(); });
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

}  // namespace chestnutport::node
