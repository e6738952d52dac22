//===- load_page.h - The load on a balancer's status page -------*- C++ -*-===//
///
/// \file
/// Reads what a forwarding balancer's /status page says about the load of the
/// agents and about the new flows that it rejects.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PAGE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PAGE_H

#include "marjoramrail/agent_messages.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramrail::ctl {

/// The last report of one agent, as one balancer knows it.
struct agent_load {
  endpoint Agent;
  std::string Service;
  std::string Zone;
  bool Admitting = false;
  bool Suspect = false;
  bool Evacuated = false;
  std::uint64_t Flows = 0;
  /// Share of the slots in use, in thousandths.
  std::uint32_t Busy = 0;
  std::uint32_t Active = 0;
  std::uint32_t Slots = 0;
  /// Empty before the first report; the load is then unknown.
  std::optional<std::chrono::milliseconds> ReportAge;
  /// Empty for agents that schedule no requests or have sent no long report.
  std::optional<capacity_report> Capacity;

  /// Whether balancers place new flows at the agent.
  bool takesFlows() const { return Admitting && !Suspect && !Evacuated; }
};

/// Which new flows to a service one balancer rejects.
struct admission_state {
  std::string Service;
  /// The most urgent priority that is rejected; empty if none is.
  std::optional<std::uint8_t> FromPriority;
  /// How long this state has lasted.
  std::chrono::milliseconds Since{0};
  /// Number of flows rejected since the balancer's start.
  std::uint64_t Refused = 0;
};

/// One balancer's page.
struct load_page {
  std::string Balancer;
  std::vector<agent_load> Agents;
  std::vector<admission_state> Admission;
  std::set<std::string> EvacuatedZones;
  /// Number of malformed entries that were left out, and the reason of the
  /// first one.
  std::size_t LeftOut = 0;
  std::string FirstReason;
};

/// Parses a page of the balancer named \p Balancer. A malformed entry is left
/// out and counted; the page fails as a whole only if it has no list of agents.
result<load_page> parseLoadPage(std::string_view Text,
                                const std::string &Balancer);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_LOAD_PAGE_H
