// The control call by which a node asks the allocator of rate limits how it has
// divided them, for operators.
#ifndef OPERATORS_ALLOCATION_REPORT_H_
#define OPERATORS_ALLOCATION_REPORT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limit_service/limit_report.h"
#include "limits/share_allocator.h"

namespace chestnutport::operators {

inline constexpr char kAllocationMethod[] = "limits.allocation";

// Returns the answer to the call; empty if this node is not the allocator.
std::string AllocationToJson(const limit_service::LimitReport& report);
std::optional<std::vector<limits::TenantAllocationView>> AllocationFromJson(
    std::string_view text);

}  // namespace chestnutport::operators

#endif  // OPERATORS_ALLOCATION_REPORT_H_
