#include "node/settings_watcher.h"

#include <utility>

#include "settings/settings_file.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

using telemetry::Event;
using telemetry::LogEvent;

// Changes take effect within seconds, at the cost of reading a few kilobytes.
constexpr std::chrono::seconds kPollInterval(5);

}  // namespace

SettingsWatcher::SettingsWatcher(net::EventLoop& loop,
                                 std::string path,
                                 Handler handler)
    : loop_(loop), path_(std::move(path)), handler_(std::move(handler)) {}

SettingsWatcher::~SettingsWatcher() {
  loop_.Cancel(timer_);
}

void SettingsWatcher::Start() {
  if (path_.empty())
    return;
  text_ = settings::ReadSettingsText(path_).value_or("");
  SchedulePoll();
}

void SettingsWatcher::SchedulePoll() {
  timer_ = loop_.CallAfter(kPollInterval, [this] {
    Reload(false);
    SchedulePoll();
  });
}

void SettingsWatcher::Reload(bool is_requested) {
  if (path_.empty())
    return;
  const auto text = settings::ReadSettingsText(path_);
  if (!text) {
    LogEvent(Event::kSettingsInvalid, {{"problem", "the file is unreadable"}});
    return;
  }
  if (*text == text_) {
    if (is_requested)
      LogEvent(Event::kSettingsReloaded, {{"changed", "no"}});
    return;
  }
  text_ = *text;
  settings::Problems problems;
  const auto read = settings::ParseNodeSettings(path_, text_, problems);
  for (const settings::Problem& problem : problems)
    LogEvent(Event::kSettingsInvalid, {{"problem", problem.ToString()}});
  if (!problems.empty())
    return;
  LogEvent(Event::kSettingsReloaded, {{"changed", "yes"}});
  handler_(read);
}

}  // namespace chestnutport::node
