//===- load_share.h - Limit on an agent's share of flows --------*- C++ -*-===//
///
/// \file
/// Decides whether an agent may accept one more flow.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H
#define MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H

#include "marjoramrail/routing.h"

#include <map>

namespace marjoramrail::internal {

/// Bounded load for consistent hashing: an agent accepts a new flow while it
/// owns less than its share of the service's flows. Otherwise it passes the SYN
/// to the flow's next choice.
///
/// It handles long-lived flows. Flows last for hours, so an uneven spread by
/// the hash, or the lack of flows on a restarted host, would last for hours
/// too: one host would answer late while another is idle.
///
/// Peers' flow counts come from reports that are up to a second old. When
/// thousands of flows arrive per second, outdated counts would make every agent
/// appear to be over its share. Each peer is therefore assumed to have grown
/// since its report by the number of flows offered to this agent, in proportion
/// to the weights, less the flows that ended here. This agent's own growth is
/// no substitute: an agent that accepts no flows does not grow, so it would
/// accept none until the next reports while the others take the whole burst.
class load_share {
public:
  /// Older reports are left out of the mean.
  static constexpr duration ReportLifetime = std::chrono::seconds(5);

  load_share(host_id Self, std::uint32_t MaxPercent)
      : Self(Self), MaxPercent(MaxPercent) {}

  void setMaxPercent(std::uint32_t Percent) { MaxPercent = Percent; }
  void applyView(const service_view &View);
  void report(host_id Host, std::uint32_t Flows, std::size_t OwnFlows,
              instant Now);
  /// Counts a new flow whose first choice is this agent.
  void noteOffered() { ++Offered; }
  void noteAccepted() { ++Accepted; }
  bool mayAccept(std::size_t OwnFlows, instant Now) const;

private:
  struct peer {
    double Flows = 0;
    /// The value of expectedGrowth() when the report was received.
    double GrowthAtReport = 0;
    instant ReceivedAt;
  };

  /// Flows offered minus flows ended, since the start.
  double expectedGrowth(std::size_t OwnFlows) const;

  host_id Self;
  std::uint32_t MaxPercent;
  std::uint64_t Offered = 0;
  std::uint64_t Accepted = 0;
  /// Weights of the members that accept new flows.
  std::map<host_id, double> Weights;
  std::map<host_id, peer> Peers;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H
