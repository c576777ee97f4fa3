// Maintains this node's configuration: applies newer revisions from the store
// and from peers, and runs the confirmations of operators. Used on the control
// thread only.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_MANAGER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_MANAGER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "configuration/confirm_procedure.h"
#include "configuration/local_configuration.h"
#include "configuration/packed_document_cache.h"
#include "configuration/revision_lag.h"
#include "control_calls/control_caller.h"
#include "control_calls/control_listener.h"
#include "declarations/configuration.h"
#include "fleet_configuration/configuration_confirmer.h"
#include "fleet_configuration/configuration_fetcher.h"
#include "fleet_configuration/configuration_reader.h"
#include "fleet_configuration/configuration_store.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::fleet_configuration {

class ConfigurationManager {
 public:
  // Called with each revision that comes into force on this node.
  using ChangedHandler = std::function<void(uint64_t revision)>;
  // Called when a newer revision than the one in force becomes known, and again
  // when none is.
  using BehindHandler = std::function<void(bool is_behind)>;
  using ConfirmHandler = ConfigurationConfirmer::DoneHandler;

  // All but `format` and `random` must outlive the manager.
  ConfigurationManager(net::EventLoop& loop,
                       store::StoreClient& store,
                       control_calls::ControlListener& listener,
                       control_calls::ControlCaller& caller,
                       const AnyConfigurationFormat& format,
                       const settings::NodeSettings& settings,
                       ConfigurationReader::FleetCallbacks fleet,
                       base::Random random);
  ~ConfigurationManager();

  // `behind` is called after `changed`.
  void Start(ChangedHandler changed, BehindHandler behind);
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // Called when `from` has announced that it holds `revision`.
  void OnRevisionReported(uint64_t revision, const membership::Member& from);

  // Confirms a plan and calls `handler` with the outcome, which may be
  // kUnknown.
  void Confirm(const configuration::ConfirmRequest& request,
               ConfirmHandler handler);

  const declarations::Configuration& configuration() const {
    return *configuration_;
  }
  const declarations::SharedConfiguration& shared_configuration() const {
    return configuration_;
  }
  const configuration::LocalConfiguration& local() const { return local_; }
  bool is_reader() const { return reader_.is_reader(); }
  // Whether a newer revision than the one in force is known.
  bool IsBehind() const { return lag_.IsBehind(); }
  // Returns for how long a newer revision than the one in force has been known;
  // zero if none is.
  base::Duration Behind() const;
  // Returns the time since the last successful response of the store; nothing
  // if this node is not a reader or has not had a response yet. Exported as
  // chestnutport_store_word_age_seconds.
  std::optional<base::Duration> StoreStaleness() const;

 private:
  // Applies a newer configuration and puts it into force. `source` is logged.
  configuration::ApplyResult Apply(const configuration::Head& head,
                                   const configuration::Documents& documents,
                                   const std::string& source);
  void OnConfirmed(const configuration::ConfirmRequest& request,
                   const configuration::Finish& finish);
  // Calls the handler if IsBehind() has changed.
  void ReportBehind();
  void AddControlCalls(control_calls::ControlListener& listener);

  net::EventLoop& loop_;
  base::Random random_;
  configuration::LocalConfiguration local_;
  configuration::RevisionLag lag_;
  configuration::PackedDocumentCache packed_;
  // Parsed from `local_`.
  declarations::SharedConfiguration configuration_ =
      std::make_shared<const declarations::Configuration>();
  ChangedHandler changed_;
  BehindHandler behind_;
  bool was_behind_ = false;
  ConfigurationStore store_;
  ConfigurationReader reader_;
  ConfigurationFetcher fetcher_;
  ConfigurationConfirmer confirmer_;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_MANAGER_H_
