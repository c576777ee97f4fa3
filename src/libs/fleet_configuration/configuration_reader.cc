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
    const configuration::HeldConfiguration& held,
    base::Random& random,
    base::Duration longest_wait,
    FleetLink fleet,
    OfferHandler offer)
    : loop_(loop),
      store_(store),
      held_(held),
      random_(random),
      fleet_(std::move(fleet)),
      offer_(std::move(offer)),
      pace_(longest_wait) {}

ConfigurationReader::~ConfigurationReader() {
  loop_.Cancel(timer_);
  loop_.Cancel(patience_timer_);
}

void ConfigurationReader::Start() {
  Schedule(pace_.First(random_));
}

void ConfigurationReader::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  using configuration::ReadSoon;
  const ReadSoon reason = role_.SetMembers(self, members);
  // A store that serves nobody is not asked each time that one more finds out.
  const bool knows =
      has_lost_store_ && reason == ReadSoon::kAlertReaderLostStore;
  if (reason == ReadSoon::kNo || knows || is_reading_)
    return;
  watch_.GiveUp();
  reads_once_ = true;
  Schedule(configuration::ReadPace::Again(random_));
}

void ConfigurationReader::Schedule(base::Duration wait) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(wait, [this] { CheckRole(); });
}

void ConfigurationReader::CheckRole() {
  contact_.Check(fleet_.heard_at(), loop_.now());
  if (std::exchange(reads_once_, false) || Reads()) {
    Read();
    return;
  }
  ForgetStore();
  Schedule(configuration::FleetContact::kCheckInterval);
}

void ConfigurationReader::Read() {
  is_reading_ = true;
  patience_timer_ = loop_.CallAfter(configuration::kReadPatience, [this] {
    patience_timer_ = 0;
    NoteStore(true);
  });
  store_.ReadHead([this](const auto& stored) { OnHead(stored); });
}

void ConfigurationReader::OnHead(const base::Result<StoredHead>& stored) {
  loop_.Cancel(std::exchange(patience_timer_, 0));
  if (!stored) {
    EndRound(true);
    return;
  }
  heard_at_ = loop_.now();
  as_of_ = stored.value().as_of;
  const Head& head = stored.value().head;
  if (head.revision > held_.head().revision) {
    ReadDocuments(head);
    return;
  }
  // Where operators write the head, what is held is never put in its place.
  const auto repaired = store_.form().is_written
                            ? configuration::RepairStore(head, held_.head())
                            : std::nullopt;
  if (repaired)
    Repair(stored.value(), *repaired);
  else
    GoOn();
}

void ConfigurationReader::GoOn() {
  // After a start each node takes itself for a reader until it knows the fleet.
  const bool is_settled = std::exchange(has_read_, true);
  if (is_settled && Reads() && as_of_ > 0 && store_.CanWatch()) {
    NoteStore(false);
    Watch();
    return;
  }
  EndRound(false);
}

void ConfigurationReader::GoOnAfterChange() {
  if (role_.is_alert() || !has_read_) {
    GoOn();
    return;
  }
  is_reading_ = false;
  NoteStore(false);
  loop_.Cancel(timer_);
  timer_ =
      loop_.CallAfter(configuration::kPauseAfterChange, [this] { GoOn(); });
}

void ConfigurationReader::Watch() {
  is_reading_ = false;
  const auto times = pace_.Watch(role_.is_alert(), random_);
  watch_due_ = loop_.now() + times.wait + times.patience;
  store_.WatchHead(as_of_, times,
                   [this, watch = watch_.Begin()](const auto& watched) {
                     if (watch_.End(watch))
                       OnWatched(watched);
                   });
}

void ConfigurationReader::OnWatched(
    const base::Result<ConfigurationStore::Watched>& watched) {
  contact_.Check(fleet_.heard_at(), loop_.now());
  if (!watched) {
    const bool is_silent = loop_.now() >= watch_due_;
    if (is_silent)
      NoteStore(true);
    // Changes may have been missed: what lies there is read.
    Schedule(configuration::ReadPace::Again(random_));
    return;
  }
  heard_at_ = loop_.now();
  as_of_ = std::max(as_of_, watched.value().as_of);
  if (watched.value().head &&
      watched.value().head->head.revision > held_.head().revision) {
    ReadDocuments(watched.value().head->head);
    return;
  }
  GoOn();
}

void ConfigurationReader::ReadDocuments(const Head& head) {
  is_reading_ = true;
  const auto missing =
      configuration::MissingDocuments(head.manifest, held_.documents());
  store_.ReadDocuments(missing, [this, head](auto documents) {
    if (!documents) {
      EndRound(true);
      return;
    }
    offer_(head, documents.value());
    GoOnAfterChange();
  });
}

void ConfigurationReader::Repair(const StoredHead& stored,
                                 const Head& repaired) {
  Documents documents;
  for (const auto& [service, hash] : repaired.manifest) {
    const auto found = held_.documents().find(hash);
    if (found != held_.documents().end())
      documents[hash] = found->second;
  }
  const configuration::SwapHead swap{stored.store_revision, repaired};
  const uint64_t found_revision = stored.head.revision;
  // Also those that the stored head names: a copy may lack any of them.
  store_.WriteDocuments(documents, [this, swap, found_revision](bool written) {
    if (!written) {
      EndRound(true);
      return;
    }
    store_.SwapHead(swap, [this, swap, found_revision](auto swapped) {
      if (swapped && swapped.value()) {
        LogEvent(Event::kStoreRepaired,
                 {{"found", absl::StrCat(found_revision)},
                  {"revision", absl::StrCat(swap.head.revision)}});
      }
      EndRound(!swapped);
    });
  });
}

void ConfigurationReader::NoteStore(bool has_lost) {
  if (std::exchange(has_lost_store_, has_lost) == has_lost)
    return;
  LogEvent(has_lost ? Event::kStoreUnavailable : Event::kStoreBack,
           {{"for", "configuration"}});
  fleet_.tell_store_lost(has_lost);
}

void ConfigurationReader::ForgetStore() {
  if (std::exchange(has_lost_store_, false))
    fleet_.tell_store_lost(false);
}

void ConfigurationReader::EndRound(bool failed) {
  is_reading_ = false;
  NoteStore(failed);
  const base::Duration wait =
      pace_.Next(failed, role_.is_alone(), role_.lost_members() + 1, random_);
  Schedule(Reads() ? wait : configuration::FleetContact::kCheckInterval);
}

}  // namespace chestnutport::fleet_configuration
