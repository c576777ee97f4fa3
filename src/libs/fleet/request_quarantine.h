// Holds what this node knows of requests that servers ran when they ended, and
// tells the traffic threads the verdicts. Runs on the control thread.
#ifndef FLEET_REQUEST_QUARANTINE_H_
#define FLEET_REQUEST_QUARANTINE_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/quarantine_filter.h"
#include "quarantine/server_crash.h"

namespace chestnutport::fleet {

// A request that is not free, as operators are shown it.
struct HeldRequest {
  quarantine::RequestEvidence evidence;
  quarantine::VerdictUntil verdict;
};

class RequestQuarantine {
 public:
  // Called after each change.
  using VerdictsHandler =
      std::function<void(const quarantine::SharedVerdicts&)>;
  // The ledger has something new on these requests, to be told to other nodes.
  using TellHandler =
      std::function<void(std::span<const base::RequestFingerprint>)>;

  // `loop` must outlive this object.
  RequestQuarantine(net::EventLoop& loop, VerdictsHandler publish);
  ~RequestQuarantine();

  quarantine::CrashLedger& ledger() { return ledger_; }
  const quarantine::CrashLedger& ledger() const { return ledger_; }

  // Set before anything is known.
  void OnTell(TellHandler tell) { tell_ = std::move(tell); }
  // The names in the lines of verdicts; all members, this node included.
  void SetMembers(std::span<const membership::Member> members);

  // This node's server ended.
  void OnServerCrash(const quarantine::ServerCrash& crash);
  // This node's server answered a request that is not free.
  void OnAnswered(base::RequestFingerprint fingerprint);
  // Other nodes told something new.
  void OnLearnt();
  // What the store holds.
  void Learn(std::span<const quarantine::RequestEvidence> stored);
  // By an operator's wish the request runs like any other again. Returns
  // whether it did not.
  bool Release(base::RequestFingerprint fingerprint, const std::string& who);

  // All that are not free; those in quarantine first.
  std::vector<HeldRequest> Held() const;
  // The node's name; its id if it is not known.
  std::string NameOf(base::NodeId node) const;
  // How many have this verdict.
  size_t CountOf(quarantine::Verdict verdict) const;

 private:
  // Refutes what is known against the request, and tells it. Returns whether
  // anything was known.
  bool Refute(base::RequestFingerprint fingerprint, const std::string& why);
  void Tick();
  // Publishes the verdicts, and logs each that changed. `why`: what may have
  // ended one.
  void Publish(const std::string& why);
  void LogPassed(base::RequestFingerprint fingerprint,
                 const quarantine::VerdictUntil& verdict) const;
  static void LogEnded(base::RequestFingerprint fingerprint,
                       const quarantine::VerdictUntil& verdict,
                       const std::string& why);
  // By which ends: node, life of its server, how long ago, how long the request
  // had run, and a mark if no other suspect ran there.
  std::string Describe(const quarantine::RequestEvidence& evidence) const;

  net::EventLoop& loop_;
  VerdictsHandler publish_;
  TellHandler tell_;
  quarantine::CrashLedger ledger_;
  quarantine::SharedVerdicts known_;  // As published.
  absl::flat_hash_map<base::NodeId, std::string> names_;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_REQUEST_QUARANTINE_H_
