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
/// peer is taken to have grown as much as we have since its report.
class load_share {
public:
  /// A peer that has not reported for longer says nothing about the mean.
  static constexpr duration ReportLife = std::chrono::seconds(5);

  load_share(host_id Self, std::uint32_t MaxPercent)
      : Self(Self), MaxPercent(MaxPercent) {}

  void setMaxPercent(std::uint32_t Percent) { MaxPercent = Percent; }
  void takeView(const service_view &View);
  void report(host_id Host, std::uint32_t Flows, std::size_t OwnFlows,
              instant Now);
  bool mayAccept(std::size_t OwnFlows, instant Now) const;

private:
  struct peer {
    double Flows = 0;
    double OwnThen = 0;
    instant At;
  };

  host_id Self;
  std::uint32_t MaxPercent;
  /// Weights of the members that take new flows.
  std::map<host_id, double> Weights;
  std::map<host_id, peer> Peers;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_LOAD_SHARE_H
