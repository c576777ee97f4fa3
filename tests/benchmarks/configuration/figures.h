// Counted and timed figures of the configuration.
#ifndef CONFIGURATION_FIGURES_H_
#define CONFIGURATION_FIGURES_H_

#include "support/figure_report.h"

namespace chestnutport::bench {

// Adds the sizes of a head and of fetches, and the fleet's reads of the store
// in virtual time. These are deterministic.
void AddCountedFigures(FigureReport& report);

// Adds the time from a confirmation until all of several real nodes have it in
// force. These figures have no limits.
void AddProcessFigures(FigureReport& report);

}  // namespace chestnutport::bench

#endif  // CONFIGURATION_FIGURES_H_
