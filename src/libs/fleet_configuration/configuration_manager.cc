#include "fleet_configuration/configuration_manager.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "configuration/fetch.h"
#include "telemetry/log.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::ApplyResult;
using configuration::ConfirmOutcome;
using configuration::ConfirmRequest;
using configuration::Documents;
using configuration::Finish;
using configuration::Head;
using telemetry::Event;
using telemetry::LogEvent;

constexpr char kFromStore[] = "store";
constexpr char kFromOperator[] = "operator";

}  // namespace

ConfigurationManager::ConfigurationManager(
    net::EventLoop& loop,
    store::StoreClient& store,
    control_calls::ControlListener& listener,
    control_calls::ControlCaller& caller,
    const AnyConfigurationFormat& format,
    const settings::NodeSettings& settings,
    ConfigurationReader::FleetCallbacks fleet,
    base::Random random)
    : loop_(loop),
      random_(random),
      store_(store, format, settings.fleet),
      reader_(loop,
              store_,
              local_,
              random_,
              settings.longest_store_wait,
              std::move(fleet),
              [this](const auto& head, const auto& documents) {
                lag_.OnRevisionReported(head.revision, loop_.now());
                Apply(head, documents, kFromStore);
                ReportBehind();
              }),
      fetcher_(
          loop,
          caller,
          local_,
          random_,
          [this](base::NodeId from, const auto& head, const auto& documents) {
            return Apply(head, documents, from.ToString());
          }),
      confirmer_(loop, store_, local_, [this] {
        return fetcher_.GreatestReportedRevision();
      }) {
  AddControlCalls(listener);
}

ConfigurationManager::~ConfigurationManager() = default;

void ConfigurationManager::Start(ChangedHandler changed, BehindHandler behind) {
  changed_ = std::move(changed);
  behind_ = std::move(behind);
  reader_.Start();
  fetcher_.Start();
}

void ConfigurationManager::SetMembers(
    const membership::Member& self,
    const std::vector<membership::Member>& members) {
  reader_.SetMembers(self, members);
  fetcher_.SetMembers(self, members);
}

void ConfigurationManager::OnRevisionReported(uint64_t revision,
                                              const membership::Member& from) {
  lag_.OnRevisionReported(revision, loop_.now());
  ReportBehind();
  fetcher_.OnRevisionReported(revision, from);
}

void ConfigurationManager::Confirm(const ConfirmRequest& request,
                                   ConfirmHandler handler) {
  confirmer_.Start(request, [this, request, handler = std::move(handler)](
                                const Finish& finish) {
    OnConfirmed(request, finish);
    handler(finish);
  });
}

void ConfigurationManager::OnConfirmed(const ConfirmRequest& request,
                                       const Finish& finish) {
  if (finish.outcome == ConfirmOutcome::kUnknown) {
    LogEvent(Event::kStoreOutcomeUnknown, {{"plan", request.plan_id}});
    return;
  }
  if (finish.outcome != ConfirmOutcome::kConfirmed)
    return;
  LogEvent(Event::kConfigurationConfirmed,
           {{"revision", absl::StrCat(finish.revision)},
            {"by", request.confirmed_by}});
  // Returns kIncomplete if other plans were confirmed since. In that case the
  // reader applies the configuration.
  Apply(finish.head, configuration::MakeDocuments(request.texts),
        kFromOperator);
}

ApplyResult ConfigurationManager::Apply(const Head& head,
                                        const Documents& documents,
                                        const std::string& source) {
  const ApplyResult result = local_.Apply(head, documents);
  if (result != ApplyResult::kApplied)
    return result;
  auto texts =
      configuration::Assemble(local_.head().manifest, local_.documents());
  configuration_ = std::make_shared<const declarations::Configuration>(
      store_.format().parse(head.revision, *std::move(texts)));
  const base::Duration known_for =
      lag_.OnInForce(head.revision, base::Clock::now());
  LogEvent(Event::kConfigurationInForce,
           {{"revision", absl::StrCat(head.revision)},
            {"from", source},
            {"known_for", base::FormatDuration(known_for)}});
  changed_(head.revision);
  ReportBehind();
  return result;
}

void ConfigurationManager::ReportBehind() {
  if (std::exchange(was_behind_, IsBehind()) != IsBehind())
    behind_(IsBehind());
}

base::Duration ConfigurationManager::Behind() const {
  return lag_.Behind(loop_.now());
}

std::optional<base::Duration> ConfigurationManager::StoreStaleness() const {
  const auto last_contact = reader_.last_store_contact();
  if (!reader_.is_reader() || !last_contact)
    return std::nullopt;
  return loop_.now() - *last_contact;
}

void ConfigurationManager::AddControlCalls(
    control_calls::ControlListener& listener) {
  listener.Add(configuration::kFetchMethod, [this](const std::string& params) {
    const auto request = configuration::FetchRequest::FromJson(params);
    if (!request)
      return std::string();
    return configuration::MakeFetchResponse(*request, local_, packed_).ToJson();
  });
}

}  // namespace chestnutport::fleet_configuration
