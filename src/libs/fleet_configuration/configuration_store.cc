#include "fleet_configuration/configuration_store.h"

#include <memory>
#include <utility>

#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using base::ErrorKind;
using base::make_error_code;
using configuration::Documents;
using configuration::StoredHead;
using store::StoreEntry;
using store::StorePage;
using telemetry::Event;
using telemetry::LogEvent;

constexpr store::LeaseId kNoLease = 0;
constexpr int64_t kNoEntry = 0;

// What is gathered from several calls at once.
struct Reading {
  size_t outstanding = 0;
  bool failed = false;
  Documents documents;
};

}  // namespace

ConfigurationStore::ConfigurationStore(store::StoreClient& store,
                                       AnyConfigurationForm form,
                                       const std::string& fleet)
    : store_(store), form_(std::move(form)), fleet_(fleet) {}

void ConfigurationStore::ReadHead(HeadHandler handler) {
  store_.ReadPage(form_.head_key, [this, handler = std::move(handler)](
                                      const base::Result<StorePage>& page) {
    if (!page) {
      handler(page.error());
      return;
    }
    if (page.value().entries.empty()) {
      handler(StoredHead{.as_of = page.value().as_of});
      return;
    }
    auto stored = TakeEntry(page.value().entries.front());
    if (stored)
      stored.value().as_of = page.value().as_of;
    handler(std::move(stored));
  });
}

void ConfigurationStore::WatchHead(int64_t after,
                                   const configuration::WatchTimes& times,
                                   WatchHandler handler) {
  store_.Watch(form_.head_key, after, times.wait, times.patience,
               [this, handler = std::move(handler)](
                   const base::Result<store::StoreNews>& news) {
                 if (!news || news.value().history_lost) {
                   handler(make_error_code(ErrorKind::kStoreUnavailable));
                   return;
                 }
                 Watched watched{.as_of = news.value().as_of};
                 for (const StoreEntry& entry : news.value().changed) {
                   if (entry.key != form_.head_key)
                     continue;
                   auto stored = TakeEntry(entry);
                   if (!stored) {
                     handler(stored.error());
                     return;
                   }
                   watched.head = std::move(stored).value();
                 }
                 handler(std::move(watched));
               });
}

base::Result<StoredHead> ConfigurationStore::TakeEntry(
    const StoreEntry& entry) {
  auto published = form_.read_head(entry.value);
  if (!published) {
    LogEvent(Event::kConfigurationUnreadable, {{"key", entry.key}});
    return make_error_code(ErrorKind::kStoreUnavailable);
  }
  came_along_ = std::move(published->documents);
  return StoredHead{std::move(published->head), entry.revision};
}

void ConfigurationStore::ReadDocuments(const std::vector<std::string>& hashes,
                                       const DocumentsHandler& handler) {
  Documents known;
  for (const std::string& hash : hashes) {
    const auto found = came_along_.find(hash);
    if (found != came_along_.end())
      known.insert(*found);
  }
  if (known.size() == hashes.size()) {
    handler(std::move(known));
    return;
  }
  auto reading = std::make_shared<Reading>();
  reading->outstanding = hashes.size();
  for (const std::string& hash : hashes) {
    const std::string key = configuration::DocumentKey(fleet_, hash);
    store_.Read(key, [reading, hash, handler](auto entries) {
      if (!entries)
        reading->failed = true;
      else if (!entries.value().empty())
        reading->documents[hash] = entries.value()[0].value;
      if (--reading->outstanding > 0)
        return;
      if (reading->failed)
        handler(make_error_code(ErrorKind::kStoreUnavailable));
      else
        handler(std::move(reading->documents));
    });
  }
}

void ConfigurationStore::WriteDocuments(const Documents& documents,
                                        const WrittenHandler& handler) {
  if (documents.empty()) {
    handler(true);
    return;
  }
  auto writing = std::make_shared<Reading>();
  writing->outstanding = documents.size();
  for (const auto& [hash, text] : documents) {
    WriteDocument(hash, text, [writing, handler](bool written) {
      writing->failed = writing->failed || !written;
      if (--writing->outstanding == 0)
        handler(!writing->failed);
    });
  }
}

void ConfigurationStore::WriteDocument(const std::string& hash,
                                       const std::string& text,
                                       WrittenHandler handler) {
  const std::string key = configuration::DocumentKey(fleet_, hash);
  store_.CompareAndSwap(
      key, kNoEntry, text, kNoLease,
      [this, key, handler = std::move(handler)](base::Result<bool> written) {
        // A plain no means that it is there.
        if (written ||
            base::KindOf(written.error()) != ErrorKind::kStoreOutcomeUnknown) {
          handler(written.has_value());
          return;
        }
        store_.Read(key, [handler](const auto& entries) {
          handler(entries && !entries.value().empty());
        });
      });
}

void ConfigurationStore::SwapHead(const configuration::SwapHead& swap,
                                  SwapHandler handler) {
  store_.CompareAndSwap(form_.head_key, swap.expected_store_revision,
                        swap.head.ToJson(), kNoLease, std::move(handler));
}

}  // namespace chestnutport::fleet_configuration
