// Fetches newer configurations from peers by the control call
// configuration.fetch. Used on the control thread only.
#ifndef FLEET_CONFIGURATION_CONFIGURATION_FETCHER_H_
#define FLEET_CONFIGURATION_CONFIGURATION_FETCHER_H_

#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "configuration/fetch.h"
#include "configuration/fetch_scheduler.h"
#include "configuration/local_configuration.h"
#include "control_calls/control_caller.h"
#include "membership/member.h"
#include "net/event_loop.h"

namespace chestnutport::fleet_configuration {

// Fetches from peers that reported a newer revision, as selected by
// FetchScheduler. Also fetches from a random peer at intervals, so that a
// revision whose announcement was lost is only delayed.
class ConfigurationFetcher {
 public:
  using ApplyHandler = std::function<configuration::ApplyResult(
      base::NodeId from,
      const configuration::Head& head,
      const configuration::Documents&)>;

  // The references must outlive the fetcher.
  ConfigurationFetcher(net::EventLoop& loop,
                       control_calls::ControlCaller& caller,
                       const configuration::LocalConfiguration& local,
                       base::Random& random,
                       ApplyHandler apply);
  ~ConfigurationFetcher();

  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  void OnRevisionReported(uint64_t revision, const membership::Member& from);

  // Returns the greatest revision that any peer has reported.
  uint64_t GreatestReportedRevision() const {
    return scheduler_.GreatestReportedRevision();
  }

 private:
  void FetchFromAnyPeer();
  void FetchNewer();
  void Fetch(const membership::Member& member);
  void OnResponse(base::NodeId from,
                  base::Instant started_at,
                  const base::Result<std::string>& text);
  void Apply(base::NodeId from, const configuration::FetchResponse& response);
  void LogFailure(base::NodeId from, base::Instant started_at) const;

  net::EventLoop& loop_;
  control_calls::ControlCaller& caller_;
  const configuration::LocalConfiguration& local_;
  base::Random& random_;
  ApplyHandler apply_;
  configuration::FetchScheduler scheduler_;
  bool fetch_all_ = false;  // The last response was incomplete.
  base::Duration interval_;
  net::EventLoop::TimerId timer_ = 0;
  net::EventLoop::TimerId newer_timer_ = 0;
};

}  // namespace chestnutport::fleet_configuration

#endif  // FLEET_CONFIGURATION_CONFIGURATION_FETCHER_H_
