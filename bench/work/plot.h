//===- plot.h - A sweep as CSV and SVG --------------------------*- C++ -*-===//
///
/// \file
/// Writes the measurements of one parameter sweep as a CSV table and an SVG
/// chart.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_WORK_PLOT_H
#define MARJORAMRAIL_BENCH_WORK_PLOT_H

#include <string>
#include <vector>

/// The two measures at one value of a threshold.
struct sweep_point {
  double Value = 0;
  double Left = 0;
  double Right = 0;
};

struct sweep_plot {
  std::string Name;
  std::string Axis;
  std::string LeftName;
  std::string RightName;
  /// The value used in the settings.
  double CurrentValue = 0;
  std::vector<sweep_point> Points;
};

std::string toCsv(const sweep_plot &Plot);
/// Draws the values at equal distances; each measure has its own scale from
/// zero.
std::string toSvg(const sweep_plot &Plot);

#endif // MARJORAMRAIL_BENCH_WORK_PLOT_H
