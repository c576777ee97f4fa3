// Measures the cost of one choice by the number of candidates.
#ifndef DECISIONS_CHOICE_COST_H_
#define DECISIONS_CHOICE_COST_H_

#include "support/figure_report.h"

namespace chestnutport::bench {

// Adds the time in nanoseconds and the allocations per choice for 3, 15, 200
// and 3,000 servers, and the ratio of the greatest to the least time of the
// last three.
void AddChoiceCosts(FigureReport& report);

}  // namespace chestnutport::bench

#endif  // DECISIONS_CHOICE_COST_H_
