#include "fleet/seed_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "duties/seed_duty.h"
#include "telemetry/log.h"

namespace chestnutport::fleet {
namespace {

using duties::SeedSearch;
using nlohmann::json;

constexpr std::chrono::seconds kTimeToLive(15);
constexpr size_t kMaxContacts = 3;
// Limit on the unreadable entries that are logged, each once, since another
// writer may create many.
constexpr size_t kMaxLoggedUnreadable = 32;

struct Seed {
  std::string id;
  base::SocketAddress gossip_address;
};

std::optional<Seed> ReadSeed(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    const auto address = base::SocketAddress::Parse(object.value("gossip", ""));
    if (!address)
      return std::nullopt;
    return Seed{object.value("id", ""), *address};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

SeedManager::SeedManager(net::EventLoop& loop,
                         store::StoreClient& store,
                         const settings::NodeSettings& settings,
                         const base::Random& random)
    : loop_(loop),
      store_(store),
      prefix_(absl::StrCat("chestnutport/", settings.fleet, "/seeds/")),
      search_(store.CountsStaleReads(), settings.longest_store_wait),
      contacts_(settings.first_contacts),
      random_(random) {}

SeedManager::~SeedManager() {
  loop_.Cancel(timer_);
  loop_.Cancel(ping_timer_);
}

void SeedManager::Start(const membership::Member& self,
                        ContactHandler contact) {
  self_ = self;
  members_ = {self};
  contact_ = std::move(contact);
  for (base::SocketAddress& address : contacts_)
    address.port = self_.gossip_address.port;
  PingContacts();
  RunAfter(search_.FirstDelay(random_));
}

void SeedManager::PingContacts() {
  if (!IsAlone())
    return;
  for (const base::SocketAddress& address : contacts_)
    contact_(address);
  loop_.Cancel(ping_timer_);
  ping_timer_ =
      loop_.CallAfter(search_.NextPingInterval(), [this] { PingContacts(); });
}

void SeedManager::SetMembers(const std::vector<membership::Member>& members) {
  members_ = members;
}

void SeedManager::RunAfter(base::Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this] { Run(); });
}

void SeedManager::Run() {
  const bool has_duty = duties::SeedDuty(self_, members_).has_value();
  if (!has_duty)
    lease_ = 0;
  if (!IsAlone() && !has_duty) {
    RunAfter(search_.NextDelay(false, random_));
    return;
  }
  const SeedSearch::Listing listing = search_.NextListing(IsAlone(), random_);
  store_.ListPrefix(
      prefix_,
      listing == SeedSearch::Listing::kLatest ? store::Freshness::kLatest
                                              : store::Freshness::kMayBeStale,
      [this, listing](base::Result<std::vector<store::StoreEntry>> entries) {
        RunAfter(search_.NextDelay(IsAlone(), random_));
        if (entries)
          OnEntries(listing, std::move(entries).value());
      });
}

void SeedManager::ListNow() {
  if (contact_)
    RunAfter({});
}

void SeedManager::OnEntries(SeedSearch::Listing listing,
                            std::vector<store::StoreEntry> entries) {
  ExtractOtherEntries(entries);
  ContactUnknown(entries);
  const bool is_stale = listing == SeedSearch::Listing::kMayBeStale;
  if (IsAlone() && is_stale) {
    search_.OnStaleListing();
    was_alone_ = !entries.empty();
    if (!std::exchange(has_listed_, true) && entries.empty())
      RunAfter(search_.DelayAfterEmptyListing(random_));
    return;
  }
  const bool may_join_others = IsAlone() && !entries.empty() && !was_alone_;
  was_alone_ = IsAlone();
  if (may_join_others)
    return;
  if (const auto place = duties::SeedDuty(self_, members_))
    MaintainEntry(*place, entries);
}

void SeedManager::ExtractOtherEntries(std::vector<store::StoreEntry>& entries) {
  const auto others = std::stable_partition(
      entries.begin(), entries.end(),
      [this](const auto& entry) { return IsSeed(entry); });
  const bool maintains_first = duties::SeedDuty(self_, members_) == size_t{0};
  if (on_other_entries_)
    on_other_entries_({others, entries.end()}, maintains_first);
  entries.erase(others, entries.end());
}

// Seeds are one level further down, below their data centre.
bool SeedManager::IsSeed(const store::StoreEntry& entry) const {
  return entry.key.find('/', prefix_.size()) != std::string::npos;
}

void SeedManager::ContactUnknown(
    const std::vector<store::StoreEntry>& entries) {
  std::vector<Seed> unknown;
  for (const store::StoreEntry& entry : entries) {
    const auto seed = ReadSeed(entry.value);
    if (!seed)
      LogUnreadable(entry.key);
    const bool is_known =
        seed && std::ranges::any_of(members_, [&](const auto& member) {
          return member.id.ToString() == seed->id;
        });
    if (seed && !is_known)
      unknown.push_back(*seed);
  }
  std::ranges::shuffle(unknown, random_);
  unknown.resize(std::min(unknown.size(), kMaxContacts));
  if (!IsAlone()) {
    for (const Seed& seed : unknown)
      contact_(seed.gossip_address);
    return;
  }
  if (unknown.empty())
    return;
  contacts_.clear();
  for (const Seed& seed : unknown)
    contacts_.push_back(seed.gossip_address);
  search_.ResetPingInterval();
  PingContacts();
}

void SeedManager::LogUnreadable(const std::string& key) {
  const bool is_new = unreadable_.size() < kMaxLoggedUnreadable &&
                      unreadable_.insert(key).second;
  if (is_new)
    telemetry::LogEvent(telemetry::Event::kStoreEntryUnreadable,
                        {{"key", key}});
}

void SeedManager::MaintainEntry(size_t place,
                                const std::vector<store::StoreEntry>& entries) {
  const std::string key = absl::StrCat(prefix_, self_.data_centre, "/", place);
  const auto found = std::ranges::find(entries, key, &store::StoreEntry::key);
  const int64_t revision = found == entries.end() ? 0 : found->revision;
  const bool is_own = found != entries.end() && found->value == EntryText();
  if (lease_ == 0) {
    store_.GrantLease(kTimeToLive, [this, key, revision](auto lease) {
      if (!lease)
        return;
      lease_ = lease.value();
      WriteEntry(key, revision);
    });
  } else if (!is_own) {
    WriteEntry(key, revision);
  } else {
    store_.KeepAlive(lease_, [this](base::Result<bool> kept) {
      if (kept && !kept.value())
        lease_ = 0;
    });
  }
}

// A write that conflicts with that of another node, or whose response is lost,
// is repeated by the next run.
void SeedManager::WriteEntry(const std::string& key, int64_t revision) {
  store_.CompareAndSwap(key, revision, EntryText(), lease_,
                        [](base::Result<bool>) {});
}

std::string SeedManager::EntryText() const {
  return json{{"id", self_.id.ToString()},
              {"gossip", self_.gossip_address.ToString()}}
      .dump();
}

}  // namespace chestnutport::fleet
