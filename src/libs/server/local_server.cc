#include "server/local_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "client_limits/listener_limits.h"
#include "telemetry/log.h"

namespace chestnutport::server {
namespace {

using telemetry::Event;
using telemetry::LogEvent;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr char kServerPath[] = "/v1/server";
constexpr char kInstance[] = "instance";
constexpr int64_t kFirstSequence = 1;
constexpr std::chrono::milliseconds kPresenceCheckInterval(250);
// Largest shift of the end of the cold phase that is not published as a change.
// Announcements take about this long to arrive, so that the end computed from
// each of them varies.
constexpr std::chrono::milliseconds kColdTolerance(100);

std::string ToText(std::chrono::milliseconds started_at) {
  return absl::StrCat(started_at.count(), "ms");
}

std::string_view SourceName(DrainSource source) {
  switch (source) {
    case DrainSource::kServer:
      return "server";
    case DrainSource::kOperator:
      return "operator";
    case DrainSource::kStop:
      return "stop";
    case DrainSource::kEvacuation:
      return "evacuation";
  }
  return "";
}

void LogLeave(const std::string& instance,
              std::chrono::milliseconds started_at,
              bool has_left,
              bool is_current) {
  LogEvent(Event::kLeaveReported, {{"instance", instance},
                                   {"started_at", ToText(started_at)},
                                   {"state", has_left ? "left" : "draining"},
                                   {"current", is_current ? "yes" : "no"}});
}

// Returns the path segment after kServerPath, or an empty string.
std::string_view InstanceFromTarget(std::string_view target) {
  target.remove_prefix(sizeof(kServerPath) - 1);
  return target.starts_with('/') ? target.substr(1) : std::string_view();
}

}  // namespace

LocalServer::LocalServer(net::EventLoop& loop,
                         AnnouncementRequirements requirements,
                         DeclaredPredicate is_declared,
                         ChangedHandler changed,
                         StoredPredicate are_departures_stored)
    : loop_(loop),
      requirements_(std::move(requirements)),
      is_declared_(std::move(is_declared)),
      changed_(std::move(changed)),
      are_departures_stored_(std::move(are_departures_stored)) {}

LocalServer::~LocalServer() {
  loop_.Cancel(timer_);
}

base::Result<bool> LocalServer::Listen(const base::SocketAddress& address) {
  auto opened = net::HttpServer::Open(
      loop_, address, client_limits::ListenerLimits::Small(),
      [this](const net::HttpRequest& request, net::Reply reply) {
        OnRequest(request, std::move(reply));
      });
  if (!opened)
    return opened.error();
  listener_ = std::move(opened).value();
  CheckPresence();
  return true;
}

void LocalServer::Drain(DrainSource source) {
  drain_sources_.insert(source);
  const bool is_departing =
      source == DrainSource::kServer && state_.announced &&
      departures_.OnTold({state_.instance, state_.started_at, false},
                         base::Clock::now());
  if (!UpdateDraining() && is_departing)
    changed_();
}

void LocalServer::Undrain(DrainSource source) {
  const bool has_ended = drain_sources_.erase(source) > 0;
  if (has_ended && source == DrainSource::kEvacuation)
    ++state_.evacuations;
  const bool stays =
      has_ended && source == DrainSource::kServer &&
      departures_.OnUndrained(state_.instance, state_.started_at);
  if (!UpdateDraining() && stays)
    changed_();
}

std::optional<base::ServerDeparture> LocalServer::departure() const {
  const base::ServerDeparture* current =
      state_.announced ? departures_.Find(state_.instance, state_.started_at)
                       : nullptr;
  return current ? std::optional(*current) : departures_.departure();
}

bool LocalServer::UpdateDraining() {
  const bool draining = !drain_sources_.empty();
  if (std::exchange(state_.draining, draining) == draining)
    return false;
  if (draining)
    LogDraining();
  changed_();
  return true;
}

void LocalServer::LogDraining() const {
  const std::string source(SourceName(*drain_sources_.begin()));
  LogEvent(Event::kServerDraining, {{"service", state_.service},
                                    {"instance", state_.instance},
                                    {"source", source}});
}

void LocalServer::OnRequest(const net::HttpRequest& request, net::Reply reply) {
  switch (Handle(request)) {
    case Outcome::kDone:
      AcknowledgementQueue::Acknowledge(std::move(reply));
      break;
    case Outcome::kDoneOnceStored:
      AcknowledgeOnceStored(std::move(reply));
      break;
    case Outcome::kInvalid:
      reply.Send({.status = kBadRequest, .body = last_fault_ + "\n"});
      break;
    case Outcome::kNoSuchCall:
      reply.Send({.status = kNotFound, .body = "no such call\n"});
      break;
  }
}

LocalServer::Outcome LocalServer::Handle(const net::HttpRequest& request) {
  const std::string call = request.method + " " + request.target;
  if (call == absl::StrCat("POST ", kServerPath, "/drain")) {
    Drain(DrainSource::kServer);
    return Outcome::kDoneOnceStored;
  }
  if (call == absl::StrCat("POST ", kServerPath, "/undrain")) {
    Undrain(DrainSource::kServer);
    return Outcome::kDoneOnceStored;
  }
  if (!request.target.starts_with(kServerPath))
    return Outcome::kNoSuchCall;
  if (request.method == "POST")
    return HandleAnnouncement(request, InstanceFromTarget(request.target));
  if (request.method == "DELETE")
    return HandleDeregistration(request, InstanceFromTarget(request.target));
  return Outcome::kNoSuchCall;
}

void LocalServer::AcknowledgeOnceStored(net::Reply reply) {
  if (are_departures_stored_())
    AcknowledgementQueue::Acknowledge(std::move(reply));
  else
    acknowledgements_.Add(std::move(reply), base::Clock::now());
}

LocalServer::Outcome LocalServer::HandleAnnouncement(
    const net::HttpRequest& request,
    std::string_view instance) {
  std::string fault;
  auto announcement = ServerAnnouncement::FromJson(request.body.ToString(),
                                                   requirements_, &fault);
  if (announcement && !instance.empty())
    announcement->instance = instance;
  if (announcement)
    fault = FindFault(*announcement);
  if (!fault.empty()) {
    LogFault(instance, fault);
    return Outcome::kInvalid;
  }
  last_fault_.clear();
  if (announcement->draining) {
    ApplyDrain(*announcement);
    return Outcome::kDoneOnceStored;
  }
  if (is_start_confirmed_) {
    if (!Apply(*announcement))
      LogLate(*announcement);
    return Outcome::kDone;
  }
  start_.OnAnnounced(*announcement, base::Clock::now());
  if (!ApplyConfirmed()) {
    LogEvent(Event::kAnnouncementUnconfirmed,
             {{"instance", announcement->instance}});
  }
  return Outcome::kDone;
}

// Believed without confirmation: a draining server gets no requests, so that
// nothing is lost.
void LocalServer::ApplyDrain(const ServerAnnouncement& announcement) {
  const bool is_applied = Apply(announcement);
  if (!is_applied) {
    LogLate(announcement);
    RecordIfReplaced(announcement);
  }
  LogLeave(announcement.instance, announcement.started_at, false, is_applied);
}

std::string LocalServer::FindFault(
    const ServerAnnouncement& announcement) const {
  if (requirements_.has_instance && announcement.instance.empty())
    return kInstance;
  if (is_declared_(announcement.service))
    return "";
  // A server may announce itself before its service is declared, but an
  // undeclared service does not replace a declared one.
  const bool displaces = state_.announced &&
                         state_.service != announcement.service &&
                         is_declared_(state_.service);
  const bool is_expected = requirements_.service.empty() ||
                           requirements_.service == announcement.service;
  if (displaces || !is_expected)
    return absl::StrCat("service ", announcement.service, " is not declared");
  return "";
}

void LocalServer::LogFault(std::string_view instance,
                           const std::string& fault) {
  if (std::exchange(last_fault_, fault) == fault)
    return;
  LogEvent(Event::kAnnouncementRefused,
           {{"instance", std::string(instance)}, {"fault", fault}});
}

void LocalServer::LogLate(const ServerAnnouncement& announcement) const {
  LogEvent(Event::kAnnouncementLate,
           {{"instance", announcement.instance},
            {"started_at", ToText(announcement.started_at)},
            {"sequence", absl::StrCat(announcement.sequence)},
            {"state", announcement.draining ? "draining" : "ready"},
            {"current", state_.instance}});
}

void LocalServer::OnDiscovered(const ServerAnnouncement& found) {
  if (state_.announced)
    return;
  if (is_start_confirmed_) {
    Apply(found);
    return;
  }
  start_.OnHealthChecked(found);
  ApplyConfirmed();
}

// The incarnation in use may have taken its place because of a delayed
// announcement.
void LocalServer::RecordIfReplaced(const ServerAnnouncement& announcement) {
  const bool is_leaving =
      announcement.draining && incarnations_.IsReplaced(announcement);
  const base::ServerDeparture departure{announcement.instance,
                                        announcement.started_at, false};
  if (is_leaving && departures_.OnTold(departure, base::Clock::now()))
    changed_();
}

bool LocalServer::ApplyConfirmed() {
  const auto confirmed = start_.Confirmed();
  if (!confirmed)
    return false;
  if (!Apply(*confirmed)) {
    LogLate(*confirmed);
    start_.OnRejected();
  }
  return true;
}

bool LocalServer::Apply(const ServerAnnouncement& announcement) {
  using Verdict = ServerIncarnationTracker::Verdict;
  const base::Instant now = base::Clock::now();
  if (departures_.IsEarlierStart(announcement.instance, announcement.started_at,
                                 now)) {
    return false;
  }
  const bool is_doubtful = !state_.announced || was_replaced_reported_ ||
                           presence_.IsAnnouncementOverdue(now);
  const Verdict verdict = incarnations_.OnAnnounced(announcement, is_doubtful);
  if (verdict == Verdict::kStale)
    return false;
  is_start_confirmed_ |= !announcement.draining;
  presence_.OnAnnounced(now);
  const bool has_started = verdict == Verdict::kNewIncarnation ||
                           !state_.announced ||
                           state_.address != announcement.address;
  const bool is_changed = has_started ||
                          state_.service != announcement.service ||
                          state_.admission.slots != announcement.slots ||
                          state_.health_path != announcement.health_path ||
                          state_.started_at != announcement.started_at;
  state_.announced = true;
  state_.service = announcement.service;
  state_.address = announcement.address;
  state_.admission.slots = announcement.slots;
  state_.health_path = announcement.health_path;
  state_.instance = announcement.instance;
  state_.started_at = announcement.started_at;
  if (has_started)
    OnNewIncarnation(announcement);
  const bool is_cold_new = UpdateColdUntil(announcement, now);
  const bool is_departing =
      announcement.draining &&
      departures_.OnTold(
          {announcement.instance, announcement.started_at, false}, now);
  if (announcement.draining)
    drain_sources_.insert(DrainSource::kServer);
  if (!UpdateDraining() && (is_changed || is_cold_new || is_departing))
    changed_();
  return true;
}

void LocalServer::OnNewIncarnation(const ServerAnnouncement& announcement) {
  ++state_.life;
  state_.cold_until = {};
  state_.cold_reported_at = {};
  drain_sources_.erase(DrainSource::kServer);
  if (departures_.OnUsed(state_.instance, state_.started_at))
    drain_sources_.insert(DrainSource::kServer);
  has_seen_start_ |= announcement.sequence == kFirstSequence;
  was_leaving_reported_ = false;
  was_replaced_reported_ = false;
  LogEvent(Event::kServerAnnounced,
           {{"service", state_.service},
            {"instance", state_.instance},
            {"started_at", ToText(announcement.started_at)},
            {"sequence", absl::StrCat(announcement.sequence)},
            {"address", state_.address.ToString()}});
}

bool LocalServer::UpdateColdUntil(const ServerAnnouncement& announcement,
                                  base::Instant now) {
  if (!announcement.cold_for)
    return false;
  const base::Instant previous = std::max(state_.cold_until, now);
  state_.cold_reported_at = now;
  state_.cold_until = now + *announcement.cold_for;
  const base::Duration shift = std::max(state_.cold_until, now) - previous;
  return std::chrono::abs(shift) > kColdTolerance;
}

void LocalServer::OnColdReported(uint64_t life, base::Instant cold_until) {
  if (life != state_.life)
    return;
  const base::Instant now = base::Clock::now();
  state_.cold_reported_at = now;
  state_.cold_until = cold_until;
  const bool is_cold = now < cold_until;
  if (std::exchange(was_cold_reported_, is_cold) != is_cold)
    changed_();
}

void LocalServer::OnLeavingReported(uint64_t life, bool is_leaving) {
  if (life != state_.life)
    return;
  if (is_leaving && !std::exchange(was_leaving_reported_, true))
    Drain(DrainSource::kServer);
  was_leaving_reported_ = is_leaving;
}

void LocalServer::OnReplacedReported(uint64_t life, bool is_replaced) {
  if (life == state_.life)
    was_replaced_reported_ = is_replaced;
}

LocalServer::Outcome LocalServer::HandleDeregistration(
    const net::HttpRequest& request,
    std::string_view instance) {
  if (requirements_.has_instance && instance.empty()) {
    LogFault(instance, kInstance);
    return Outcome::kInvalid;
  }
  const auto started_at = ReadStartedAt(request.body.ToString());
  if (!started_at) {
    LogFault(instance, "born");
    return Outcome::kInvalid;
  }
  base::ServerDeparture left{std::string(instance), *started_at, true};
  const bool is_current = incarnations_.OnLeft(left.instance, left.started_at);
  LogLeave(left.instance, left.started_at, true, is_current);
  if (is_current && state_.announced) {
    left.instance = state_.instance;
    left.started_at = std::max(left.started_at, state_.started_at);
  }
  const bool is_recorded =
      departures_.OnTold(std::move(left), base::Clock::now());
  const bool is_published = is_current && Withdraw("left");
  if (!is_published && is_recorded)
    changed_();
  return Outcome::kDoneOnceStored;
}

void LocalServer::AwaitDepartures() {
  start_.SetDepartures(StartConfirmation::Departures::kReading);
}

void LocalServer::OnDeparturesUnavailable() {
  start_.SetDepartures(StartConfirmation::Departures::kUnavailable);
  if (!is_start_confirmed_)
    ApplyConfirmed();
}

void LocalServer::OnDeparturesRead(
    const std::vector<base::ServerDeparture>& departures) {
  for (const base::ServerDeparture& departure : departures)
    OnDepartureInherited(departure);
  start_.SetDepartures(StartConfirmation::Departures::kKnown);
  if (!is_start_confirmed_)
    ApplyConfirmed();
}

void LocalServer::OnDepartureInherited(const base::ServerDeparture& departure) {
  const bool is_current =
      state_.announced &&
      (departure.IsOf(state_.instance, state_.started_at) ||
       departure.IsAfter(state_.instance, state_.started_at));
  if (departure.has_left)
    incarnations_.OnLeft(departure.instance, departure.started_at);
  const bool is_recorded =
      departures_.OnInherited(departure, is_current, base::Clock::now());
  if (is_recorded) {
    const std::string state = departure.has_left ? "left" : "draining";
    LogEvent(Event::kDepartureInherited,
             {{"instance", departure.instance},
              {"state", state},
              {"in_use", is_current ? "yes" : "no"}});
  }
  if (departure.has_left && is_current && Withdraw("left"))
    return;
  if (is_current && !departure.has_left)
    Drain(DrainSource::kServer);
  else if (is_recorded)
    changed_();
}

bool LocalServer::Withdraw(std::string_view reason) {
  presence_.OnLeft();
  if (!std::exchange(state_.announced, false))
    return false;
  LogEvent(Event::kServerWithdrawn, {{"service", state_.service},
                                     {"instance", state_.instance},
                                     {"reason", std::string(reason)}});
  changed_();
  return true;
}

void LocalServer::CheckPresence() {
  const base::Instant now = base::Clock::now();
  if (state_.announced && !presence_.IsAlive(now))
    Withdraw("silent");
  if (departures_.DropExpired(now))
    changed_();
  if (acknowledgements_.RejectExpired(now) > 0)
    LogEvent(Event::kLeaveNotStored, {{"instance", state_.instance}});
  timer_ = loop_.CallAfter(kPresenceCheckInterval, [this] { CheckPresence(); });
}

}  // namespace chestnutport::server
