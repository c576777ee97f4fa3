// The paths of what nodes send each other's gates beside requests, on the peer
// listener.
#ifndef TRAFFIC_PEER_PATHS_H_
#define TRAFFIC_PEER_PATHS_H_

namespace chestnutport::traffic {

// The question whether a gate has a place, and the status that says so.
inline constexpr char kCapacityInquiryPath[] = "/chestnutport/place";
inline constexpr int kCapacityAvailable = 204;

// The question what became of an attempt.
inline constexpr char kSettlePath[] = "/chestnutport/settle";
inline constexpr char kSettleMethod[] = "attempt.settle";

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_PEER_PATHS_H_
