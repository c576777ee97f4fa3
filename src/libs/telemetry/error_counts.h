// How often each error kind occurred.
#ifndef TELEMETRY_ERROR_COUNTS_H_
#define TELEMETRY_ERROR_COUNTS_H_

#include <cstdint>
#include <vector>

#include "base/error_kind.h"

namespace chestnutport::telemetry {

class ErrorCounts {
 public:
  ErrorCounts() : counts_(base::ErrorTable().size()) {}

  void Count(base::ErrorKind kind) { ++counts_[Place(kind)]; }
  uint64_t Of(base::ErrorKind kind) const { return counts_[Place(kind)]; }

 private:
  // The kinds are numbered from one, without gaps; a test holds them to it.
  static size_t Place(base::ErrorKind kind) {
    return static_cast<size_t>(kind) - 1;
  }

  std::vector<uint64_t> counts_;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_ERROR_COUNTS_H_
