#include "fleet_configuration/configuration_confirmer.h"

#include <utility>

namespace chestnutport::fleet_configuration {

using configuration::ConfirmStep;

struct ConfigurationConfirmer::PendingConfirmation {
  configuration::ConfirmProcedure procedure;
  DoneHandler done;
};

ConfigurationConfirmer::ConfigurationConfirmer(
    net::EventLoop& loop,
    ConfigurationStore& store,
    const configuration::LocalConfiguration& local,
    ReportedRevisionSource reported_revision)
    : loop_(loop),
      store_(store),
      local_(local),
      reported_revision_(std::move(reported_revision)) {}

ConfigurationConfirmer::~ConfigurationConfirmer() = default;

void ConfigurationConfirmer::Start(configuration::ConfirmRequest request,
                                   DoneHandler done) {
  const uint64_t id = ++last_id_;
  configuration::ConfirmProcedure procedure(std::move(request),
                                            loop_.now() + kConfirmTimeout);
  const auto [at, added] = pending_.emplace(
      id, PendingConfirmation{std::move(procedure), std::move(done)});
  Dispatch(id, at->second.procedure.Start());
}

void ConfigurationConfirmer::Dispatch(uint64_t id, const ConfirmStep& step) {
  std::visit([&](const auto& typed) { Execute(id, typed); }, step);
}

void ConfigurationConfirmer::Execute(uint64_t id,
                                     const configuration::ReadHead& /*step*/) {
  store_.ReadHead(store::Freshness::kLatest, [this, id](const auto& stored) {
    Dispatch(id, pending_.at(id).procedure.OnHead(
                     loop_.now(), stored, local_.head(), reported_revision_()));
  });
}

void ConfigurationConfirmer::Execute(
    uint64_t id,
    const configuration::WriteDocuments& step) {
  store_.WriteDocuments(step.documents, [this, id](bool all_written) {
    Dispatch(id,
             pending_.at(id).procedure.OnDocuments(loop_.now(), all_written));
  });
}

void ConfigurationConfirmer::Execute(uint64_t id,
                                     const configuration::SwapHead& step) {
  store_.SwapHead(step, [this, id](const auto& swapped) {
    Dispatch(id, pending_.at(id).procedure.OnSwap(loop_.now(), swapped));
  });
}

void ConfigurationConfirmer::Execute(uint64_t id,
                                     const configuration::Backoff& step) {
  loop_.CallAfter(step.duration, [this, id] {
    Dispatch(id, pending_.at(id).procedure.OnBackoffElapsed());
  });
}

void ConfigurationConfirmer::Execute(uint64_t id,
                                     const configuration::Finish& step) {
  const DoneHandler done = std::move(pending_.at(id).done);
  pending_.erase(id);
  done(step);
}

}  // namespace chestnutport::fleet_configuration
