#include "routing/locality.h"

namespace chestnutport::routing {
namespace {

using std::chrono::microseconds;

constexpr microseconds kSameVmRoundTrip(50);
constexpr microseconds kSameDataCentreRoundTrip(200);
constexpr microseconds kSameRegionRoundTrip(2000);
constexpr microseconds kOtherRegionRoundTrip(30000);

}  // namespace

base::Duration Locality::RoundTripTo(const ServerCandidate& server) const {
  if (server.node == node)
    return kSameVmRoundTrip;
  if (server.data_centre == data_centre)
    return kSameDataCentreRoundTrip;
  return server.region == region ? kSameRegionRoundTrip : kOtherRegionRoundTrip;
}

}  // namespace chestnutport::routing
