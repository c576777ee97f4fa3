#include "evacuation_store/evacuation_reader.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace chestnutport::evacuation_store {
namespace {

using evacuation::Evacuations;
using telemetry::Event;
using telemetry::LogEvent;

// Within this time a starting node usually receives the members and the
// evacuations by gossip. Afterwards only the readers read the store.
constexpr base::Duration kFirstReadDelay = std::chrono::seconds(1);

DataCentres Sorted(DataCentres names) {
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace

EvacuationReader::EvacuationReader(net::EventLoop& loop,
                                   store::StoreClient& store,
                                   AnyEvacuationFormat format,
                                   base::Duration max_read_interval,
                                   const base::Random& random,
                                   Handler read)
    : loop_(loop),
      store_(store),
      format_(std::move(format)),
      random_(random),
      on_read_(std::move(read)),
      timing_(max_read_interval, configuration::kMaxShortEvacuationWatch),
      first_reads_(!store.CountsStaleReads()) {}

EvacuationReader::~EvacuationReader() {
  loop_.Cancel(timer_);
}

void EvacuationReader::Start() {
  Schedule(kFirstReadDelay + timing_.FirstReadDelay(random_));
}

void EvacuationReader::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  const auto reason = role_.SetMembers(self, members);
  first_reads_.OnMembers(role_.is_alone(), loop_.now());
  if (reason != configuration::ReadTrigger::kNone &&
      !first_reads_.IsSettling(loop_.now()) && watch_.Abandon())
    ScheduleSoon();
}

void EvacuationReader::ReadNow() {
  store_.ListPage(format_.prefix, store::Freshness::kLatest,
                  [this](const auto& page) {
                    if (page)
                      OnPage(page);
                  });
}

void EvacuationReader::Schedule(base::Duration wait) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(wait, [this] { Read(); });
}

void EvacuationReader::ScheduleSoon() {
  Schedule(configuration::ReadTiming::RereadDelay(random_));
}

void EvacuationReader::Read() {
  if (!role_.is_reader()) {
    FinishRound(false);
    return;
  }
  const bool may_be_stale = first_reads_.NextMayBeStale(loop_.now(), random_);
  store_.ListPage(
      format_.prefix,
      may_be_stale ? store::Freshness::kMayBeStale : store::Freshness::kLatest,
      [this, may_be_stale](const auto& page) {
        if (!page) {
          FinishRound(true);
          return;
        }
        OnPage(page);
        if (may_be_stale)
          first_reads_.OnStaleResponse();
        // A starting node has the role of a reader until it has received the
        // members, so the first read is not followed by a watch.
        const bool is_settled = std::exchange(has_read_, true) && !may_be_stale;
        if (is_settled && role_.is_reader() && page.value().as_of > 0 &&
            store_.CanWatch())
          Watch(page.value().as_of);
        else
          FinishRound(false);
      });
}

void EvacuationReader::OnPage(const base::Result<store::StorePage>& page) {
  const auto names = format_.read(page.value().entries);
  const Evacuations read{static_cast<uint64_t>(page.value().as_of),
                         names ? Sorted(*names) : DataCentres()};
  const bool is_unreadable =
      !names || read.NameBytes() > Evacuations::kMaxNameBytes;
  // The last evacuations are kept: an evacuation must not end because an entry
  // is invalid.
  if (!std::exchange(is_unreadable_, is_unreadable) && is_unreadable)
    LogEvent(Event::kStoreEntryUnreadable, {{"key", format_.prefix}});
  if (!is_unreadable)
    on_read_(read);
}

void EvacuationReader::Watch(int64_t after) {
  const auto times = timing_.DrawWatch(role_.has_short_watches(), random_);
  store_.Watch(format_.prefix, after, times.wait, times.grace,
               [this, after, watch = watch_.Begin()](const auto& changes) {
                 if (watch_.End(watch))
                   OnWatchEnded(after, changes);
               });
}

void EvacuationReader::OnWatchEnded(
    int64_t after,
    const base::Result<store::StoreChanges>& changes) {
  if (!changes || changes.value().changes_missed) {
    ScheduleSoon();
    return;
  }
  const bool is_unchanged =
      changes.value().changed.empty() && changes.value().removed == 0;
  if (is_unchanged && role_.is_reader())
    Watch(std::max(after, changes.value().as_of));
  else
    Read();
}

void EvacuationReader::FinishRound(bool failed) {
  Schedule(timing_.NextReadDelay(failed, role_.is_alone(),
                                 role_.members_without_store() + 1, random_));
}

}  // namespace chestnutport::evacuation_store
