//===- load_share.h - Whether an agent may accept one more flow -*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H
#define MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H

#include "marjoramrail/routing.h"

#include <map>

namespace marjoramrail::internal {

/// Bounded load for consistent hashing: an agent accepts a new flow while it
/// has less than a share of its service's flows, and hands the SYN on to the
/// flow's next choice otherwise.
///
/// The load pattern it answers: flows last for hours, so whatever the hash
/// spreads unevenly, and the hole that a restarted host leaves, stays for hours
/// too: one host answers late while another idles.
///
/// Counts come from reports up to a second old. While thousands of flows a
/// second come in, old counts would make everyone look over its share; so each
/// peer is taken to have grown meanwhile by as many flows as were offered to
/// us, weighed, less what ended here. Our own growth would not do for that: an
/// agent that refuses does not grow, so it would go on refusing until the next
/// reports while the others take all of a burst.
class load_share {
public:
  /// A peer that has not reported for longer says nothing about the mean.
  static constexpr duration ReportLifetime = std::chrono::seconds(5);

  load_share(host_id Self, std::uint32_t MaxPercent)
      : Self(Self), MaxPercent(MaxPercent) {}

  void setMaxPercent(std::uint32_t Percent) { MaxPercent = Percent; }
  void takeView(const service_view &View);
  void report(host_id Host, std::uint32_t Flows, std::size_t OwnFlows,
              instant Now);
  /// A new flow came whose first choice is this agent.
  void noteOffered() { ++Offered; }
  void noteAccepted() { ++Accepted; }
  bool mayAccept(std::size_t OwnFlows, instant Now) const;

private:
  struct peer {
    double Flows = 0;
    /// What expectedGrowth() counted when the report came.
    double GrowthAtReport = 0;
    instant ReceivedAt;
  };

  /// Flows offered less flows that have ended, since the start.
  double expectedGrowth(std::size_t OwnFlows) const;

  host_id Self;
  std::uint32_t MaxPercent;
  std::uint64_t Offered = 0;
  std::uint64_t Accepted = 0;
  /// Weights of the members that take new flows.
  std::map<host_id, double> Weights;
  std::map<host_id, peer> Peers;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H
