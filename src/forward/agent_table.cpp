#include "forward/agent_table.h"

#include <set>

namespace marjoramrail::internal {

void agent_table::setZones(const std::vector<target_entry> &Targets,
                           instant Now) {
  std::set<std::string> Others;
  for (const target_entry &Target : Targets)
    if (Target.Zone != Zones.front().Name)
      Others.insert(Target.Zone);
  std::map<std::string, zone_state> Before;
  for (zone_state &Zone : Zones)
    Before[Zone.Name] = Zone;
  Zones.resize(1);
  for (const std::string &Zone : Others) {
    const auto Known = Before.find(Zone);
    Zones.push_back(Known != Before.end()
                        ? Known->second
                        : zone_state{Zone, std::string(regionOf(Regions, Zone)),
                                     std::nullopt});
  }
  setEvacuations(evacuations(Evacuations), Now);
}

std::uint32_t agent_table::zoneOrderOf(const std::string &Zone) const {
  if (Zone == Zones.front().Name)
    return 0;
  const auto Place =
      std::lower_bound(Zones.begin() + 1, Zones.end(), Zone,
                       [](const zone_state &State, const std::string &Name) {
                         return State.Name < Name;
                       });
  return static_cast<std::uint32_t>(std::distance(Zones.begin(), Place));
}

void agent_table::setEvacuations(const evacuations &Table, instant Now) {
  Evacuations = Table;
  for (zone_state &Zone : Zones) {
    if (!Evacuations.contains(Zone.Name))
      Zone.EvacuatedSince.reset();
    else if (!Zone.EvacuatedSince)
      Zone.EvacuatedSince = Now;
  }
}

void agent_table::setRegions(zone_regions Changed) {
  Regions = std::move(Changed);
  for (zone_state &Zone : Zones)
    Zone.Region = regionOf(Regions, Zone.Name);
}

void agent_table::set(const std::vector<target_entry> &Targets, instant Now) {
  const bool IsFirst = Agents.empty();
  if (IsFirst && !Targets.empty())
    NextRequested = Seed % Targets.size();
  std::vector<agent_state> Previous = std::exchange(Agents, {});
  ByService.clear();
  MoreByEndpoint.clear();
  ServiceNames.clear();
  const auto Places = std::exchange(ByEndpoint, {});
  setZones(Targets, Now);
  for (const target_entry &Target : Targets) {
    agent_state State;
    const auto Known = Places.find(Target.Agent);
    if (Known != Places.end())
      State = Previous[Known->second];
    const service_id Service = serviceNumber(Target.Service);
    if (Known == Places.end() || State.Service != Service) {
      State.RegisteredSince = Now;
      State.FoundAtStart = IsFirst && !Target.ByPeer;
    }
    State.Agent = Target.Agent;
    State.Service = Service;
    State.ZoneOrder = zoneOrderOf(Target.Zone);
    State.Draining = Target.Draining;
    if (!State.ReportedAt) {
      State.Report.Slots = static_cast<std::uint16_t>(
          std::min<std::uint32_t>(Target.Slots, UINT16_MAX));
      State.Report.Admitting = true;
    }
    // Two entries can have the same address if a VM was replaced and its
    // address was reused. Either of them may be the running one; the agent
    // checks the service.
    if (!ByEndpoint.try_emplace(Target.Agent, Agents.size()).second)
      MoreByEndpoint.emplace(Target.Agent, Agents.size());
    ByService[State.Service].push_back(Agents.size());
    ServiceNames[State.Service] = Target.Service;
    Agents.push_back(State);
  }
}

agent_state *agent_table::find(const endpoint &Agent) {
  const auto Found = ByEndpoint.find(Agent);
  return Found == ByEndpoint.end() ? nullptr : &Agents[Found->second];
}

const agent_state *agent_table::find(const endpoint &Agent) const {
  const auto Found = ByEndpoint.find(Agent);
  return Found == ByEndpoint.end() ? nullptr : &Agents[Found->second];
}

std::string agent_table::nameOf(service_id Service) const {
  const auto Found = ServiceNames.find(Service);
  return Found == ServiceNames.end() ? "" : Found->second;
}

const std::vector<std::size_t> &
agent_table::ofService(service_id Service) const {
  static const std::vector<std::size_t> None;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

void agent_table::renewOrder(instant Now) {
  const auto Changes = std::count_if(
      Agents.begin(), Agents.end(), [&](const agent_state &State) {
        return State.isDeprioritized(Parity) != State.isUnverified(Now);
      });
  const bool AreMany = Changes > SmallChangeCount;
  if (Changes == 0 || (AreMany && Now - RenewedAt < BulkRenewalInterval))
    return;
  RenewedAt = Now;
  Parity =
      Parity == order_parity::Even ? order_parity::Odd : order_parity::Even;
  for (agent_state &State : Agents)
    State.Deprioritized[static_cast<std::size_t>(Parity)] =
        State.isUnverified(Now);
}

/// Does not search all agents: those of a large zone send tens of thousands of
/// reports a second.
template <typename Function>
void agent_table::forEachAt(const endpoint &Agent, const Function &Each) {
  const auto First = ByEndpoint.find(Agent);
  if (First == ByEndpoint.end())
    return;
  Each(Agents[First->second]);
  const auto [Begin, End] = MoreByEndpoint.equal_range(Agent);
  for (auto Place = Begin; Place != End; ++Place)
    Each(Agents[Place->second]);
}

void agent_table::noteSent(const endpoint &Agent, instant Now) {
  forEachAt(Agent, [Now](agent_state &State) {
    if (!State.FirstSentAt)
      State.FirstSentAt = Now;
  });
}

void agent_table::noteReportRequested(const endpoint &Agent, instant Now) {
  forEachAt(Agent, [Now](agent_state &State) {
    if (!State.FirstRequestedAt)
      State.FirstRequestedAt = Now;
  });
}

void agent_table::applyReport(agent_state &State, const load_report &Report,
                              instant Now) {
  if (State.isUnverified(Now))
    State.RecoveredAt = Now;
  State.Report = Report;
  State.ReportedAt = Now;
  State.FirstSentAt.reset();
  State.FirstRequestedAt.reset();
  State.Placed = 0;
  State.Suspect = false;
}

agent_state *agent_table::noteReport(const load_report &Report, instant Now) {
  agent_state *Reporter = nullptr;
  forEachAt(Report.Agent, [&](agent_state &State) {
    applyReport(State, Report, Now);
    if (State.Service == Report.Service)
      Reporter = &State;
  });
  return Reporter;
}

/// The own zone has its own quota of requests, because new flows are placed
/// there. After a power failure its agents wait for a balancer's notice before
/// they admit flows, while thousands of agents in other zones may not have
/// answered yet.
bool agent_table::needsReportRequest(const agent_state &State, instant Now) {
  // The request or its answer may have been lost.
  if (State.Suspect || State.FirstRequestedAt)
    return true;
  const bool IsReportOld =
      !State.ReportedAt || Now - *State.ReportedAt > ReportRequestDelay;
  return State.isOwnZone() && IsReportOld;
}

void agent_table::collectReportRequests(instant Now, bool OwnZone,
                                        std::size_t Most, std::size_t &Next,
                                        std::vector<endpoint> &Requests) {
  std::size_t Left = Most;
  for (std::size_t I = 0; I < Agents.size(); ++I) {
    const agent_state &State = Agents[(Next + I) % Agents.size()];
    if (State.isOwnZone() != OwnZone || !needsReportRequest(State, Now))
      continue;
    noteReportRequested(State.Agent, Now);
    Requests.push_back(State.Agent);
    if (--Left == 0) {
      Next = (Next + I + 1) % Agents.size();
      return;
    }
  }
}

bool agent_table::review(
    instant Now, std::vector<endpoint> &Requests,
    const std::function<void(const agent_state &)> &OnSuspicion) {
  bool Changed = false;
  for (agent_state &State : Agents) {
    if (State.Suspect || !State.isUnresponsiveFor(SuspectAfter, Now))
      continue;
    State.Suspect = true;
    State.SuspectSince = Now;
    Changed = true;
    OnSuspicion(State);
  }
  collectReportRequests(Now, /*OwnZone=*/true, ReportRequestsPerRound,
                        NextRequested, Requests);
  collectReportRequests(Now, /*OwnZone=*/false, RemoteReportRequestsPerRound,
                        NextRemoteRequested, Requests);
  return Changed;
}

} // namespace marjoramrail::internal
