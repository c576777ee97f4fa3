// SharedEvidence other nodes which data centres are evacuated.
#include "membership/gossip.h"

namespace chestnutport::membership {

void Gossip::OnEvacuationsRead(base::Instant now,
                               const evacuation::Evacuations& read,
                               GossipOutput& output) {
  if (!has_left_ && evacuations_.Read(read))
    AnnounceEvacuations(now, output);
}

void Gossip::MergeEvacuations(base::Instant now,
                              const evacuation::Evacuations& heard,
                              GossipOutput& output) {
  if (evacuations_.Hear(heard))
    AnnounceEvacuations(now, output);
}

// Each node passes on what is new to it once; every later message repeats it.
void Gossip::AnnounceEvacuations(base::Instant now, GossipOutput& output) {
  output.evacuations_changed = true;
  budget_.HasTokens(now);
  FanOut(MakeMessage(MessageType::kUpdate, {}), budget_, output);
}

}  // namespace chestnutport::membership
