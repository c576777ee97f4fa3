#include "duties/seed_search.h"

#include <algorithm>
#include <random>
#include <utility>

namespace chestnutport::duties {
namespace {

using base::Duration;

constexpr std::chrono::seconds kFirstBackoff(1);
constexpr std::chrono::seconds kMaxBackoff(30);
// The first listings are spread over the longest wait divided by this.
constexpr int kJitterDivisor = 5;
// VMs that lost power together start within some 300 ms of each other, and a
// ping to a node that does not listen yet is lost. Pings cause no load on the
// store.
constexpr std::chrono::milliseconds kFirstPingInterval(40);
constexpr std::chrono::milliseconds kMaxPingInterval(640);

Duration RandomPart(Duration whole,
                    double least,
                    double most,
                    base::Random& random) {
  const double part = std::uniform_real_distribution<>(least, most)(random);
  return std::chrono::duration_cast<Duration>(part * whole);
}

}  // namespace

SeedSearch::SeedSearch(bool counts_stale_reads, Duration longest_wait)
    : counts_stale_reads_(counts_stale_reads),
      longest_wait_(std::min<Duration>(longest_wait, kMaxBackoff)),
      backoff_(FirstBackoff()),
      ping_interval_(kFirstPingInterval) {}

Duration SeedSearch::FirstDelay(base::Random& random) const {
  return counts_stale_reads_ ? DrawJitter(random) : Duration::zero();
}

SeedSearch::Listing SeedSearch::NextListing(bool is_alone,
                                            base::Random& random) {
  const bool is_first = !std::exchange(has_listed_, true);
  if (!is_alone) {
    current_listings_.Reset();
    return Listing::kMayBeStale;
  }
  if (counts_stale_reads_)
    return Listing::kLatest;
  if (is_first)
    return Listing::kMayBeStale;
  const bool is_current = is_next_current_
                              ? *std::exchange(is_next_current_, std::nullopt)
                              : current_listings_.Draw(random);
  return is_current ? Listing::kLatest : Listing::kMayBeStale;
}

Duration SeedSearch::NextDelay(bool is_alone, base::Random& random) {
  Duration wait = kListingInterval;
  if (is_alone) {
    wait = backoff_;
    if (counts_stale_reads_ || current_listings_.IsCertain())
      backoff_ = std::min<Duration>(2 * backoff_, longest_wait_);
  } else {
    backoff_ = FirstBackoff();
  }
  return RandomPart(wait, 0.5, 1.5, random);
}

Duration SeedSearch::DelayAfterEmptyListing(base::Random& random) {
  is_next_current_ = current_listings_.Draw(random);
  return *is_next_current_ ? DrawJitter(random) : NextDelay(true, random);
}

void SeedSearch::ResetPingInterval() {
  ping_interval_ = kFirstPingInterval;
}

Duration SeedSearch::NextPingInterval() {
  return std::exchange(
      ping_interval_, std::min<Duration>(2 * ping_interval_, kMaxPingInterval));
}

Duration SeedSearch::DrawJitter(base::Random& random) const {
  const Duration spread =
      std::min<Duration>(kStartJitter, longest_wait_ / kJitterDivisor);
  return RandomPart(spread, 0, 1, random);
}

Duration SeedSearch::FirstBackoff() const {
  return std::min<Duration>(kFirstBackoff, longest_wait_);
}

}  // namespace chestnutport::duties
