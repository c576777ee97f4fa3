// Holds the evidence of this node on requests that were running when servers
// crashed, and publishes the verdicts to the traffic threads. Runs on the
// control thread.
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

// A request that is not free, as shown to operators.
struct RequestWithVerdict {
  quarantine::RequestEvidence evidence;
  quarantine::VerdictUntil verdict;
};

class RequestQuarantine {
 public:
  // Called after each change of the verdicts.
  using VerdictsHandler =
      std::function<void(const quarantine::SharedVerdicts&)>;
  // Called with requests on which the ledger has new evidence, to be announced
  // to other nodes.
  using AnnounceHandler =
      std::function<void(std::span<const base::RequestFingerprint>)>;

  // `loop` must outlive this object.
  RequestQuarantine(net::EventLoop& loop, VerdictsHandler publish);
  ~RequestQuarantine();

  quarantine::CrashLedger& ledger() { return ledger_; }
  const quarantine::CrashLedger& ledger() const { return ledger_; }

  // Must be set before any evidence is added.
  void OnAnnounce(AnnounceHandler announce) { announce_ = std::move(announce); }
  // Sets the names of nodes used in log lines. `members` are all members,
  // including this node.
  void SetMembers(std::span<const membership::Member> members);

  // Called when this node's server has crashed.
  void OnServerCrash(const quarantine::ServerCrash& crash);
  // Called when this node's server has answered a request that is not free.
  void OnAnswered(base::RequestFingerprint fingerprint);
  // Called when the ledger has received new evidence from other nodes.
  void OnEvidenceReceived();
  // Adds the evidence read from the store.
  void Learn(std::span<const quarantine::RequestEvidence> stored);
  // Frees the request at an operator's request. Returns whether there was
  // evidence against it.
  bool Release(base::RequestFingerprint fingerprint, const std::string& who);

  // Returns all requests that are not free, quarantined ones first.
  std::vector<RequestWithVerdict> RequestsWithVerdict() const;
  // Returns the name of the node, or its id if the name is not known.
  std::string NameOf(base::NodeId node) const;
  // Returns the number of requests with this verdict.
  size_t CountOf(quarantine::Verdict verdict) const;

 private:
  // Refutes all known crashes of the request and announces the refutations.
  // Returns whether there were any.
  bool Refute(base::RequestFingerprint fingerprint, const std::string& why);
  void Tick();
  // Publishes the verdicts and logs each change. `why` is logged as the reason
  // if a verdict has ended.
  void Publish(const std::string& why);
  void LogVerdict(base::RequestFingerprint fingerprint,
                  const quarantine::VerdictUntil& verdict) const;
  static void LogVerdictEnded(base::RequestFingerprint fingerprint,
                              const quarantine::VerdictUntil& verdict,
                              const std::string& why);
  // Lists the crashes: node, incarnation number of its server, age, run time of
  // the request, and "!" if it was the only suspect.
  std::string Describe(const quarantine::RequestEvidence& evidence) const;

  net::EventLoop& loop_;
  VerdictsHandler publish_;
  AnnounceHandler announce_;
  quarantine::CrashLedger ledger_;
  quarantine::SharedVerdicts known_;  // As published.
  absl::flat_hash_map<base::NodeId, std::string> names_;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_REQUEST_QUARANTINE_H_
