#include "server/own_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"

namespace chestnutport::server {
namespace {

using telemetry::Event;
using telemetry::LogEvent;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr char kPath[] = "/v1/server";
constexpr std::chrono::milliseconds kCheckInterval(250);
// An announcement is on its way for about as long: what it says of being cold
// may differ by so much from what was said before without being news.
constexpr std::chrono::milliseconds kColdTolerance(100);

// The part of the path behind the call's own; empty: there is none.
std::string_view InstanceIn(std::string_view target) {
  target.remove_prefix(sizeof(kPath) - 1);
  return target.starts_with('/') ? target.substr(1) : std::string_view();
}

}  // namespace

OwnServer::OwnServer(net::EventLoop& loop,
                     DeclaredTest is_declared,
                     ChangedHandler changed)
    : loop_(loop),
      is_declared_(std::move(is_declared)),
      changed_(std::move(changed)) {}

OwnServer::~OwnServer() {
  loop_.Cancel(timer_);
}

base::Result<bool> OwnServer::Listen(const base::SocketAddress& address) {
  auto opened = net::HttpServer::Open(
      loop_, address, net::HttpServerLimits{},
      [this](const net::HttpRequest& request, net::Reply reply) {
        OnRequest(request, std::move(reply));
      });
  if (!opened)
    return opened.error();
  listener_ = std::move(opened).value();
  CheckPresence();
  return true;
}

void OwnServer::Drain(DrainSource source) {
  drains_.insert(source);
  NoteDrains();
}

void OwnServer::Undrain(DrainSource source) {
  const bool has_ended = drains_.erase(source) > 0;
  if (has_ended && source == DrainSource::kEvacuation)
    ++state_.evacuations;
  NoteDrains();
}

void OwnServer::NoteDrains() {
  const bool draining = !drains_.empty();
  if (std::exchange(state_.draining, draining) == draining)
    return;
  if (draining)
    LogEvent(Event::kServerDraining, {{"service", state_.service}});
  changed_();
}

void OwnServer::OnRequest(const net::HttpRequest& request, net::Reply reply) {
  const std::string call = request.method + " " + request.target;
  if (call == absl::StrCat("POST ", kPath, "/drain")) {
    Drain(DrainSource::kServer);
  } else if (call == absl::StrCat("POST ", kPath, "/undrain")) {
    Undrain(DrainSource::kServer);
  } else if (request.method == "POST" && request.target.starts_with(kPath)) {
    if (!OnAnnounced(request, InstanceIn(request.target))) {
      reply.Send({.status = kBadRequest, .body = last_fault_ + "\n"});
      return;
    }
  } else if (request.method == "DELETE" && request.target.starts_with(kPath)) {
    if (!OnLeft(request, InstanceIn(request.target))) {
      reply.Send({.status = kBadRequest, .body = last_fault_ + "\n"});
      return;
    }
  } else {
    reply.Send({.status = kNotFound, .body = "no such call\n"});
    return;
  }
  reply.Send({.status = 200,
              .headers = {{"Content-Type", "application/json"}},
              .body = "{}\n"});
}

bool OwnServer::OnAnnounced(const net::HttpRequest& request,
                            std::string_view instance) {
  std::string fault;
  auto said = ServerAnnouncement::FromJson(request.body, &fault);
  if (said && !instance.empty())
    said->instance = instance;
  if (said)
    fault = FaultOf(*said);
  if (!fault.empty()) {
    LogFault(instance, fault);
    return false;
  }
  last_fault_.clear();
  if (!TakeUp(*said))
    LogEvent(Event::kAnnouncementLate, {{"instance", said->instance}});
  return true;
}

std::string OwnServer::FaultOf(const ServerAnnouncement& said) const {
  // A server may come before its service is declared, but takes no other's
  // place.
  const bool displaces = state_.announced && state_.service != said.service &&
                         is_declared_(state_.service);
  if (displaces && !is_declared_(said.service))
    return absl::StrCat("service ", said.service, " is not declared");
  return "";
}

void OwnServer::LogFault(std::string_view instance, const std::string& fault) {
  if (std::exchange(last_fault_, fault) == fault)
    return;
  LogEvent(Event::kAnnouncementRefused,
           {{"instance", std::string(instance)}, {"fault", fault}});
}

void OwnServer::OnFound(const ServerAnnouncement& found) {
  if (!state_.announced)
    TakeUp(found);
}

bool OwnServer::TakeUp(const ServerAnnouncement& said) {
  using Verdict = ServerIncarnations::Verdict;
  const base::Instant now = base::Clock::now();
  const bool is_overdue =
      !state_.announced || presence_.IsAnnouncementOverdue(now);
  const Verdict verdict = incarnations_.OnAnnounced(said, is_overdue);
  if (verdict == Verdict::kLate)
    return false;
  presence_.OnAnnounced(now);
  const bool has_started = verdict == Verdict::kStarted || !state_.announced ||
                           state_.address != said.address;
  const bool is_changed = has_started || state_.service != said.service ||
                          state_.admission.slots != said.slots ||
                          state_.health_path != said.health_path;
  state_.announced = true;
  state_.service = said.service;
  state_.address = said.address;
  state_.admission.slots = said.slots;
  state_.health_path = said.health_path;
  state_.instance = said.instance;
  if (has_started)
    NoteStart(said);
  const bool is_cold_new = NoteCold(said, now);
  if (said.draining)
    drains_.insert(DrainSource::kServer);
  if (is_changed || is_cold_new)
    changed_();
  NoteDrains();
  return true;
}

void OwnServer::NoteStart(const ServerAnnouncement& said) {
  ++state_.life;
  state_.cold_until = {};
  state_.cold_told_at = {};
  drains_.erase(DrainSource::kServer);
  const std::string started_at = absl::StrCat(said.started_at.count(), "ms");
  LogEvent(Event::kServerAnnounced, {{"service", state_.service},
                                     {"instance", state_.instance},
                                     {"started_at", started_at},
                                     {"address", state_.address.ToString()}});
}

bool OwnServer::NoteCold(const ServerAnnouncement& said, base::Instant now) {
  if (!said.cold_for)
    return false;
  const base::Instant before = std::max(state_.cold_until, now);
  state_.cold_told_at = now;
  state_.cold_until = now + *said.cold_for;
  const base::Duration shift = std::max(state_.cold_until, now) - before;
  return std::chrono::abs(shift) > kColdTolerance;
}

void OwnServer::OnColdReported(uint64_t life, base::Instant cold_until) {
  if (life != state_.life)
    return;
  const base::Instant now = base::Clock::now();
  state_.cold_told_at = now;
  state_.cold_until = cold_until;
  const bool is_cold = now < cold_until;
  if (std::exchange(told_cold_, is_cold) != is_cold)
    changed_();
}

bool OwnServer::OnLeft(const net::HttpRequest& request,
                       std::string_view instance) {
  const auto started_at = ReadStartedAt(request.body);
  if (!started_at) {
    LogFault(instance, "born");
    return false;
  }
  if (incarnations_.OnLeft(std::string(instance), *started_at))
    Withdraw();
  return true;
}

void OwnServer::Withdraw() {
  presence_.OnLeft();
  if (!std::exchange(state_.announced, false))
    return;
  LogEvent(Event::kServerWithdrawn, {{"service", state_.service}});
  changed_();
}

void OwnServer::CheckPresence() {
  if (state_.announced && !presence_.IsAlive(base::Clock::now()))
    Withdraw();
  timer_ = loop_.CallAfter(kCheckInterval, [this] { CheckPresence(); });
}

}  // namespace chestnutport::server
