// Measures the cost and the speed of the product's gossip by size of the fleet.
#ifndef CONTROL_GOSSIP_SCENARIOS_H_
#define CONTROL_GOSSIP_SCENARIOS_H_

#include <cstddef>

#include "support/figure_report.h"

namespace chestnutport::bench {

// For any size: idle traffic, failures, drains, revisions and packet loss.
void MeasureRest(FigureReport& report, size_t members);
void MeasureSpread(FigureReport& report, size_t members);
void MeasureLoss(FigureReport& report, size_t members, double loss);
void MeasureMemory(FigureReport& report, size_t members);
// For the target size: large failures and mass changes.
void MeasureUpgrade(FigureReport& report, size_t members);
void MeasureRack(FigureReport& report, size_t members);
void MeasureDataCentre(FigureReport& report, size_t members);
void MeasureRegions(FigureReport& report, size_t members);
void MeasureMassStart(FigureReport& report, size_t members);

}  // namespace chestnutport::bench

#endif  // CONTROL_GOSSIP_SCENARIOS_H_
