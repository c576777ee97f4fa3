// Takes the steps of confirmations against the store. Runs on the control
// thread.
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
  // The greatest revision that any node was heard to hold.
  using ReportedRevisionSource = std::function<uint64_t()>;

  // All must outlive the confirmer.
  ConfigurationConfirmer(net::EventLoop& loop,
                         ConfigurationStore& store,
                         const configuration::LocalConfiguration& local,
                         ReportedRevisionSource reported_revision);
  ~ConfigurationConfirmer();

  // `done` is called once, within kConfirmTimeout and one call to the store.
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

// How long a confirmation goes on trying.
inline constexpr base::Duration kConfirmTimeout = std::chrono::seconds(8);

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_CONFIRMER_H_
