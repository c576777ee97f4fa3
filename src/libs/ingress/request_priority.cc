#include "ingress/request_priority.h"

#include <algorithm>
#include <string>

namespace chestnutport::ingress {
namespace {

using declarations::ClassDeclaration;
using declarations::ServiceDeclaration;

const ClassDeclaration* FindClass(const ServiceDeclaration& service,
                                  const std::string& name) {
  const auto found =
      std::ranges::find(service.classes, name, &ClassDeclaration::name);
  return found == service.classes.end() ? nullptr : &*found;
}

// Returns the class with this urgency, or else the next less urgent one, or
// else the least urgent one; null if there are no classes.
const ClassDeclaration* ClassForUrgency(const ServiceDeclaration& service,
                                        int urgency) {
  const ClassDeclaration* best = nullptr;
  for (const ClassDeclaration& candidate : service.classes) {
    if (!best) {
      best = &candidate;
      continue;
    }
    const bool is_enough = candidate.urgency >= urgency;
    const bool is_better = best->urgency >= urgency
                               ? is_enough && candidate.urgency < best->urgency
                               : candidate.urgency > best->urgency;
    if (is_better)
      best = &candidate;
  }
  return best;
}

}  // namespace

void SetPriority(const declarations::Configuration& configuration,
                 const std::optional<traffic::RunningRequest>& parent,
                 CallerRequest& request) {
  const ServiceDeclaration* service =
      configuration.FindService(request.service);
  const auto& account = request.tenant_account;
  if (!configuration.tenants.empty())
    request.work_kind = request.traffic_class;
  if (service && account && account->urgency) {
    if (const auto* found = ClassForUrgency(*service, *account->urgency))
      request.traffic_class = found->name;
  }
  if (!parent || account)
    return;
  const bool has_tenants = !configuration.tenants.empty();
  if (has_tenants)
    request.tenant = parent->tenant;
  if (!service)
    return;
  const auto* own = FindClass(*service, request.traffic_class);
  const auto* above = FindClass(*service, parent->traffic_class);
  const bool is_less_urgent = own && above && above->urgency > own->urgency;
  if (above && (has_tenants || is_less_urgent))
    request.traffic_class = above->name;
}

}  // namespace chestnutport::ingress
