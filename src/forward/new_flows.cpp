#include "forward/forward_balancer_impl.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail {

using namespace internal;

static constexpr std::string_view NoTargetAdmits = "no target admits";

/// Whether the operators' configuration lets the agent's target have new flows.
bool forward_balancer::impl::mayPlaceAt(const route_state &Route,
                                        const agent_state &Agent) const {
  return !Agent.Draining && !AgentTable.isEvacuated(Agent) &&
         isPermitted(Route.Regions, Agent);
}

bool forward_balancer::impl::isPermitted(const region_restriction &Regions,
                                         const agent_state &Agent) const {
  return !Regions.isRestricted() ||
         Regions.permits(AgentTable.zoneOf(Agent).Region);
}

/// Replaces the reported load by an estimate of the present one, if the agent
/// reports its capacity.
void forward_balancer::impl::applyEstimate(const agent_state &Agent,
                                           const service_level &Level,
                                           instant Now,
                                           placement_candidate &View) {
  const auto Seen = observationOf(Agent, Now);
  if (!Seen)
    return;
  View.ServiceTime = Seen->Capacity.ServiceTime;
  // Placement adds the placed flows to Active, and the estimate contains them.
  const double Ahead = requestsAhead(*Seen, Level.Priority) - Agent.Placed;
  View.Active = static_cast<std::uint16_t>(
      std::clamp(std::round(Ahead), 0.0, double{UINT16_MAX}));
}

placement_candidate forward_balancer::impl::viewOf(
    const route_state &Route, const agent_state &Agent,
    std::optional<endpoint> Avoid, instant Now) const {
  placement_candidate View;
  View.OwnZone = Agent.isOwnZone();
  const auto IsUnresponsiveFor = [&](duration Time) {
    return Agent.isUnresponsiveFor(Time, Now) &&
           !Settings.DisabledMechanisms.has(mechanism::Suspicion);
  };
  View.Reported =
      Agent.ReportedAt && !IsUnresponsiveFor(agent_table::UnverifiedAfter);
  View.Fresh =
      View.Reported && Now - *Agent.ReportedAt <= agent_state::FreshReportAge;
  View.Admitting = Agent.Report.Admitting && mayPlaceAt(Route, Agent);
  View.Suspect = (Agent.Suspect &&
                  !Settings.DisabledMechanisms.has(mechanism::Suspicion)) ||
                 IsUnresponsiveFor(agent_table::SuspectAfter) ||
                 !Agent.Report.Answering || Avoid == Agent.Agent;
  View.Slots = Agent.Report.Slots;
  View.Flows = Agent.Report.Flows;
  View.Placed = Agent.Placed;
  View.Active = Agent.Report.Active;
  View.Busy = Agent.Report.Busy;
  View.Latency = Agent.Report.Latency;
  View.Warmup = Agent.Report.Warmup;
  View.Failing = Agent.Report.Failing;
  if (Route.Level)
    applyEstimate(Agent, *Route.Level, Now, View);
  return View;
}

std::optional<std::size_t>
forward_balancer::impl::placeAt(const route_state &Route, service_id Service,
                                const flow_key &Flow,
                                std::optional<endpoint> Avoid, instant Now) {
  const std::vector<std::size_t> &Agents = AgentTable.ofService(Service);
  Views.clear();
  for (const std::size_t Index : Agents)
    Views.push_back(viewOf(Route, AgentTable.at(Index), Avoid, Now));
  const auto Chosen = Placement.choose(Views, Order.forFlow(Agents, Flow));
  if (!Chosen)
    return std::nullopt;
  return Agents[*Chosen];
}

/// Returns the service chosen by the weights for this flow, then the others. If
/// a service has no targets, callers must not lose their flow while another
/// service can take it.
std::vector<service_id>
forward_balancer::impl::servicesByPreference(const route_state &Route,
                                             const flow_key &Flow) const {
  std::vector<service_id> Services;
  if (Route.TotalWeight > 0) {
    std::uint64_t Point = hashOf(Flow, 1) % Route.TotalWeight;
    for (const weighted_service &Share : Route.Shares) {
      if (Point < Share.Weight) {
        Services.push_back(Share.Service);
        break;
      }
      Point -= Share.Weight;
    }
  }
  for (const weighted_service &Share : Route.Shares)
    if (Share.Weight > 0 && std::find(Services.begin(), Services.end(),
                                      Share.Service) == Services.end())
      Services.push_back(Share.Service);
  return Services;
}

