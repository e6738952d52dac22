//===- load_printing.h - The merged load as text ----------------*- C++ -*-===//
///
/// \file
/// Formats a load_summary for a terminal and as JSON.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PRINTING_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PRINTING_H

#include "load_summary.h"

namespace marjoramrail::ctl {

/// The results of one round of fetching pages.
struct load_report_view {
  load_summary Load;
  /// Number of balancers whose pages were requested.
  std::size_t Asked = 0;
  /// Pages that could not be fetched or parsed, or of which entries were left
  /// out; the peer of each is the balancer's address.
  std::vector<failure> Faults;
};

/// Returns the lines of the screen with at most \p Limit targets.
std::vector<std::string> loadScreen(const load_report_view &View,
                                    std::size_t Limit);

/// Returns one line of JSON with all targets.
std::string loadJson(const load_report_view &View);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PRINTING_H
