#include "evacuation/local_evacuations.h"

namespace chestnutport::evacuation {

bool LocalEvacuations::OnStoreRead(const Evacuations& read) {
  if (read.as_of <= store_read_as_of_ || read.as_of <= current_.as_of)
    return false;
  store_read_as_of_ = read.as_of;
  // Announced only if something changed; otherwise each read would cause gossip
  // in the whole fleet.
  if (read.data_centres == current_.data_centres)
    return false;
  current_ = read;
  return true;
}

bool LocalEvacuations::OnPeerReport(const Evacuations& reported) {
  if (reported.as_of <= current_.as_of)
    return false;
  if (reported.as_of > store_read_as_of_) {
    current_ = reported;
    return true;
  }
  // The peer's evacuations are older than this node's last read of the store.
  current_.as_of = store_read_as_of_;
  return true;
}

}  // namespace chestnutport::evacuation
