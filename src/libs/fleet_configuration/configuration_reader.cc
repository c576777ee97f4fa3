#include "fleet_configuration/configuration_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "configuration/repair.h"
#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::Documents;
using configuration::Head;
using configuration::StoredHead;
using telemetry::Event;
using telemetry::LogEvent;

}  // namespace

ConfigurationReader::ConfigurationReader(
    net::EventLoop& loop,
    ConfigurationStore& store,
    const configuration::LocalConfiguration& local,
    base::Random& random,
    base::Duration max_read_interval,
    FleetCallbacks fleet,
    ApplyHandler apply)
    : loop_(loop),
      store_(store),
      local_(local),
      random_(random),
      fleet_(std::move(fleet)),
      apply_(std::move(apply)),
      timing_(max_read_interval, fleet_.max_short_watch),
      role_(fleet_.short_watches),
      first_reads_(!store.CountsStaleReads() && !fleet_.needs_proofs) {}

ConfigurationReader::~ConfigurationReader() {
  loop_.Cancel(timer_);
  loop_.Cancel(slow_read_timer_);
}

void ConfigurationReader::Start() {
  Schedule(timing_.FirstReadDelay(random_));
}

void ConfigurationReader::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  using configuration::ReadTrigger;
  const ReadTrigger reason = role_.SetMembers(self, members);
  first_reads_.OnMembers(role_.is_alone(), loop_.now());
  // Skipped if this node has lost the store itself: it would otherwise read
  // again each time that a short-watch reader loses the store.
  const bool is_known_lost =
      has_lost_store_ && reason == ReadTrigger::kShortWatchReaderLostStore;
  if (reason == ReadTrigger::kNone || is_known_lost || is_reading_ ||
      first_reads_.IsSettling(loop_.now())) {
    return;
  }
  watch_.Abandon();
  must_read_once_ = true;
  Schedule(configuration::ReadTiming::RereadDelay(random_));
}

void ConfigurationReader::Schedule(base::Duration wait) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(wait, [this] { ReadIfDue(); });
}

void ConfigurationReader::ReadIfDue() {
  isolation_.Check(fleet_.last_contact(), loop_.now());
  if (std::exchange(must_read_once_, false) || ShouldRead()) {
    Read();
    return;
  }
  ResetStoreState();
  Schedule(configuration::IsolationDetector::kCheckInterval);
}

void ConfigurationReader::Read() {
  is_reading_ = true;
  slow_read_timer_ = loop_.CallAfter(configuration::kSlowReadThreshold, [this] {
    slow_read_timer_ = 0;
    UpdateStoreState(true);
  });
  may_be_stale_ = first_reads_.NextMayBeStale(loop_.now(), random_);
  // The clock is read before the read is sent; the loop's time is older.
  store_.ReadHead(
      may_be_stale_ ? store::Freshness::kMayBeStale : store::Freshness::kLatest,
      [this, asked_at = base::BootClock::now()](const auto& stored) {
        OnHead(stored, asked_at);
      });
}

void ConfigurationReader::OnHead(const base::Result<StoredHead>& stored,
                                 base::BootInstant asked_at) {
  loop_.Cancel(std::exchange(slow_read_timer_, 0));
  if (!stored) {
    FinishRound(true);
    return;
  }
  last_store_contact_ = loop_.now();
  store_revision_ = stored.value().as_of;
  const Head& head = stored.value().head;
  if (may_be_stale_)
    first_reads_.OnStaleResponse();
  else
    RecordStoreRead(head.revision, asked_at);
  if (head.revision > local_.head().revision) {
    ReadDocuments(head);
    return;
  }
  // A head that operators write is never replaced.
  const auto repaired = store_.format().is_written_by_nodes && !may_be_stale_
                            ? configuration::RepairStore(head, local_.head())
                            : std::nullopt;
  if (repaired)
    Repair(stored.value(), *repaired);
  else
    ContinueRound();
}

void ConfigurationReader::RecordStoreRead(uint64_t revision,
                                          base::BootInstant asked_at) {
  found_revision_ = revision;
  if (store_read_)
    store_read_(revision, asked_at);
}

