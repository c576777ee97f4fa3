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
    HeardAt heard_at,
    OfferHandler offer)
    : loop_(loop),
      store_(store),
      held_(held),
      random_(random),
      fleet_heard_at_(std::move(heard_at)),
      offer_(std::move(offer)),
      pace_(longest_wait) {}

ConfigurationReader::~ConfigurationReader() {
  loop_.Cancel(timer_);
}

void ConfigurationReader::Start() {
  Schedule(pace_.First(random_));
}

void ConfigurationReader::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  if (role_.SetMembers(self, members) && watch_.GiveUp())
    Schedule(configuration::ReadPace::Again(random_));
}

void ConfigurationReader::Schedule(base::Duration wait) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(wait, [this] { CheckRole(); });
}

void ConfigurationReader::CheckRole() {
  contact_.Check(fleet_heard_at_(), loop_.now());
  if (Reads())
    Read();
  else
    EndRound(false);
}

void ConfigurationReader::Read() {
  store_.ReadHead([this](const auto& stored) { OnHead(stored); });
}

void ConfigurationReader::OnHead(const base::Result<StoredHead>& stored) {
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

void ConfigurationReader::Watch() {
  store_.WatchHead(as_of_, pace_.Watch(role_.is_alert(), random_),
                   [this, watch = watch_.Begin()](const auto& watched) {
                     if (watch_.End(watch))
                       OnWatched(watched);
                   });
}

void ConfigurationReader::OnWatched(
    const base::Result<ConfigurationStore::Watched>& watched) {
  contact_.Check(fleet_heard_at_(), loop_.now());
  if (!watched) {
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
  const auto missing =
      configuration::MissingDocuments(head.manifest, held_.documents());
  store_.ReadDocuments(missing, [this, head](auto documents) {
    if (documents)
      offer_(head, documents.value());
    if (documents)
      GoOn();
    else
      EndRound(true);
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

void ConfigurationReader::NoteStore(bool failed) {
  if (std::exchange(store_failed_, failed) == failed)
    return;
  LogEvent(failed ? Event::kStoreUnavailable : Event::kStoreBack,
           {{"for", "configuration"}});
}

void ConfigurationReader::EndRound(bool failed) {
  NoteStore(failed);
  const base::Duration wait = pace_.Next(failed, role_.is_alone(), random_);
  Schedule(Reads() ? wait : configuration::FleetContact::kCheckInterval);
}

}  // namespace chestnutport::fleet_configuration
