#include "duties/seed_search.h"

#include <algorithm>
#include <random>
#include <utility>

namespace chestnutport::duties {
namespace {

using base::Duration;

constexpr std::chrono::seconds kFirstBackoff(1);
constexpr std::chrono::seconds kLongestBackoff(30);
// The first listings take this part of the longest wait.
constexpr int kSpreadPart = 5;
// VMs that lost power together come up within some 300 ms, and a greeting to
// one that does not listen yet is lost. A greeting costs the store nothing.
constexpr std::chrono::milliseconds kFirstGreeting(40);
constexpr std::chrono::milliseconds kLongestGreeting(640);

Duration PartOf(Duration whole,
                double least,
                double most,
                base::Random& random) {
  const double part = std::uniform_real_distribution<>(least, most)(random);
  return std::chrono::duration_cast<Duration>(part * whole);
}

}  // namespace

SeedSearch::SeedSearch(bool counts_stale_listings, Duration longest_wait)
    : counts_old_listings_(counts_stale_listings),
      longest_wait_(std::min<Duration>(longest_wait, kLongestBackoff)),
      backoff_(FirstBackoff()),
      greeting_(kFirstGreeting) {}

Duration SeedSearch::FirstWait(base::Random& random) const {
  return counts_old_listings_ ? DrawSpread(random) : Duration::zero();
}

SeedSearch::Listing SeedSearch::Next(bool is_alone) {
  const bool is_first = !std::exchange(has_listed_, true);
  const bool may_be_old = !is_alone || (is_first && !counts_old_listings_);
  return may_be_old ? Listing::kMayBeStale : Listing::kLatest;
}

Duration SeedSearch::Wait(bool is_alone, base::Random& random) {
  Duration wait = kDutyInterval;
  if (is_alone) {
    wait = backoff_;
    backoff_ = std::min<Duration>(2 * backoff_, longest_wait_);
  } else {
    backoff_ = FirstBackoff();
  }
  return PartOf(wait, 0.5, 1.5, random);
}

Duration SeedSearch::WaitAfterNobody(base::Random& random) const {
  return DrawSpread(random);
}

void SeedSearch::RestartGreeting() {
  greeting_ = kFirstGreeting;
}

Duration SeedSearch::NextGreeting() {
  return std::exchange(greeting_,
                       std::min<Duration>(2 * greeting_, kLongestGreeting));
}

Duration SeedSearch::DrawSpread(base::Random& random) const {
  const Duration spread =
      std::min<Duration>(kStartSpread, longest_wait_ / kSpreadPart);
  return PartOf(spread, 0, 1, random);
}

Duration SeedSearch::FirstBackoff() const {
  return std::min<Duration>(kFirstBackoff, longest_wait_);
}

}  // namespace chestnutport::duties
