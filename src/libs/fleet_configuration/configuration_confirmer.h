// Runs confirmations against the store. Used on the control thread only.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_CONFIRMER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_CONFIRMER_H_

#include <cstdint>
#include <functional>
#include <map>

#include "configuration/confirm_procedure.h"
#include "configuration/local_configuration.h"
#include "fleet_configuration/configuration_store.h"
#include "net/event_loop.h"

namespace chestnutport::fleet_configuration {

class ConfigurationConfirmer {
 public:
  using DoneHandler = std::function<void(const configuration::Finish&)>;
  // Returns the greatest revision reported by any other node.
  using ReportedRevisionSource = std::function<uint64_t()>;

  // The references must outlive the confirmer.
  ConfigurationConfirmer(net::EventLoop& loop,
                         ConfigurationStore& store,
                         const configuration::LocalConfiguration& local,
                         ReportedRevisionSource reported_revision);
  ~ConfigurationConfirmer();

  // Starts a confirmation. `done` is called once, at the latest after
  // kConfirmTimeout and the duration of one more call to the store.
  void Start(configuration::ConfirmRequest request, DoneHandler done);

 private:
  struct PendingConfirmation;

  void Dispatch(uint64_t id, const configuration::ConfirmStep& step);
  void Execute(uint64_t id, const configuration::ReadHead& step);
  void Execute(uint64_t id, const configuration::WriteDocuments& step);
  void Execute(uint64_t id, const configuration::SwapHead& step);
  void Execute(uint64_t id, const configuration::Backoff& step);
  void Execute(uint64_t id, const configuration::Finish& step);

  net::EventLoop& loop_;
  ConfigurationStore& store_;
  const configuration::LocalConfiguration& local_;
  ReportedRevisionSource reported_revision_;
  uint64_t last_id_ = 0;
  std::map<uint64_t, PendingConfirmation> pending_;
};

// Time after which a confirmation is no longer retried.
inline constexpr base::Duration kConfirmTimeout = std::chrono::seconds(8);

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_CONFIRMER_H_
