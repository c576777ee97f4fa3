#include "node/seed_keeper.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "membership/seed_duty.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeToLive(15);
constexpr std::chrono::seconds kFirstBackoff(1);
constexpr std::chrono::seconds kLongestBackoff(30);
constexpr size_t kContacts = 3;
// Unreadable entries that are logged, each once: another writer may make many.
constexpr size_t kUnreadableKept = 32;
// The first reads take this part of the longest wait.
constexpr int kSpreadPart = 5;

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

SeedKeeper::SeedKeeper(net::EventLoop& loop,
                       store::StoreClient& store,
                       const settings::NodeSettings& settings,
                       const base::Random& random)
    : loop_(loop),
      store_(store),
      prefix_(absl::StrCat("chestnutport/", settings.fleet, "/seeds/")),
      longest_backoff_(std::min<base::Duration>(settings.longest_store_wait,
                                                kLongestBackoff)),
      first_contacts_(settings.first_contacts),
      random_(random),
      backoff_(std::min<base::Duration>(kFirstBackoff, longest_backoff_)) {}

SeedKeeper::~SeedKeeper() {
  loop_.Cancel(timer_);
}

void SeedKeeper::Start(const membership::Member& self, ContactHandler contact) {
  self_ = self;
  members_ = {self};
  contact_ = std::move(contact);
  for (const base::SocketAddress& address : first_contacts_)
    contact_({address.ip, self_.gossip_address.port});
  const std::chrono::duration<double> spread =
      std::min<base::Duration>(kStartSpread, longest_backoff_ / kSpreadPart);
  RunAfter(std::chrono::duration_cast<base::Duration>(
      spread * std::uniform_real_distribution<>(0, 1)(random_)));
}

void SeedKeeper::SetMembers(const std::vector<membership::Member>& members) {
  members_ = members;
}

void SeedKeeper::RunAfter(base::Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this] { Run(); });
}

void SeedKeeper::RunAgain() {
  const double part = std::uniform_real_distribution<>(0.5, 1.5)(random_);
  base::Duration delay = kDutyInterval;
  if (IsAlone()) {
    delay = backoff_;
    backoff_ = std::min<base::Duration>(2 * backoff_, longest_backoff_);
  } else {
    backoff_ = std::min<base::Duration>(kFirstBackoff, longest_backoff_);
  }
  RunAfter(std::chrono::duration_cast<base::Duration>(part * delay));
}

void SeedKeeper::Run() {
  const bool has_duty = membership::SeedDuty(self_, members_).has_value();
  if (!has_duty)
    lease_ = 0;
  if (!IsAlone() && !has_duty) {
    RunAgain();
    return;
  }
  // A node that is alone needs the entries of now; for a duty that comes round,
  // those of some seconds ago will do: a write checks the revision.
  const auto freshness =
      IsAlone() ? store::Freshness::kLatest : store::Freshness::kMayBeOld;
  store_.ListPrefix(
      prefix_, freshness,
      [this](base::Result<std::vector<store::StoreEntry>> entries) {
        if (entries)
          OnEntries(entries.value());
        RunAgain();
      });
}

void SeedKeeper::OnEntries(const std::vector<store::StoreEntry>& entries) {
  ContactUnknown(entries);
  const bool may_join_others = IsAlone() && !entries.empty() && !was_alone_;
  was_alone_ = IsAlone();
  if (may_join_others)
    return;
  if (const auto place = membership::SeedDuty(self_, members_))
    KeepEntry(*place, entries);
}

void SeedKeeper::ContactUnknown(const std::vector<store::StoreEntry>& entries) {
  std::vector<Seed> unknown;
  for (const store::StoreEntry& entry : entries) {
    const auto seed = ReadSeed(entry.value);
    if (!seed)
      NoteUnreadable(entry.key);
    const bool is_known =
        seed && std::ranges::any_of(members_, [&](const auto& member) {
          return member.id.ToString() == seed->id;
        });
    if (seed && !is_known)
      unknown.push_back(*seed);
  }
  std::ranges::shuffle(unknown, random_);
  unknown.resize(std::min(unknown.size(), kContacts));
  for (const Seed& seed : unknown)
    contact_(seed.gossip_address);
}

void SeedKeeper::NoteUnreadable(const std::string& key) {
  const bool is_new =
      unreadable_.size() < kUnreadableKept && unreadable_.insert(key).second;
  if (is_new)
    telemetry::LogEvent(telemetry::Event::kStoreEntryUnreadable,
                        {{"key", key}});
}

void SeedKeeper::KeepEntry(size_t place,
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

// A write that loses to another node's, or whose answer is lost, is made up
// for by the next run.
void SeedKeeper::WriteEntry(const std::string& key, int64_t revision) {
  store_.CompareAndSwap(key, revision, EntryText(), lease_,
                        [](base::Result<bool>) {});
}

std::string SeedKeeper::EntryText() const {
  return json{{"id", self_.id.ToString()},
              {"gossip", self_.gossip_address.ToString()}}
      .dump();
}

}  // namespace chestnutport::node
