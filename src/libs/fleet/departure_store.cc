#include "fleet/departure_store.h"

#include <algorithm>
#include <utility>

#include "fleet/departure_entry.h"
#include "telemetry/log.h"

namespace chestnutport::fleet {
namespace {

using std::chrono::milliseconds;

constexpr store::LeaseId kNoLease = 0;
constexpr milliseconds kMinRetryDelay(100);
// The server beside a node that starts gets no requests for this time at most
// if the store is silent.
constexpr milliseconds kMaxReadWait(500);

milliseconds WallClock() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

// A server that drains is not used either, so that its deregistration need not
// be stored as well.
bool Holds(const DepartureStore::Departures& departures,
           const base::ServerDeparture& wanted) {
  return std::ranges::any_of(departures, [&](const auto& departure) {
    return departure.instance == wanted.instance &&
           departure.started_at == wanted.started_at;
  });
}

}  // namespace

DepartureStore::DepartureStore(net::EventLoop& loop,
                               store::StoreClient& store,
                               base::Duration max_retry_delay,
                               Outputs outputs,
                               const base::Random& random)
    : loop_(loop),
      store_(store),
      max_retry_delay_(max_retry_delay),
      outputs_(std::move(outputs)),
      random_(random),
      retry_delay_(kMinRetryDelay) {}

DepartureStore::~DepartureStore() {
  loop_.Cancel(read_timer_);
  loop_.Cancel(read_wait_timer_);
  loop_.Cancel(write_timer_);
}

void DepartureStore::Start(std::string key, bool has_earlier_runs) {
  key_ = std::move(key);
  is_entry_known_ = !has_earlier_runs;
  if (!has_earlier_runs)
    return;
  read_wait_timer_ =
      loop_.CallAfter(kMaxReadWait, [this] { ReportReadFailure(); });
  Read();
}

void DepartureStore::Read() {
  read_timer_ = 0;
  store_.Read(
      key_, [this](const base::Result<std::vector<store::StoreEntry>>& read) {
        if (read) {
          is_entry_known_ = true;
          retry_delay_ = kMinRetryDelay;
          OnEntry(read.value());
          outputs_.read(stored_);
          Write();
          return;
        }
        ReportReadFailure();
        read_timer_ = loop_.CallAfter(NextRetryDelay(), [this] { Read(); });
      });
}

void DepartureStore::ReportReadFailure() {
  if (is_entry_known_ || std::exchange(is_read_failure_reported_, true))
    return;
  telemetry::LogEvent(telemetry::Event::kDeparturesUnknown, {{"key", key_}});
  outputs_.unavailable();
}

void DepartureStore::OnEntry(const std::vector<store::StoreEntry>& entries) {
  stored_.clear();
  revision_ = entries.empty() ? 0 : entries.front().revision;
  if (entries.empty())
    return;
  const auto entry = DepartureEntry::FromJson(entries.front().value);
  if (!entry) {
    telemetry::LogEvent(telemetry::Event::kStoreEntryUnreadable,
                        {{"key", key_}});
  } else if (!entry->IsOutdated(WallClock())) {
    stored_ = entry->departures;
  }
}

void DepartureStore::Keep(Departures departures) {
  wanted_ = std::move(departures);
  Write();
}

bool DepartureStore::IsStored() const {
  const bool holds_all = std::ranges::all_of(
      wanted_,
      [this](const auto& departure) { return Holds(stored_, departure); });
  const bool is_one_undone =
      std::ranges::any_of(stored_, [this](const auto& departure) {
        return !departure.has_left && !Holds(wanted_, departure);
      });
  return holds_all && !is_one_undone;
}

void DepartureStore::Write() {
  // What earlier runs were told must not be overwritten unread.
  if (!is_entry_known_ || is_writing_ || IsStored())
    return;
  is_writing_ = true;
  const std::string value = DepartureEntry{wanted_, WallClock()}.ToJson();
  store_.Write(key_, revision_, value, kNoLease,
               [this, written = wanted_](
                   const base::Result<std::optional<int64_t>>& revision) {
                 const bool is_written = revision && revision.value();
                 if (is_written) {
                   stored_ = written;
                   revision_ = *revision.value();
                   OnWritten();
                 } else if (revision) {
                   Reconcile();
                 } else {
                   write_timer_ = loop_.CallAfter(NextRetryDelay(),
                                                  [this] { Reconcile(); });
                 }
               });
}

void DepartureStore::OnWritten() {
  is_writing_ = false;
  retry_delay_ = kMinRetryDelay;
  if (IsStored())
    outputs_.stored();
  else
    Write();
}

void DepartureStore::Reconcile() {
  write_timer_ = 0;
  store_.Read(
      key_, [this](const base::Result<std::vector<store::StoreEntry>>& read) {
        if (!read) {
          write_timer_ =
              loop_.CallAfter(NextRetryDelay(), [this] { Reconcile(); });
          return;
        }
        OnEntry(read.value());
        OnWritten();
      });
}

base::Duration DepartureStore::NextRetryDelay() {
  const base::Duration delay = retry_delay_;
  retry_delay_ = std::min(2 * delay, max_retry_delay_);
  // Nodes that lost the store together do not ask it together.
  std::uniform_real_distribution<double> factor(0.5, 1);
  return std::chrono::duration_cast<base::Duration>(delay * factor(random_));
}

}  // namespace chestnutport::fleet
