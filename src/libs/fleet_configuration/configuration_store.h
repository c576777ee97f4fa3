// Access to the configuration in the platform's store: one head, and documents
// under their hashes. Used on the control thread only.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_STORE_H_
#define FLEET_CONFIGURATION_CONFIGURATION_STORE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "configuration/confirm_procedure.h"
#include "configuration/documents.h"
#include "configuration/head.h"
#include "configuration/read_timing.h"
#include "fleet_configuration/configuration_format.h"
#include "store/store_client.h"

namespace chestnutport::fleet_configuration {

class ConfigurationStore {
 public:
  using HeadHandler =
      std::function<void(base::Result<configuration::StoredHead>)>;
  struct WatchResult {
    std::optional<configuration::StoredHead> head;
    int64_t as_of = 0;  // Where the next watch starts.
  };
  using WatchHandler = std::function<void(base::Result<WatchResult>)>;
  using DocumentsHandler =
      std::function<void(base::Result<configuration::Documents>)>;
  using WrittenHandler = std::function<void(bool all_written)>;
  using SwapHandler = std::function<void(base::Result<bool>)>;

  // `store` must outlive this object.
  ConfigurationStore(store::StoreClient& store,
                     AnyConfigurationFormat format,
                     const std::string& fleet);

  const AnyConfigurationFormat& format() const { return format_; }
  // Whether the store supports WatchHead().
  bool CanWatch() const { return store_.CanWatch(); }
  // Whether stale reads count towards the store's rate limit.
  bool CountsStaleReads() const { return store_.CountsStaleReads(); }
  // Waits up to `times.wait` for a change of the head after the store's
  // revision `after`. The result has no head if there was no change. The error
  // kStoreUnavailable is also returned if changes may have been missed.
  void WatchHead(int64_t after,
                 const configuration::WatchDurations& times,
                 WatchHandler handler);

  // Returns a head of revision zero if there is none. An entry that cannot be
  // parsed is an error, so that it is never overwritten.
  void ReadHead(store::Freshness freshness, HeadHandler handler);
  // Reads the documents with `hashes` that the store holds. Returns an error if
  // any read failed.
  void ReadDocuments(const std::vector<std::string>& hashes,
                     const DocumentsHandler& handler);
  // Writes those of `documents` that the store does not hold yet. The handler
  // receives false if any write failed.
  void WriteDocuments(const configuration::Documents& documents,
                      const WrittenHandler& handler);
  void SwapHead(const configuration::SwapHead& swap, SwapHandler handler);

 private:
  base::Result<configuration::StoredHead> ParseEntry(
      const store::StoreEntry& entry);
  void WriteDocument(const std::string& hash,
                     const std::string& text,
                     WrittenHandler handler);

  store::StoreClient& store_;
  AnyConfigurationFormat format_;
  std::string fleet_;
  // Documents embedded in the entry of the last head.
  configuration::Documents inline_documents_;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_STORE_H_
