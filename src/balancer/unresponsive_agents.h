//===- unresponsive_agents.h - Agents to try last ---------------*- C++ -*-===//
///
/// \file
/// Agents to try last for a while. Without it a flow's packets go to its dead
/// owner until the fleet has declared that down, seconds later, and its caller
/// hears nothing; with it they reach an agent that tells the caller. An agent
/// that is silent in error costs its flows a detour at most.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_UNRESPONSIVE_AGENTS_H
#define MARJORAMRAIL_BALANCER_UNRESPONSIVE_AGENTS_H

#include "marjoramrail/routing.h"

namespace marjoramrail::internal {

class unresponsive_agents {
public:
  /// The sender repeats itself each second while the silence lasts; twice that
  /// outlives a lost notice.
  static constexpr duration EntryLifetime = std::chrono::seconds(2);
  /// A whole zone of the users' largest site may be silent at once; beyond it
  /// the fleet's word must do.
  static constexpr std::size_t MaxEntries = 256;

  void add(const endpoint &Agent, instant Now);

  /// Moves silent agents to the end of \p Owners.
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
