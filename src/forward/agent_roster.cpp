#include "forward/agent_roster.h"

#include <set>

namespace marjoramrail::internal {

static std::uint32_t orderOf(const std::set<std::string> &Zones,
                             const std::string &Zone) {
  return static_cast<std::uint32_t>(
      std::distance(Zones.begin(), Zones.find(Zone)));
}

void agent_roster::set(const std::vector<target_entry> &Targets, instant Now) {
  const bool IsFirst = Agents.empty();
  if (IsFirst && !Targets.empty())
    NextAsked = Seed % Targets.size();
  std::vector<agent_state> Former = std::exchange(Agents, {});
  ByService.clear();
  MoreByEndpoint.clear();
  const auto Places = std::exchange(ByEndpoint, {});
  std::set<std::string> Zones;
  for (const target_entry &Target : Targets)
    Zones.insert(Target.Zone);
  for (const target_entry &Target : Targets) {
    agent_state State;
    const auto Known = Places.find(Target.Agent);
    if (Known != Places.end())
      State = Former[Known->second];
    const service_id Service = serviceNumber(Target.Service);
    if (Known == Places.end() || State.Service != Service) {
      State.ListedSince = Now;
      State.Found = IsFirst && !Target.ByPeer;
    }
    State.Agent = Target.Agent;
    State.Service = Service;
    State.ZoneOrder = Target.Zone == Zone ? 0 : orderOf(Zones, Target.Zone) + 1;
    State.Draining = Target.Draining;
    if (!State.ReportedAt) {
      State.Report.Slots = static_cast<std::uint16_t>(
          std::min<std::uint32_t>(Target.Slots, UINT16_MAX));
      State.Report.Admitting = true;
    }
    // Two entries of one address: a VM was replaced and its address used again.
    // Either may be the one that lives; its service is checked by the agent.
    if (!ByEndpoint.try_emplace(Target.Agent, Agents.size()).second)
      MoreByEndpoint.emplace(Target.Agent, Agents.size());
    ByService[State.Service].push_back(Agents.size());
    Agents.push_back(State);
  }
}

agent_state *agent_roster::find(const endpoint &Agent) {
  const auto Found = ByEndpoint.find(Agent);
  return Found == ByEndpoint.end() ? nullptr : &Agents[Found->second];
}

const std::vector<std::size_t> &
agent_roster::ofService(service_id Service) const {
  static const std::vector<std::size_t> None;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

void agent_roster::renewOrder(instant Now) {
  const auto Changes = std::count_if(
      Agents.begin(), Agents.end(), [&](const agent_state &State) {
        return State.isBehind(Order) != State.isDoubtful(Now);
      });
  const bool AreMany = Changes > FewChanges;
  if (Changes == 0 || (AreMany && Now - RenewedAt < CrowdedRenewal))
    return;
  RenewedAt = Now;
  Order = Order == walk_order::Even ? walk_order::Odd : walk_order::Even;
  for (agent_state &State : Agents)
    State.Behind[static_cast<std::size_t>(Order)] = State.isDoubtful(Now);
}

/// Without a pass over all agents: those of a large zone report tens of
/// thousands of times a second.
template <typename Function>
void agent_roster::forEachAt(const endpoint &Agent, const Function &Each) {
  const auto First = ByEndpoint.find(Agent);
  if (First == ByEndpoint.end())
    return;
  Each(Agents[First->second]);
  const auto [Begin, End] = MoreByEndpoint.equal_range(Agent);
  for (auto Place = Begin; Place != End; ++Place)
    Each(Agents[Place->second]);
}

void agent_roster::noteSent(const endpoint &Agent, instant Now) {
  forEachAt(Agent, [Now](agent_state &State) {
    if (!State.SentSince)
      State.SentSince = Now;
  });
}

void agent_roster::noteAsked(const endpoint &Agent, instant Now) {
  forEachAt(Agent, [Now](agent_state &State) {
    if (!State.AskedSince)
      State.AskedSince = Now;
  });
}

void agent_roster::take(agent_state &State, const load_report &Report,
                        instant Now) {
  State.Report = Report;
  State.ReportedAt = Now;
  State.SentSince.reset();
  State.AskedSince.reset();
  State.Placed = 0;
  State.Suspect = false;
}

agent_state *agent_roster::noteReport(const load_report &Report, instant Now) {
  agent_state *Named = nullptr;
  forEachAt(Report.Agent, [&](agent_state &State) {
    take(State, Report, Now);
    if (State.Service == Report.Service)
      Named = &State;
  });
  return Named;
}

/// The own zone's turns are its own: new flows are placed there, and after a
/// loss of power its agents wait for the word of a balancer, while thousands in
/// other zones may not have answered yet.
bool agent_roster::isWanted(const agent_state &State, instant Now) {
  // A datagram may have been lost.
  if (State.Suspect || State.AskedSince)
    return true;
  const bool IsQuiet = !State.ReportedAt || Now - *State.ReportedAt > AskAfter;
  return State.isOwnZone() && IsQuiet;
}

void agent_roster::collectQuestions(instant Now, bool OwnZone, std::size_t Most,
                                    std::size_t &Next,
                                    std::vector<endpoint> &Ask) {
  std::size_t Left = Most;
  for (std::size_t I = 0; I < Agents.size(); ++I) {
    const agent_state &State = Agents[(Next + I) % Agents.size()];
    if (State.isOwnZone() != OwnZone || !isWanted(State, Now))
      continue;
    noteAsked(State.Agent, Now);
    Ask.push_back(State.Agent);
    if (--Left == 0) {
      Next = (Next + I + 1) % Agents.size();
      return;
    }
  }
}

bool agent_roster::review(
    instant Now, std::vector<endpoint> &Ask,
    const std::function<void(const agent_state &)> &OnSuspicion) {
  bool Changed = false;
  for (agent_state &State : Agents) {
    if (State.Suspect || !State.isSilentFor(SuspectAfter, Now))
      continue;
    State.Suspect = true;
    State.SuspectSince = Now;
    Changed = true;
    OnSuspicion(State);
  }
  collectQuestions(Now, /*OwnZone=*/true, QuestionsPerRound, NextAsked, Ask);
  collectQuestions(Now, /*OwnZone=*/false, FarQuestionsPerRound, NextFarAsked,
                   Ask);
  return Changed;
}

} // namespace marjoramrail::internal
