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

// State of several concurrent calls.
struct Batch {
  size_t outstanding = 0;
  bool failed = false;
  Documents documents;
};

}  // namespace

ConfigurationStore::ConfigurationStore(store::StoreClient& store,
                                       AnyConfigurationFormat format,
                                       const std::string& fleet)
    : store_(store), format_(std::move(format)), fleet_(fleet) {}

void ConfigurationStore::ReadHead(store::Freshness freshness,
                                  HeadHandler handler) {
  store_.ReadPage(format_.head_key, freshness,
                  [this, handler = std::move(handler)](
                      const base::Result<StorePage>& page) {
                    if (!page) {
                      handler(page.error());
                      return;
                    }
                    if (page.value().entries.empty()) {
                      handler(StoredHead{.as_of = page.value().as_of});
                      return;
                    }
                    auto stored = ParseEntry(page.value().entries.front());
                    if (stored)
                      stored.value().as_of = page.value().as_of;
                    handler(std::move(stored));
                  });
}

void ConfigurationStore::WatchHead(int64_t after,
                                   const configuration::WatchDurations& times,
                                   WatchHandler handler) {
  store_.Watch(format_.head_key, after, times.wait, times.grace,
               [this, handler = std::move(handler)](
                   const base::Result<store::StoreChanges>& changes) {
                 if (!changes || changes.value().changes_missed) {
                   handler(make_error_code(ErrorKind::kStoreUnavailable));
                   return;
                 }
                 WatchResult result{.as_of = changes.value().as_of};
                 for (const StoreEntry& entry : changes.value().changed) {
                   if (entry.key != format_.head_key)
                     continue;
                   auto stored = ParseEntry(entry);
                   if (!stored) {
                     handler(stored.error());
                     return;
                   }
                   result.head = std::move(stored).value();
                 }
                 handler(std::move(result));
               });
}

base::Result<StoredHead> ConfigurationStore::ParseEntry(
    const StoreEntry& entry) {
  auto parsed = format_.read_head(entry.value);
  if (!parsed) {
    LogEvent(Event::kConfigurationUnreadable, {{"key", entry.key}});
    return make_error_code(ErrorKind::kStoreUnavailable);
  }
  inline_documents_ = std::move(parsed->documents);
  return StoredHead{std::move(parsed->head), entry.revision};
}

void ConfigurationStore::ReadDocuments(const std::vector<std::string>& hashes,
                                       const DocumentsHandler& handler) {
  Documents known;
  for (const std::string& hash : hashes) {
    const auto found = inline_documents_.find(hash);
    if (found != inline_documents_.end())
      known.insert(*found);
  }
  if (known.size() == hashes.size()) {
    handler(std::move(known));
    return;
  }
  auto batch = std::make_shared<Batch>();
  batch->outstanding = hashes.size();
  for (const std::string& hash : hashes) {
    const std::string key = configuration::DocumentKey(fleet_, hash);
    store_.Read(key, [batch, hash, handler](auto entries) {
      if (!entries)
        batch->failed = true;
      else if (!entries.value().empty())
        batch->documents[hash] = entries.value()[0].value;
      if (--batch->outstanding > 0)
        return;
      if (batch->failed)
        handler(make_error_code(ErrorKind::kStoreUnavailable));
      else
        handler(std::move(batch->documents));
    });
  }
}

void ConfigurationStore::WriteDocuments(const Documents& documents,
                                        const WrittenHandler& handler) {
  if (documents.empty()) {
    handler(true);
    return;
  }
  auto batch = std::make_shared<Batch>();
  batch->outstanding = documents.size();
  for (const auto& [hash, text] : documents) {
    WriteDocument(hash, text, [batch, handler](bool written) {
      batch->failed = batch->failed || !written;
      if (--batch->outstanding == 0)
        handler(!batch->failed);
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
        // A failed comparison means that the document exists already.
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
  store_.CompareAndSwap(format_.head_key, swap.expected_store_revision,
                        swap.head.ToJson(), kNoLease, std::move(handler));
}

}  // namespace chestnutport::fleet_configuration
