// Telling other nodes which data centres are evacuated.
#include "membership/gossip.h"

namespace chestnutport::membership {

void Gossip::OnEvacuationsRead(base::Instant now,
                               const evacuation::Evacuations& read,
                               GossipOutput& output) {
  if (!left_ && evacuations_.OnStoreRead(read))
    TellEvacuations(now, output);
}

void Gossip::HearEvacuations(base::Instant now,
                             const evacuation::Evacuations& heard,
                             GossipOutput& output) {
  if (evacuations_.OnPeerReport(heard))
    TellEvacuations(now, output);
}

// Each node passes on what is new to it once; every later message repeats it.
void Gossip::TellEvacuations(base::Instant now, GossipOutput& output) {
  output.has_evacuations = true;
  budget_.IsOpen(now);
  FanOut(MakeMessage(MessageType::kNews, {}), budget_, output);
}

}  // namespace chestnutport::membership
