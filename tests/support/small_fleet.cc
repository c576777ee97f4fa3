#include "support/small_fleet.h"

#include <stdexcept>

namespace chestnutport::test {

SmallFleet::SmallFleet(const std::vector<std::string>& server_flags)
    : a(fleet.AddVm("a", "poa-a", "dossie", server_flags)),
      b(fleet.AddVm("b", "poa-a", "dossie", server_flags)),
      c(fleet.AddVm("c", "poa-b", "dossie", server_flags)),
      revision(fleet.Confirm(a, {{"dossie", kDossieDeclaration}})) {
  if (revision == 0 || !fleet.WaitAllReady(3, revision))
    throw std::runtime_error("the fleet is not ready");
}

Audit SmallFleet::RunWithFault(const LoadOptions& load,
                               const std::function<void()>& fault) {
  return RunWithFault(load, [&fault](Load&) { fault(); });
}

Audit SmallFleet::RunWithFault(const LoadOptions& load,
                               const std::function<void(Load&)>& fault) {
  Load callers(load, fleet.CallerAddresses());
  if (!callers.WaitForMore(calls))
    throw std::runtime_error("no traffic before the fault");
  fault(callers);
  if (!callers.WaitForMore(calls))
    throw std::runtime_error("no traffic after the fault");
  const auto records = callers.Stop();
  return Audit::Make(records, fleet.Ledger());
}

}  // namespace chestnutport::test
