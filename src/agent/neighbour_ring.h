//===- neighbour_ring.h - Failure probing around a ring ---------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H
#define MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H

#include "marjoramrail/routing.h"

#include <map>
#include <optional>

namespace marjoramrail::internal {

/// Whom this agent watches, and which balancers should hear of a doubt.
///
/// What goes wrong without it: most flows are owned by the first agent in their
/// packets' lists. When its VM dies their packets vanish there, no other agent
/// sees one, and callers wait until the fleet has declared the host down.
///
/// The agents of a service form a ring by number, so that each is watched by
/// one other at a cost that does not grow with the service: ten probes and ten
/// answers of under 100 bytes a second.
class neighbour_ring {
public:
  /// A balancer that sent nothing for longer has no flows to lose.
  static constexpr duration BalancerTimeout = std::chrono::seconds(10);
  /// Balancers of the target size, 12,000, and some that were replaced.
  static constexpr std::size_t MaxBalancers = 16384;
  static constexpr duration NotifyInterval = std::chrono::seconds(1);

  void takeView(const service_view &View, host_id Self);
  const std::optional<endpoint> &neighbour() const { return Neighbour; }

  void noteBalancer(const endpoint &Balancer, instant Now);

  /// The balancers to tell now; none while \p Doubted is false or they have
  /// just been told.
  std::vector<endpoint> balancersToNotify(bool PossiblyDown, instant Now);

private:
  std::optional<endpoint> Neighbour;
  std::map<endpoint, instant> Balancers;
  std::optional<instant> LastNotified;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_NEIGHBOUR_RING_H
