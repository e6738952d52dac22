//===- svg_chart.h - Charts as SVG text -------------------------*- C++ -*-===//
///
/// \file
/// Line charts over the seconds of an experiment with marks for interventions,
/// and bar charts for the shares of hosts.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_REPORT_SVG_CHART_H
#define MARJORAMRAIL_REPORT_SVG_CHART_H

#include "marjoramrail/report.h"

namespace marjoramrail::internal {

/// One line of a chart with a value for each second.
struct chart_line {
  std::string Name;
  /// A CSS colour.
  std::string Colour;
  std::vector<double> Values;
};

std::string lineChart(const std::vector<chart_line> &Lines,
                      const std::vector<report_mark> &Marks,
                      const std::string &Unit);

struct chart_bar {
  std::string Name;
  double Value = 0;
  /// Drawn pale because it does not count in the figure that the chart shows.
  bool Pale = false;
};

/// A bar for each host and a line at the mean of the bars.
std::string barChart(const std::vector<chart_bar> &Bars);

/// \p Text with the characters escaped that HTML treats as markup.
std::string escaped(std::string_view Text);

/// Rounds \p Value to a whole number from 100, to one decimal from 10, and to
/// two decimals below.
std::string shortNumber(double Value);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_REPORT_SVG_CHART_H
