#include "agent/load_share.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail::internal {

static bool takesNewFlows(target_state State) {
  return State == target_state::Cold || State == target_state::Ready;
}

void load_share::applyView(const service_view &View) {
  Weights.clear();
  if (View.Generations.empty())
    return;
  for (const member &Member : View.Generations.front().Members)
    for (const target &Target : View.Targets)
      if (Target.Id == Member.Host && takesNewFlows(Target.State))
        Weights[Member.Host] = Member.Weight;
}

double load_share::expectedGrowth(std::size_t OwnFlows) const {
  const double Ended = double(Accepted) - double(OwnFlows);
  return double(Offered) - Ended;
}

void load_share::report(host_id Host, std::uint32_t Flows, std::size_t OwnFlows,
                        instant Now) {
  Peers[Host] = {double(Flows), expectedGrowth(OwnFlows), Now};
}

bool load_share::mayAccept(std::size_t OwnFlows, instant Now) const {
  const auto Own = Weights.find(Self);
  if (Own == Weights.end() || Own->second == 0)
    return Weights.empty();
  const double OwnWeight = Own->second;
  double TotalWeight = OwnWeight;
  double TotalFlows = double(OwnFlows);
  for (const auto &[Host, Peer] : Peers) {
    const auto Weight = Weights.find(Host);
    if (Weight == Weights.end() || Now - Peer.ReceivedAt > ReportLifetime)
      continue;
    const double Grown =
        (expectedGrowth(OwnFlows) - Peer.GrowthAtReport) / OwnWeight;
    TotalFlows += std::max(0.0, Peer.Flows + Grown * Weight->second);
    TotalWeight += Weight->second;
  }
  constexpr double Percent = 100;
  const double Share = (TotalFlows + 1) * OwnWeight / TotalWeight;
  return double(OwnFlows) < std::ceil(Share * MaxPercent / Percent);
}

} // namespace marjoramrail::internal
