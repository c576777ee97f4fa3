#include "evacuation_store/evacuation_reader.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace chestnutport::evacuation_store {
namespace {

using evacuation::Evacuations;
using telemetry::Event;
using telemetry::LogEvent;

// A node that starts hears of the fleet, and so of evacuations, within this
// time as a rule; only those that are readers then ask the store.
constexpr base::Duration kFirstWait = std::chrono::seconds(1);

DataCentres Sorted(DataCentres names) {
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace

EvacuationReader::EvacuationReader(net::EventLoop& loop,
                                   store::StoreClient& store,
                                   AnyEvacuationForm form,
                                   base::Duration longest_wait,
                                   const base::Random& random,
                                   Handler read)
    : loop_(loop),
      store_(store),
      form_(std::move(form)),
      random_(random),
      read_(std::move(read)),
      pace_(longest_wait, configuration::kAlertEvacuationWatch) {}

EvacuationReader::~EvacuationReader() {
  loop_.Cancel(timer_);
}

void EvacuationReader::Start() {
  Schedule(kFirstWait + pace_.First(random_));
}

void EvacuationReader::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  const auto reason = role_.SetMembers(self, members);
  if (reason != configuration::ReadSoon::kNo && watch_.GiveUp())
    ScheduleSoon();
}

void EvacuationReader::ReadNow() {
  store_.ListPage(form_.prefix, [this](const auto& page) {
    if (page)
      OnPage(page);
  });
}

void EvacuationReader::Schedule(base::Duration wait) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(wait, [this] { Read(); });
}

void EvacuationReader::ScheduleSoon() {
  Schedule(configuration::ReadPace::Again(random_));
}

void EvacuationReader::Read() {
  if (!role_.is_reader()) {
    EndRound(false);
    return;
  }
  store_.ListPage(form_.prefix, [this](const auto& page) {
    if (!page) {
      EndRound(true);
      return;
    }
    OnPage(page);
    // After a start each node takes itself for a reader until it knows the
    // fleet.
    const bool is_settled = std::exchange(has_read_, true);
    if (is_settled && role_.is_reader() && page.value().as_of > 0 &&
        store_.CanWatch())
      Watch(page.value().as_of);
    else
      EndRound(false);
  });
}

void EvacuationReader::OnPage(const base::Result<store::StorePage>& page) {
  const auto names = form_.read(page.value().entries);
  const Evacuations read{static_cast<uint64_t>(page.value().as_of),
                         names ? Sorted(*names) : DataCentres()};
  const bool is_unreadable =
      !names || read.NameBytes() > Evacuations::kLargestNames;
  // What is held stays: an evacuation must not end by a fault of its writer.
  if (!std::exchange(is_unreadable_, is_unreadable) && is_unreadable)
    LogEvent(Event::kStoreEntryUnreadable, {{"key", form_.prefix}});
  if (!is_unreadable)
    read_(read);
}

void EvacuationReader::Watch(int64_t after) {
  const auto times = pace_.Watch(role_.is_alert(), random_);
  store_.Watch(form_.prefix, after, times.wait, times.patience,
               [this, after, watch = watch_.Begin()](const auto& news) {
                 if (watch_.End(watch))
                   OnWatched(after, news);
               });
}

void EvacuationReader::OnWatched(int64_t after,
                                 const base::Result<store::StoreNews>& news) {
  if (!news || news.value().history_lost) {
    ScheduleSoon();
    return;
  }
  const bool is_quiet =
      news.value().changed.empty() && news.value().removed == 0;
  if (is_quiet && role_.is_reader())
    Watch(std::max(after, news.value().as_of));
  else
    Read();
}

void EvacuationReader::EndRound(bool failed) {
  Schedule(
      pace_.Next(failed, role_.is_alone(), role_.lost_members() + 1, random_));
}

}  // namespace chestnutport::evacuation_store
