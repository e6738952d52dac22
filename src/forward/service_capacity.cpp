// What a balancer knows of the free slots and waits of a service's targets, and
// what follows for new flows.

#include "forward/forward_balancer_impl.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace marjoramrail {

using namespace internal;

/// Requests for load reports per service and tick while the own zone is full.
/// Enough to find a free slot elsewhere, and independent of how many targets
/// there are.
static constexpr std::size_t RemoteCapacityRequests = 3;

/// Only packets that open a flow or may begin a request state their level, so
/// that acknowledgements stay short.
outgoing_packet forward_balancer::impl::outgoing(const route_state &Route,
                                                 service_id Service,
                                                 const segment &Segment,
                                                 bytes_view Bytes) const {
  outgoing_packet Packet{Bytes, std::nullopt};
  const bool MayBeginRequest =
      Segment.Head.opensFlow() || Segment.Head.Payload > 0;
  if (!Settings.StatesLevels || !Route.Level || !MayBeginRequest)
    return Packet;
  const auto Load = Loads.find(Service);
  Packet.Level = stated_level{*Route.Level,
                              Load == Loads.end() ? 0 : Load->second.MaxFlows,
                              LevelsVersion};
  return Packet;
}

/// Whether a request of the route would get a slot at once.
bool forward_balancer::impl::hasKnownFreeSlot(const route_state &Route,
                                              const agent_state &Agent,
                                              instant Now) const {
  return Route.Level && knownWait(Agent, *Route.Level, Now) == duration::zero();
}

/// Returns how long a request of \p Level would wait at \p Agent; nothing if
/// the agent has not reported recently.
std::optional<duration> forward_balancer::impl::knownWait(
    const agent_state &Agent, const service_level &Level, instant Now) const {
  const auto Seen = observationOf(Agent, Now);
  if (!Seen)
    return std::nullopt;
  return estimatedWait(*Seen, Level.Priority);
}

std::optional<capacity_observation>
forward_balancer::impl::observationOf(const agent_state &Agent, instant Now) {
  const capacity_report *Capacity = Agent.freshCapacity(Now);
  if (!Capacity)
    return std::nullopt;
  return capacity_observation{Agent.Report, *Capacity, Now - *Agent.ReportedAt,
                              Agent.Placed};
}

/// See routed_packet::SubstituteWait. Flows are passed on twice at most, so the
/// waits of two agents matter.
std::optional<duration> forward_balancer::impl::substituteWait(
    const candidate_list &List, const service_level &Level, instant Now) const {
  constexpr std::size_t Substitutes = 2;
  std::optional<duration> Longest;
  for (std::size_t I = 1; I < std::min(List.size(), Substitutes + 1); ++I) {
    const agent_state *Agent = AgentTable.find(List.begin()[I]);
    const auto Wait = Agent ? knownWait(*Agent, Level, Now) : std::nullopt;
    if (!Wait)
      return std::nullopt;
    Longest = std::max(Longest.value_or(duration::zero()), *Wait);
  }
  return Longest;
}

/// Adds the level of \p Route to the services of its new flows, or removes it.
void forward_balancer::impl::countLevel(const route_state &Route,
                                        bool IsAdded) {
  if (!Route.Level)
    return;
  for (const weighted_service &Share : Route.Shares) {
    time_limits &Limits = Loads[Share.Service].Limits;
    IsAdded ? Limits.add(*Route.Level) : Limits.remove(*Route.Level);
  }
}

bool forward_balancer::impl::isRefusedByThreshold(const route_state &Route,
                                                  service_id Service) const {
  // A route without a time limit is never refused.
  if (!Route.Level || Route.Level->TimeLimit == duration::zero())
    return false;
  const auto Load = Loads.find(Service);
  return Load != Loads.end() &&
         Load->second.Threshold.refuses(Route.Level->Priority);
}

/// Whether the targets that the flow may be sent to have reported more free
/// slots than balancers have placed flows since. The threshold moves back one
/// priority per evaluation, and the slots would be idle meanwhile. The
/// estimated wait is not used here: it can be zero while other balancers still
/// fill the queue.
bool forward_balancer::impl::hasReportedFreeSlot(const route_state &Route,
                                                 service_id Service,
                                                 instant Now) const {
  std::uint64_t Free = 0;
  std::uint64_t Placed = 0;
  for (const std::size_t Index : AgentTable.ofService(Service)) {
    const agent_state &Agent = AgentTable.at(Index);
    const capacity_report *Capacity = Agent.freshCapacity(Now);
    if (!Capacity)
      continue;
    // A flow that is placed at a full target is passed on to a free one.
    Placed += std::uint64_t{Agent.Placed} * Capacity->Balancers;
    if (Agent.Report.Admitting && Agent.Report.Answering && !Agent.Suspect &&
        mayPlaceAt(Route, Agent))
      Free += Capacity->FreeSlots;
  }
  return Free > Placed;
}