std::optional<std::size_t>
forward_balancer::impl::place(const route_state &Route, const segment &Segment,
                              std::optional<endpoint> Avoid, instant Now) {
  for (const service_id Service :
       servicesByPreference(Route, Segment.Head.Flow))
    if (const auto Chosen =
            placeAt(Route, Service, Segment.Head.Flow, Avoid, Now))
      return Chosen;
  return std::nullopt;
}

std::optional<endpoint>
forward_balancer::impl::previousPlacement(const flow_key &Flow, instant Now) {
  const auto Place = FlowCache.find(Flow, Now);
  if (!Place)
    return std::nullopt;
  return Place->Agent;
}

/// Returns why no target of the route takes a new flow. If the operators'
/// configuration excludes all targets that would take it, the caller need not
/// wait until this balancer's knowledge is current: retransmitting the first
/// packet would not help.
std::string_view
forward_balancer::impl::refusalReason(const route_state &Route) const {
  bool AnyEvacuated = false;
  bool AnyOutside = false;
  for (const weighted_service &Share : Route.Shares)
    for (const std::size_t Index : AgentTable.ofService(Share.Service)) {
      const agent_state &Agent = AgentTable.at(Index);
      if (!Agent.Report.Admitting || Agent.Draining)
        continue;
      AnyOutside |= !isPermitted(Route.Regions, Agent);
      AnyEvacuated |= AgentTable.isEvacuated(Agent);
    }
  if (AnyEvacuated)
    return "the zones of all targets are evacuated";
  if (AnyOutside)
    return "no target in the regions of the route";
  return NoTargetAdmits;
}

/// The own zone counts as full, so that the load of other zones stays known and
/// flows are taken again as soon as one has room.
forward_outcome
forward_balancer::impl::refuseByThreshold(const segment &Segment,
                                          service_id Service, instant Now) {
  service_capacity &Load = Loads[Service];
  ++Load.Refused;
  Load.IsZoneFull = true;
  ++Counters.RefusedByThreshold;
  return refuse(Segment, forward_outcome::NoTarget,
                "no target can serve this priority in time", Now);
}

forward_outcome forward_balancer::impl::open(const route_state &Route,
                                             const segment &Segment,
                                             bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  // A caller retransmits its SYN when it got no answer. The agent that got the
  // first one is then the last choice.
  const auto Before = previousPlacement(Flow, Now);
  const auto Chosen = place(Route, Segment, Before, Now);
  if (!Chosen)
    return offerDespiteOldRefusals(Route, Segment, Bytes, Now)
               ? forward_outcome::Placed
               : refuseUnplaced(Route, Segment, Now);
  agent_state &Agent = AgentTable.at(*Chosen);
  // A flow that was placed before may be open by now.
  if (!Before && isRefusedByThreshold(Route, Agent.Service) &&
      !hasReportedFreeSlot(Route, Agent.Service, Now))
    return refuseByThreshold(Segment, Agent.Service, Now);
  outgoing_packet Packet = outgoing(Route, Agent.Service, Segment, Bytes);
  const bool IsTargetFull =
      Agent.freshCapacity(Now) && !hasKnownFreeSlot(Route, Agent, Now);
  ++Agent.Placed;
  FlowCache.store(Flow, {Agent.Agent, /*IsConfirmed=*/false}, Now);
  candidate_list List(Packet.size());
  List.add(Agent.Agent);
  addSubstitutes(Route, Agent, Flow, List, Now);
  if (Packet.Level)
    Packet.SubstituteWait = substituteWait(List, Packet.Level->Level, Now);
  const bool IsZoneFull =
      std::find(SubstituteGroups.begin(), SubstituteGroups.end(),
                substitute_group::SameZoneFree) == SubstituteGroups.end();
  if (IsTargetFull && IsZoneFull)
    Loads[Agent.Service].IsZoneFull = true;
  logEvent(event_kind::FlowRouted, Before ? "again" : "new", Flow, Agent.Agent,
           Now, static_cast<double>(Agent.Report.Flows + Agent.Placed));
  send(List, Agent.Service, /*Flags=*/0, Hooks.Clock ? Hooks.Clock() : 0,
       Packet, Now);
  return forward_outcome::Placed;
}

forward_outcome forward_balancer::impl::refuseUnplaced(const route_state &Route,
                                                       const segment &Segment,
                                                       instant Now) {
  const std::string_view Reason = refusalReason(Route);
  const bool IsByOrder = Reason != NoTargetAdmits;
  if (Route.Shares.empty() || (!IsByOrder && !isKnowledgeCurrent(Now)))
    return forward_outcome::Indeterminate;
  return refuse(Segment, forward_outcome::NoTarget, Reason, Now);
}

