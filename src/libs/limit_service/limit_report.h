// What a node knows of the division of the tenants' limits, for operators and
// metrics.
#ifndef LIMIT_SERVICE_LIMIT_REPORT_H_
#define LIMIT_SERVICE_LIMIT_REPORT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "limits/limit_messages.h"
#include "limits/share_allocator.h"

namespace chestnutport::limit_service {

struct LimitReport {
  std::optional<limits::AllocatorNotice> allocator;  // As known to this node.
  bool is_allocator = false;                         // This node is it.
  bool is_taking_over = false;
  // Only at the allocator.
  std::vector<limits::TenantAllocationView> allocation;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_LIMIT_REPORT_H_
