//===- svg_chart.h - Charts as SVG text -------------------------*- C++ -*-===//
///
/// \file
/// Lines over the seconds of an experiment with marks for what was done to it,
/// and bars for the shares of hosts.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_REPORT_SVG_CHART_H
#define MARJORAMRAIL_REPORT_SVG_CHART_H

#include "marjoramrail/report.h"

namespace marjoramrail::internal {

/// One line of a chart: a value for each second.
struct chart_line {
  std::string Name;
  /// A colour of CSS.
  std::string Colour;
  std::vector<double> Values;
};

std::string lineChart(const std::vector<chart_line> &Lines,
                      const std::vector<report_mark> &Marks,
                      const std::string &Unit);

struct chart_bar {
  std::string Name;
  double Value = 0;
  /// Drawn pale: no part of the figure that the chart is about.
  bool Pale = false;
};

/// Bars beside their mean.
std::string barChart(const std::vector<chart_bar> &Bars);

/// \p Text with what HTML would take for markup replaced.
std::string escaped(std::string_view Text);

/// A number with at most three digits after the point that matter.
std::string shortNumber(double Value);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_REPORT_SVG_CHART_H