/// Returns the shortest waits among all targets that may get new flows. A
/// target that has not reported recently may be idle, so nothing is known then.
/// Targets outside the regions of a route count too, so that no route is
/// refused for targets that others may use.
priority_waits forward_balancer::impl::waitsOf(service_id Service,
                                               const time_limits &Limits,
                                               instant Now) const {
  priority_waits Waits;
  for (std::size_t I = 0; I < Waits.size(); ++I)
    Waits[I].Limit = Limits.longest(I);
  bool IsFirst = true;
  for (const std::size_t Index : AgentTable.ofService(Service)) {
    const agent_state &Agent = AgentTable.at(Index);
    if (Agent.Draining || AgentTable.isEvacuated(Agent))
      continue;
    const capacity_report *Capacity = Agent.freshCapacity(Now);
    if (!Capacity) {
      for (priority_wait &Wait : Waits)
        Wait.Shortest.reset();
      return Waits;
    }
    if (!Agent.Report.Admitting)
      continue;
    for (std::size_t I = 0; I < Waits.size(); ++I)
      Waits[I].Shortest = IsFirst
                              ? Capacity->Wait[I]
                              : std::min(*Waits[I].Shortest, Capacity->Wait[I]);
    IsFirst = false;
  }
  return Waits;
}

void forward_balancer::impl::evaluateThresholds(instant Now) {
  if (Settings.DisabledMechanisms.has(mechanism::AdmissionThreshold))
    return;
  for (auto &[Service, Load] : Loads) {
    const auto Before = Load.Threshold.refusesFrom();
    Load.Threshold.evaluate(waitsOf(Service, Load.Limits, Now), Now);
    const auto After = Load.Threshold.refusesFrom();
    if (Before != After)
      logEvent(event_kind::AdmissionChanged,
               After ? "new flows of a priority are refused: no target can "
                       "serve them in time"
                     : "new flows of all priorities are admitted",
               {}, {}, Now,
               static_cast<double>(After.value_or(ReportedPriorities)));
  }
}

/// Requests reports from other zones for services without a free slot in the
/// own zone. Agents of other zones do not report to balancers that send them
/// nothing.
void forward_balancer::impl::requestRemoteCapacity(instant Now) {
  for (auto &[Service, Load] : Loads) {
    if (!std::exchange(Load.IsZoneFull, false))
      continue;
    const std::vector<std::size_t> &Agents = AgentTable.ofService(Service);
    std::size_t Requested = 0;
    std::size_t Next = Load.NextRequested;
    for (std::size_t I = 0;
         I < Agents.size() && Requested < RemoteCapacityRequests; ++I) {
      const std::size_t Index =
          Agents[(Load.NextRequested + I) % Agents.size()];
      const agent_state &Agent = AgentTable.at(Index);
      if (Agent.isOwnZone() || Agent.Draining ||
          AgentTable.isEvacuated(Agent) || Agent.freshCapacity(Now))
        continue;
      ++Requested;
      requestReport(Agent.Agent, Now);
      Next = (Load.NextRequested + I + 1) % Agents.size();
    }
    Load.NextRequested = Next;
  }
}

static std::int64_t milliseconds(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

static nlohmann::json capacityJson(const capacity_report &Capacity) {
  nlohmann::json Waits = nlohmann::json::array();
  for (const duration Wait : Capacity.Wait)
    Waits.push_back(milliseconds(Wait));
  return {{"free_slots", Capacity.FreeSlots},
          {"waiting", Capacity.Waiting},
          {"wait_ms", Waits},
          {"service_time_us", Capacity.ServiceTime.count()}};
}

/// One agent of the status page.
nlohmann::json forward_balancer::impl::agentJson(const agent_state &Agent,
                                                 instant Now) const {
  nlohmann::json Json = {{"agent", toText(Agent.Agent)},
                         {"service", AgentTable.nameOf(Agent.Service)},
                         {"zone", AgentTable.zoneOf(Agent).Name},
                         {"admitting", Agent.Report.Admitting},
                         {"suspect", Agent.Suspect},
                         {"evacuated", Agent.Report.Evacuated},
                         {"flows", Agent.Report.Flows},
                         {"busy", Agent.Report.Busy},
                         {"active", Agent.Report.Active},
                         {"slots", Agent.Report.Slots},
                         {"report_age_ms", nullptr}};
  if (Agent.ReportedAt)
    Json["report_age_ms"] = milliseconds(Now - *Agent.ReportedAt);
  if (Agent.Report.Capacity)
    Json["capacity"] = capacityJson(*Agent.Report.Capacity);
  return Json;
}

/// The admission thresholds of the status page.
nlohmann::json forward_balancer::impl::admissionJson(instant Now) const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Service, Load] : Loads) {
    if (AgentTable.ofService(Service).empty())
      continue;
    const auto RefusesFrom = Load.Threshold.refusesFrom();
    nlohmann::json Item = {{"service", AgentTable.nameOf(Service)},
                           {"refuses_from_priority", nullptr},
                           {"since_ms", 0},
                           {"refused", Load.Refused}};
    if (RefusesFrom) {
      Item["refuses_from_priority"] = *RefusesFrom;
      Item["since_ms"] = milliseconds(Now - Load.Threshold.changedAt());
    }
    List.push_back(std::move(Item));
  }
  return List;
}

} // namespace marjoramrail
