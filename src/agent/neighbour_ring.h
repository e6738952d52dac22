//===- neighbour_ring.h - Failure probing around a ring ---------*- C++ -*-===//
///
/// \file
/// Selects the agent that this agent probes, and the balancers to notify.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H
#define MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H

#include "marjoramrail/routing.h"

#include <map>
#include <optional>

namespace marjoramrail::internal {

/// Selects the neighbour that this agent probes, and the balancers to notify
/// when it may be dead.
///
/// Most flows are owned by the first agent in their packets' lists. When that
/// agent's VM dies, their packets are lost there and no other agent sees one.
/// Without regular probes, callers would wait until the fleet has declared the
/// host dead.
///
/// The agents of a service form a ring ordered by host number. Each is probed
/// by one other, so the cost does not grow with the service: ten probes and ten
/// acknowledgements of under 100 bytes a second.
class neighbour_ring {
public:
  /// A balancer that sent no packets for longer has no flows to lose, so it is
  /// not notified.
  static constexpr duration BalancerTimeout = std::chrono::seconds(10);
  /// The 12,000 balancers of the largest planned site, plus some that were
  /// replaced.
  static constexpr std::size_t MaxBalancers = 16384;
  static constexpr duration NotifyInterval = std::chrono::seconds(1);

  void applyView(const service_view &View, host_id Self);
  const std::optional<endpoint> &neighbour() const { return Neighbour; }

  void noteBalancer(const endpoint &Balancer, instant Now);

  /// The balancers to notify now. Empty if \p PossiblyDown is false or if they
  /// were notified within NotifyInterval.
  std::vector<endpoint> balancersToNotify(bool PossiblyDown, instant Now);

private:
  std::optional<endpoint> Neighbour;
  std::map<endpoint, instant> Balancers;
  std::optional<instant> LastNotified;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H
