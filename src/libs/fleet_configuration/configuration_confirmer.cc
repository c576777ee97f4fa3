#include "fleet_configuration/configuration_confirmer.h"

#include <utility>

namespace chestnutport::fleet_configuration {

using configuration::ConfirmStep;

struct ConfigurationConfirmer::Running {
  configuration::ConfirmProcedure procedure;
  DoneHandler done;
};

ConfigurationConfirmer::ConfigurationConfirmer(
    net::EventLoop& loop,
    ConfigurationStore& store,
    const configuration::HeldConfiguration& held,
    HeardRevision heard)
    : loop_(loop), store_(store), held_(held), heard_(std::move(heard)) {}

ConfigurationConfirmer::~ConfigurationConfirmer() = default;

void ConfigurationConfirmer::Run(configuration::ConfirmRequest request,
                                 DoneHandler done) {
  const uint64_t id = ++last_id_;
  configuration::ConfirmProcedure procedure(std::move(request),
                                            loop_.now() + kConfirmBudget);
  const auto [at, added] =
      running_.emplace(id, Running{std::move(procedure), std::move(done)});
  Take(id, at->second.procedure.Start());
}

void ConfigurationConfirmer::Take(uint64_t id, const ConfirmStep& step) {
  std::visit([&](const auto& typed) { Act(id, typed); }, step);
}

void ConfigurationConfirmer::Act(uint64_t id,
                                 const configuration::ReadHead& /*step*/) {
  store_.ReadHead([this, id](const auto& stored) {
    Take(id, running_.at(id).procedure.OnHead(loop_.now(), stored, held_.head(),
                                              heard_()));
  });
}

void ConfigurationConfirmer::Act(uint64_t id,
                                 const configuration::WriteDocuments& step) {
  store_.WriteDocuments(step.documents, [this, id](bool all_written) {
    Take(id, running_.at(id).procedure.OnDocuments(loop_.now(), all_written));
  });
}

void ConfigurationConfirmer::Act(uint64_t id,
                                 const configuration::SwapHead& step) {
  store_.SwapHead(step, [this, id](const auto& swapped) {
    Take(id, running_.at(id).procedure.OnSwap(loop_.now(), swapped));
  });
}

void ConfigurationConfirmer::Act(uint64_t id,
                                 const configuration::Pause& step) {
  loop_.CallAfter(step.duration, [this, id] {
    Take(id, running_.at(id).procedure.OnPause());
  });
}

void ConfigurationConfirmer::Act(uint64_t id,
                                 const configuration::Finish& step) {
  const DoneHandler done = std::move(running_.at(id).done);
  running_.erase(id);
  done(step);
}

}  // namespace chestnutport::fleet_configuration
