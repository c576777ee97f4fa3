// Paths of the peer listener for messages between nodes other than requests.
#ifndef TRAFFIC_PEER_PATHS_H_
#define TRAFFIC_PEER_PATHS_H_

namespace chestnutport::traffic {

// Path of the capacity inquiry, which checks whether a gate would admit a
// request, and the HTTP status of a positive answer.
inline constexpr char kCapacityInquiryPath[] = "/chestnutport/place";
inline constexpr int kCapacityAvailable = 204;

// RPC that queries or cancels an attempt.
inline constexpr char kSettlePath[] = "/chestnutport/settle";
inline constexpr char kSettleMethod[] = "attempt.settle";

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_PEER_PATHS_H_