/// Whether the agent once reported that it takes no flows, and may take them by
/// now. One that has not answered since is not used: the caller would wait in
/// vain.
bool forward_balancer::impl::isRefusalOutdated(const route_state &Route,
                                               const agent_state &Agent,
                                               instant Now) const {
  const bool Refuses = !Agent.Report.Admitting || Agent.Report.Evacuated;
  const bool IsOutdated =
      !Agent.hasReportedSince(Now - agent_table::ReportRequestDelay);
  const bool IsPermittedNow = !Agent.Draining &&
                              !AgentTable.zoneOf(Agent).EvacuatedSince &&
                              isPermitted(Route.Regions, Agent);
  return Refuses && IsOutdated && IsPermittedNow && !Agent.Suspect &&
         !Agent.isUnresponsiveFor(agent_state::ReportResponseTime, Now);
}

/// Only the first agent of a list is known to have received the packet. If the
/// others were not asked, each of them that has failed would cost a caller its
/// first packet.
void forward_balancer::impl::requestReports(const candidate_list &List,
                                            instant Now) {
  for (const endpoint &Agent : List)
    requestReportOnce(*AgentTable.find(Agent), OutdatedRefusalRequests, Now);
}

/// Offers a flow that no target is known to take to the agents whose last word
/// is old. Idle agents of other zones are not asked for reports, and send none
/// by themselves when they admit flows again: without this, a balancer whose
/// zone has no target of the service would refuse its flows for good. An agent
/// that still admits none refuses the flow at once, and its report follows.
bool forward_balancer::impl::offerDespiteOldRefusals(const route_state &Route,
                                                     const segment &Segment,
                                                     bytes_view Bytes,
                                                     instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  for (const service_id Service : servicesByPreference(Route, Flow)) {
    outgoing_packet Packet = outgoing(Route, Service, Segment, Bytes);
    candidate_list List(Packet.size());
    const auto &Agents = AgentTable.ofService(Service);
    for (const std::size_t Position : Order.forFlow(Agents, Flow)) {
      const agent_state &Agent = AgentTable.at(Agents[Position]);
      if (isRefusalOutdated(Route, Agent, Now))
        List.add(Agent.Agent);
    }
    if (List.empty())
      continue;
    if (Packet.Level)
      Packet.SubstituteWait = substituteWait(List, Packet.Level->Level, Now);
    FlowCache.store(Flow, {List.front(), /*IsConfirmed=*/false}, Now);
    logEvent(event_kind::FlowRouted, "its last report is old", Flow,
             List.front(), Now, 0);
    requestReports(List, Now);
    send(List, Service, /*Flags=*/0, Hooks.Clock ? Hooks.Clock() : 0, Packet,
         Now);
    return true;
  }
  return false;
}

/// Adds the agents that may take the flow if the chosen target does not: those
/// that are known to have a free slot, then the same zone, in the flow's own
/// order, and last the agents whose target accepts nothing. If the order were
/// the same for all flows, everything that a full target declines would go to
/// the same next target.
void forward_balancer::impl::addSubstitutes(const route_state &Route,
                                            const agent_state &Chosen,
                                            const flow_key &Flow,
                                            candidate_list &List, instant Now) {
  const auto &Agents = AgentTable.ofService(Chosen.Service);
  const std::vector<std::size_t> &Positions = Order.forFlow(Agents, Flow);
  SubstituteGroups.clear();
  for (const std::size_t Position : Positions)
    SubstituteGroups.push_back(
        groupOf(Route, Chosen, AgentTable.at(Agents[Position]), Now));
  for (const substitute_group Group :
       {substitute_group::SameZoneFree, substitute_group::OtherZonesFree,
        substitute_group::SameZone, substitute_group::OtherZones,
        substitute_group::NotAnswering})
    for (std::size_t I = 0; I < Positions.size(); ++I)
      if (SubstituteGroups[I] == Group)
        List.add(AgentTable.at(Agents[Positions[I]]).Agent);
}

substitute_group forward_balancer::impl::groupOf(const route_state &Route,
                                                 const agent_state &Chosen,
                                                 const agent_state &Other,
                                                 instant Now) const {
  const bool IsUsable = Other.Report.Admitting && mayPlaceAt(Route, Other) &&
                        !Other.Suspect && Other.Agent != Chosen.Agent;
  if (!IsUsable)
    return substitute_group::None;
  if (!Other.Report.Answering)
    return substitute_group::NotAnswering;
  const bool IsSameZone = Other.ZoneOrder == Chosen.ZoneOrder;
  if (hasKnownFreeSlot(Route, Other, Now))
    return IsSameZone ? substitute_group::SameZoneFree
                      : substitute_group::OtherZonesFree;
  return IsSameZone ? substitute_group::SameZone : substitute_group::OtherZones;
}

} // namespace marjoramrail
