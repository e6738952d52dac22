#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

/// Flows per second from the unit of flow_policy::WarmupRate.
static double flowsPerSecond(std::uint32_t WarmupRate) {
  constexpr double SecondsPerRateUnit = 1000;
  return WarmupRate / SecondsPerRateUnit;
}

/// Two guards keep new flows away from an evacuated zone: balancers do not
/// place them there, and agents there do not offer them to their targets. A
/// balancer that was restarted or unreachable may not know of an evacuation
/// yet; an agent that has been told passes its flows on to other zones, so that
/// no caller waits.
void forward_agent::impl::applyPolicy(const flow_policy &Changed, instant Now) {
  if (Changed.Service != Settings.Service)
    return;
  if (Changed.RoutesVersion > Policy.RoutesVersion) {
    Policy.RoutesVersion = Changed.RoutesVersion;
    Policy.WarmupRate = Changed.WarmupRate;
    WarmupLimit.setRate(flowsPerSecond(Changed.WarmupRate));
  }
  if (Changed.EvacuationsVersion <= Policy.EvacuationsVersion)
    return;
  Policy.EvacuationsVersion = Changed.EvacuationsVersion;
  if (std::exchange(Policy.Evacuated, Changed.Evacuated) == Changed.Evacuated)
    return;
  // The target may have been restarted during the evacuation, and may report
  // this only after new flows have arrived.
  IsWarmupUnknown = true;
  logEvent(event_kind::EvacuationsChanged,
           Changed.Evacuated ? "the zone is evacuated"
                             : "the evacuation of the zone has ended",
           {}, {});
  reportNow(Now);
}

bool forward_agent::impl::isWarmingUp(instant Now) const {
  return IsWarmupUnknown || Now < WarmUntil;
}

/// Balancers that place flows at a target that takes no more of them only delay
/// these flows, so they are told at once.
void forward_agent::impl::reportExhaustion(instant Now) {
  if (!std::exchange(ReportedExhausted, true))
    reportNow(Now);
}

} // namespace marjoramrail
