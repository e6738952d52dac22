//===- evacuation_progress.h - How far evacuations have come ----*- C++ -*-===//
///
/// \file
/// Collects from the status pages of all balancers which of them know that a
/// zone is evacuated, how many agents there pass new flows on, and how many
/// flows are still open.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_EVACUATION_PROGRESS_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_EVACUATION_PROGRESS_H

#include "verb.h"

#include <map>

namespace marjoramrail::ctl {

/// The progress of one zone's evacuation.
struct zone_progress {
  /// Balancers that answered and know of the evacuation.
  std::size_t Balancers = 0;
  /// Agents of the zone, and those that have been told.
  std::size_t Agents = 0;
  std::size_t AgentsTold = 0;
  /// Open flows at targets of the zone.
  std::uint64_t Flows = 0;
  /// Since when the first balancer has known of it, in seconds.
  double Seconds = 0;
};

struct site_progress {
  /// Balancers in the store's registry, and those of them that answered.
  std::size_t Registered = 0;
  std::size_t Answered = 0;
  std::map<std::string, zone_progress> Zones;

  /// Whether every balancer and every agent of \p Zone obeys the evacuation.
  bool isComplete(const std::string &Zone) const;
  /// One line about \p Zone.
  std::string textOf(const std::string &Zone) const;
};

using progress_callback =
    std::function<void(const platform_reply &Registry, const site_progress &)>;

/// Reads the registry and the pages of all balancers in it. \p Registry is the
/// reply to reading it; if that failed, the progress is empty.
void collectProgress(ctl_context &Context, progress_callback Done);

/// The parts of status pages that collectProgress() uses, for tests: \p Pages
/// holds one page for each balancer that answered.
site_progress progressOf(std::size_t Registered,
                         const std::vector<std::string> &Pages);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_EVACUATION_PROGRESS_H