void ConfigurationReader::ContinueRound() {
  // A starting node has the role of a reader until it has received the members,
  // so the first read is not followed by a watch.
  const bool is_settled = std::exchange(has_read_, true) && !may_be_stale_;
  if (is_settled && ShouldRead() && store_revision_ > 0 && store_.CanWatch()) {
    UpdateStoreState(false);
    Watch();
    return;
  }
  FinishRound(false);
}

void ConfigurationReader::ContinueAfterChange() {
  if (role_.has_short_watches() || !has_read_) {
    ContinueRound();
    return;
  }
  is_reading_ = false;
  UpdateStoreState(false);
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(configuration::kDelayAfterChange,
                           [this] { ContinueRound(); });
}

void ConfigurationReader::Watch() {
  is_reading_ = false;
  const auto times = timing_.DrawWatch(role_.has_short_watches(), random_);
  watch_deadline_ = loop_.now() + times.wait + times.grace;
  store_.WatchHead(store_revision_, times,
                   [this, watch = watch_.Begin(),
                    asked_at = base::BootClock::now()](const auto& watched) {
                     if (watch_.End(watch))
                       OnWatchEnded(watched, asked_at);
                   });
}

void ConfigurationReader::OnWatchEnded(
    const base::Result<ConfigurationStore::WatchResult>& watched,
    base::BootInstant asked_at) {
  isolation_.Check(fleet_.last_contact(), loop_.now());
  if (!watched) {
    const bool is_timed_out = loop_.now() >= watch_deadline_;
    if (is_timed_out)
      UpdateStoreState(true);
    // Changes may have been missed, so the head is read again.
    Schedule(configuration::ReadTiming::RereadDelay(random_));
    return;
  }
  last_store_contact_ = loop_.now();
  store_revision_ = std::max(store_revision_, watched.value().as_of);
  const auto& changed = watched.value().head;
  RecordStoreRead(changed ? changed->head.revision : found_revision_, asked_at);
  if (changed && changed->head.revision > local_.head().revision) {
    ReadDocuments(changed->head);
    return;
  }
  ContinueRound();
}

void ConfigurationReader::ReadDocuments(const Head& head) {
  is_reading_ = true;
  const auto missing =
      configuration::MissingDocuments(head.manifest, local_.documents());
  store_.ReadDocuments(missing, [this, head](auto documents) {
    if (!documents) {
      FinishRound(true);
      return;
    }
    apply_(head, documents.value());
    ContinueAfterChange();
  });
}

void ConfigurationReader::Repair(const StoredHead& stored,
                                 const Head& repaired) {
  Documents documents;
  for (const auto& [service, hash] : repaired.manifest) {
    const auto found = local_.documents().find(hash);
    if (found != local_.documents().end())
      documents[hash] = found->second;
  }
  const configuration::SwapHead swap{stored.store_revision, repaired};
  const uint64_t found_revision = stored.head.revision;
  // Also writes the documents that the stored head names: a restored store may
  // lack any of them.
  store_.WriteDocuments(documents, [this, swap, found_revision](bool written) {
    if (!written) {
      FinishRound(true);
      return;
    }
    store_.SwapHead(swap, [this, swap, found_revision](auto swapped) {
      if (swapped && swapped.value()) {
        LogEvent(Event::kStoreRepaired,
                 {{"found", absl::StrCat(found_revision)},
                  {"revision", absl::StrCat(swap.head.revision)}});
      }
      FinishRound(!swapped);
    });
  });
}

void ConfigurationReader::UpdateStoreState(bool has_lost) {
  if (std::exchange(has_lost_store_, has_lost) == has_lost)
    return;
  LogEvent(has_lost ? Event::kStoreUnavailable : Event::kStoreBack,
           {{"for", "configuration"}});
  fleet_.report_store_lost(has_lost);
}

void ConfigurationReader::ResetStoreState() {
  if (std::exchange(has_lost_store_, false))
    fleet_.report_store_lost(false);
}

void ConfigurationReader::FinishRound(bool failed) {
  is_reading_ = false;
  UpdateStoreState(failed);
  const base::Duration wait = timing_.NextReadDelay(
      failed, role_.is_alone(), role_.members_without_store() + 1, random_);
  Schedule(ShouldRead() ? wait
                        : configuration::IsolationDetector::kCheckInterval);
}

}  // namespace chestnutport::fleet_configuration
