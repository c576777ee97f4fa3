#include "fleet_configuration/configuration_keeper.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "configuration/fetch.h"
#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::Adoption;
using configuration::ConfirmRequest;
using configuration::ConfirmVerdict;
using configuration::Documents;
using configuration::Finish;
using configuration::Head;
using telemetry::Event;
using telemetry::LogEvent;

constexpr char kFromStore[] = "store";
constexpr char kFromOperator[] = "operator";

}  // namespace

ConfigurationKeeper::ConfigurationKeeper(
    net::EventLoop& loop,
    store::StoreClient& store,
    control_calls::ControlListener& listener,
    control_calls::ControlCaller& caller,
    const AnyConfigurationForm& form,
    const settings::NodeSettings& settings,
    ConfigurationReader::FleetLink fleet,
    base::Random random)
    : loop_(loop),
      random_(random),
      store_(store, form, settings.fleet),
      reader_(loop,
              store_,
              held_,
              random_,
              settings.longest_store_wait,
              std::move(fleet),
              [this](const auto& head, const auto& documents) {
                lag_.OnHeard(head.revision, loop_.now());
                Offer(head, documents, kFromStore);
              }),
      fetcher_(
          loop,
          caller,
          held_,
          random_,
          [this](base::NodeId from, const auto& head, const auto& documents) {
            return Offer(head, documents, from.ToString());
          }),
      confirmer_(loop, store_, held_, [this] {
        return fetcher_.GreatestHeard();
      }) {
  AddControlCalls(listener);
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

void ConfigurationKeeper::Start(ChangedHandler changed) {
  changed_ = std::move(changed);
  reader_.Start();
  fetcher_.Start();
}

void ConfigurationKeeper::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  reader_.SetMembers(self, members);
  fetcher_.SetMembers(self, members);
}

void ConfigurationKeeper::OnRevisionHeard(uint64_t revision,
                                          const membership::Member& from) {
  lag_.OnHeard(revision, loop_.now());
  fetcher_.OnRevisionHeard(revision, from);
}

void ConfigurationKeeper::Confirm(const ConfirmRequest& request,
                                  ConfirmHandler handler) {
  confirmer_.Run(request, [this, request,
                           handler = std::move(handler)](const Finish& finish) {
    OnConfirmed(request, finish);
    handler(finish);
  });
}

void ConfigurationKeeper::OnConfirmed(const ConfirmRequest& request,
                                      const Finish& finish) {
  if (finish.verdict == ConfirmVerdict::kUnknown) {
    LogEvent(Event::kStoreOutcomeUnknown, {{"plan", request.plan_id}});
    return;
  }
  if (finish.verdict != ConfirmVerdict::kConfirmed)
    return;
  LogEvent(Event::kConfigurationConfirmed,
           {{"revision", absl::StrCat(finish.revision)},
            {"by", request.confirmed_by}});
  // Incomplete if others have confirmed since; the reader will see to it.
  Offer(finish.head, configuration::MakeDocuments(request.texts),
        kFromOperator);
}

Adoption ConfigurationKeeper::Offer(const Head& head,
                                    const Documents& documents,
                                    const std::string& source) {
  const Adoption adoption = held_.Offer(head, documents);
  if (adoption != Adoption::kAdopted)
    return adoption;
  auto texts =
      configuration::Assemble(held_.head().manifest, held_.documents());
  configuration_ = std::make_shared<const declarations::Configuration>(
      store_.form().parse(head.revision, *std::move(texts)));
  const base::Duration known_for =
      lag_.OnInForce(head.revision, base::Clock::now());
  LogEvent(Event::kConfigurationInForce,
           {{"revision", absl::StrCat(head.revision)},
            {"from", source},
            {"known_for", base::FormatDuration(known_for)}});
  changed_(head.revision);
  return adoption;
}

base::Duration ConfigurationKeeper::Behind() const {
  return lag_.Behind(loop_.now());
}

std::optional<base::Duration> ConfigurationKeeper::StoreWordAge() const {
  const auto heard_at = reader_.heard_at();
  if (!reader_.is_reader() || !heard_at)
    return std::nullopt;
  return loop_.now() - *heard_at;
}

void ConfigurationKeeper::AddControlCalls(
    control_calls::ControlListener& listener) {
  listener.Add(configuration::kFetchMethod, [this](const std::string& params) {
    const auto request = configuration::FetchRequest::FromJson(params);
    if (!request)
      return std::string();
    return configuration::AnswerFetch(*request, held_, packed_).ToJson();
  });
}

}  // namespace chestnutport::fleet_configuration
