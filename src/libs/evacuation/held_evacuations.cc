#include "evacuation/held_evacuations.h"

namespace chestnutport::evacuation {

bool HeldEvacuations::Read(const Evacuations& read) {
  if (read.as_of <= read_as_of_ || read.as_of <= held_.as_of)
    return false;
  read_as_of_ = read.as_of;
  // Told only where it changes something: else each reading would go round the
  // fleet.
  if (read.data_centres == held_.data_centres)
    return false;
  held_ = read;
  return true;
}

bool HeldEvacuations::Hear(const Evacuations& heard) {
  if (heard.as_of <= held_.as_of)
    return false;
  if (heard.as_of > read_as_of_) {
    held_ = heard;
    return true;
  }
  // The other holds what ended before this node read the store.
  held_.as_of = read_as_of_;
  return true;
}

}  // namespace chestnutport::evacuation
