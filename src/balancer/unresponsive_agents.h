//===- unresponsive_agents.h - Agents to try last ---------------*- C++ -*-===//
///
/// \file
/// Agents that a peer reported as unresponsive and that are tried last for a
/// while. Otherwise a flow's packets would go to its dead owner until the fleet
/// declares it dead, seconds later, and the caller would get no response. With
/// this list they reach another agent, which resets the flow. A false report
/// costs the agent's flows at most a detour.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_UNRESPONSIVE_AGENTS_H
#define MARJORAMRAIL_BALANCER_UNRESPONSIVE_AGENTS_H

#include "marjoramrail/routing.h"

namespace marjoramrail::internal {

/// A bounded list of agents that were reported as unresponsive.
class unresponsive_agents {
public:
  /// The reporting agent repeats its notice each second while the agent does
  /// not respond. Twice that time bridges one lost notice.
  static constexpr duration EntryLifetime = std::chrono::seconds(2);
  /// Enough for a whole zone of the largest site to fail at once. Further
  /// agents are handled only once the fleet declares them dead.
  static constexpr std::size_t MaxEntries = 256;

  void add(const endpoint &Agent, instant Now);

  /// Moves unresponsive agents to the end of \p Owners.
  void demote(const service_router &Router, owner_list &Owners, instant Now);

private:
  struct entry {
    endpoint Agent;
    instant Until;
  };

  bool contains(const endpoint &Agent) const;

  std::vector<entry> Entries;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_BALANCER_UNRESPONSIVE_AGENTS_H
