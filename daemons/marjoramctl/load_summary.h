//===- load_summary.h - Load of all targets, merged -------------*- C++ -*-===//
///
/// \file
/// Merges the load on the pages of several balancers into figures for each
/// service, zone and target. Pure functions without input or output.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_SUMMARY_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_SUMMARY_H

#include "load_page.h"

#include <array>
#include <map>

namespace marjoramrail::ctl {

/// Free slots are taken and released many times a second, so an older report
/// does not show how many are free now.
inline constexpr std::chrono::milliseconds MaxReportAge{2000};

/// Whether the last report is older than MaxReportAge, or there is none.
bool isStale(const agent_load &Load);

/// Requests at the target and waiting for it, in relation to its slots. 1 means
/// that all slots are busy and nothing waits.
double fullness(const agent_load &Load);

/// Number of requests that wait for the target; 0 if not known.
std::uint64_t waitingAt(const agent_load &Load);
/// The longest wait of any priority; zero if not known.
std::chrono::milliseconds longestWaitAt(const agent_load &Load);

/// Sums over several targets. Stale reports count for everything but free
/// slots, which may be in use by now.
struct load_figures {
  std::size_t Targets = 0;
  /// Targets at which balancers place new flows.
  std::size_t TakingFlows = 0;
  std::size_t Stale = 0;
  std::uint64_t Slots = 0;
  /// Sum of slots multiplied by their busy share in thousandths.
  std::uint64_t BusySlots = 0;
  std::uint64_t Flows = 0;
  /// Targets whose free slots are known.
  std::size_t Known = 0;
  /// Free slots of those of the known targets that take new flows.
  std::uint64_t FreeSlots = 0;
  std::array<std::uint64_t, ReportedPriorities> Waiting{};
  std::array<std::chrono::milliseconds, ReportedPriorities> Wait{};

  void add(const agent_load &Load);
  /// Share of the slots in use, 0 to 1.
  double busyShare() const;
  std::uint64_t waiting() const;
  std::chrono::milliseconds longestWait() const;
};

/// What one balancer rejects.
struct balancer_admission {
  std::string Balancer;
  admission_state State;
};

/// The targets of one service, and which of its new flows are rejected.
struct service_load {
  load_figures Total;
  std::map<std::string, load_figures> Zones;
  /// Balancers that state an admission of this service, in the order of the
  /// pages.
  std::vector<balancer_admission> Admission;

  /// Number of balancers that reject new flows.
  std::size_t rejecting() const;
  /// The most urgent priority that any balancer rejects.
  std::optional<std::uint8_t> rejectedFrom() const;
  /// The longest time for which a balancer has been rejecting.
  std::chrono::milliseconds rejectingSince() const;
  /// Flows rejected by all balancers since their start.
  std::uint64_t refused() const;
};

/// The merged load of all services.
struct load_summary {
  /// Number of pages that were merged.
  std::size_t Balancers = 0;
  std::set<std::string> EvacuatedZones;
  std::map<std::string, service_load> Services;
  /// All targets, the fullest first.
  std::vector<agent_load> Targets;
};

/// Merges \p Pages. If several pages name an agent, the entry with the newest
/// report counts; of equally old ones, that of the first page. If \p Service is
/// not empty, only this service is included.
load_summary summarizeLoad(const std::vector<load_page> &Pages,
                           const std::string &Service = "");

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_SUMMARY_H
