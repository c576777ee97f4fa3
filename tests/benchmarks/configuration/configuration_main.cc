// Measures the cost of maintaining and distributing a configuration.
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "configuration/figures.h"

ABSL_FLAG(std::string, results, "", "File for the results, as JSON.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  chestnutport::bench::FigureReport report;
  chestnutport::bench::AddCountedFigures(report);
  chestnutport::bench::AddProcessFigures(report);
  report.Print();
  if (!absl::GetFlag(FLAGS_results).empty())
    report.WriteFile(absl::GetFlag(FLAGS_results));
  return report.AllHold() ? 0 : 1;
}
