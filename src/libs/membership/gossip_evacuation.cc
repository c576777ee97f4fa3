// Dissemination of the evacuated data centres.
#include "membership/gossip.h"

namespace chestnutport::membership {

void Gossip::OnEvacuationsRead(base::Instant now,
                               const evacuation::Evacuations& read,
                               GossipOutput& output) {
  if (!has_left_ && evacuations_.OnStoreRead(read))
    AnnounceEvacuations(now, output);
}

void Gossip::MergeEvacuations(base::Instant now,
                              const evacuation::Evacuations& received,
                              GossipOutput& output) {
  if (evacuations_.OnPeerReport(received))
    AnnounceEvacuations(now, output);
}

// Each node relays a change once; later messages carry the current state.
void Gossip::AnnounceEvacuations(base::Instant now, GossipOutput& output) {
  output.evacuations_changed = true;
  budget_.HasTokens(now);
  FanOut(MakeMessage(MessageType::kUpdate, {}), options_.fleet_fan_out, budget_,
         output);
}

}  // namespace chestnutport::membership
