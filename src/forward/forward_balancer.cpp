#include "forward/forward_balancer_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;

namespace {

/// A list is marked as complete only if the balancer's knowledge is younger
/// than this. New services and targets get no flows for SettleTime; the
/// difference covers the transit time of a packet and a late timer.
constexpr duration KnowledgeValidity =
    SettleTime - std::chrono::milliseconds(100);

/// How often old flows and lost agents are checked for, in ticks: every ten
/// seconds.
constexpr int TicksPerSweep = 50;

/// A flow may have been opened just before its agent stopped responding, and
/// its caller may send for some more seconds.
constexpr duration LostAgentMargin = std::chrono::seconds(10);

} // namespace

bool forward_balancer::impl::isKnowledgeCurrent(instant Now) const {
  return KnownAsOf && Now - *KnownAsOf <= KnowledgeValidity;
}

/// Sent only if knowledge is current, because an outdated registry does not
/// contain an agent that has just joined.
void forward_balancer::impl::notifyUnregistered(const endpoint &Agent,
                                                instant Now) {
  if (!isKnowledgeCurrent(Now))
    return;
  std::array<std::uint8_t, UnregisteredNoticeBytes> Notice;
  encodeUnregisteredNotice(Notice);
  Hooks.SendToAgent(Agent, Notice);
}

/// Tells an agent what it does not know of the operators' configuration. A
/// balancer without knowledge of its own sends nothing, and the agent ignores
/// what is older than its own knowledge.
void forward_balancer::impl::sendPolicy(const agent_state &Agent) {
  flow_policy Policy;
  Policy.Service = Agent.Service;
  Policy.EvacuationsVersion = EvacuationsVersion;
  Policy.Evacuated = AgentTable.zoneOf(Agent).EvacuatedSince.has_value();
  Policy.RoutesVersion = RoutesVersion;
  const auto Rate = WarmupRates.find(Agent.Service);
  if (Rate != WarmupRates.end())
    Policy.WarmupRate = Rate->second;
  if (!differsFrom(Policy, Agent.Report))
    return;
  std::array<std::uint8_t, FlowPolicyBytes> Notice;
  encodeFlowPolicy(Policy, Notice);
  ++Counters.PolicyNotices;
  Hooks.SendToAgent(Agent.Agent, Notice);
}

/// An agent that is restarted while the store is unavailable cannot read its
/// own registration, and does not admit flows before it knows that all
/// balancers have it. A balancer that has had the registration for SettleTime
/// can confirm this.
///
/// After a complete power failure no balancer has had it for that long. Without
/// a notice, each agent would have to wait for a store that has just recovered.
/// Their retries succeed at different times, so the first agent would get every
/// flow of the site, and its target would refuse most of them. The first
/// registry a balancer reads is sufficient proof for all agents in it, at the
/// cost of one datagram each.
void forward_balancer::impl::notifyRegistered(const agent_state &Agent,
                                              instant Now) {
  if (Agent.Draining)
    return;
  std::array<std::uint8_t, RegisteredNoticeBytes> Notice;
  if (Now - Agent.RegisteredSince >= SettleTime)
    encodeRegisteredNotice(Agent.Service, Notice);
  else if (Agent.FoundAtStart)
    encodeRegistrationFoundNotice(Agent.Service, Notice);
  else
    return;
  Hooks.SendToAgent(Agent.Agent, Notice);
}

/// VMs fail every day and leave their registrations behind. If these stayed in
/// the store, each would remain at the end of every list, and no lost flow
/// could be reset, because a failed agent never declines a packet.
void forward_balancer::impl::reportLostAgents(instant Now) {
  if (!Hooks.OnAgentLost)
    return;
  for (std::size_t I = 0; I < AgentTable.size(); ++I) {
    const agent_state &Agent = AgentTable.at(I);
    if (Agent.Suspect && Agent.isOwnZone() &&
        Now - Agent.SuspectSince > Settings.FlowLife + LostAgentMargin)
      Hooks.OnAgentLost(Agent.Agent, Now - Agent.SuspectSince);
  }
}

void forward_balancer::impl::logEvent(event_kind What, std::string_view Why,
                                      const flow_key &Flow,
                                      const endpoint &Agent, instant Now,
                                      double Load) {
  if (!Hooks.OnEvent)
    return;
  flow_event Event{What, Why, Flow, Agent, Load, duration::zero()};
  if (KnownAsOf)
    Event.Age = Now - *KnownAsOf;
  Hooks.OnEvent(Event);
}

forward_outcome forward_balancer::impl::refuse(const segment &Segment,
                                               forward_outcome Outcome,
                                               std::string_view Why,
                                               instant Now) {
  if (Segment.Head.Rst)
    return Outcome;
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  const std::size_t Size = Codec.WriteReset(Segment.Head, Buffer);
  if (Size == 0)
    return Outcome;
  ++Counters.Resets;
  logEvent(event_kind::FlowRefused, Why, Segment.Head.Flow, {}, Now);
  Hooks.SendToCaller(Segment.Head.Flow.Caller, {Buffer.data(), Size});
  return Outcome;
}

forward_outcome forward_balancer::impl::route(const segment &Segment,
                                              bytes_view Bytes, instant Now) {
  const auto Found = Routes.find(Segment.Head.Flow.Service);
  if (Found == Routes.end()) {
    if (!isKnowledgeCurrent(Now))
      return forward_outcome::Indeterminate;
    return refuse(Segment, forward_outcome::NoRoute, "no route", Now);
  }
  if (Segment.Head.opensFlow())
    return open(Found->second, Segment, Bytes, Now);
  return forwardOpenFlow(Found->second, Segment, Bytes, Now);
}

//===----------------------------------------------------------------------===//
// forward_balancer
//===----------------------------------------------------------------------===//

forward_balancer::forward_balancer(const forward_balancer_settings &Settings,
                                   segment_codec Codec,
                                   forward_balancer_hooks Hooks)
    : Impl(std::make_unique<impl>(Settings, std::move(Codec),
                                  std::move(Hooks))) {}

forward_balancer::~forward_balancer() = default;

void forward_balancer::setRoutes(const std::vector<route_rule> &Rules,
                                 instant Now) {
  Impl->Routes.clear();
  for (auto &[Service, Load] : Impl->Loads)
    Load.Limits = {};
  changeRoutes({Rules, {}}, Now);
}

static route_state stateOf(const route_rule &Rule) {
  route_state State;
  State.Regions = Rule.Regions;
  State.OwnerRegions = Rule.OwnerRegions;
  State.Level = Rule.Level;
  for (const service_share &Share : Rule.Shares) {
    State.Shares.push_back({serviceNumber(Share.Service), Share.Weight});
    State.TotalWeight += Share.Weight;
  }
  for (const std::string &Service : Rule.OwnerServices)
    State.OwnerServices.push_back(serviceNumber(Service));
  return State;
}

void forward_balancer::changeRoutes(const rule_changes &Changes, instant Now) {
  for (const endpoint &Address : Changes.Removed) {
    Impl->countLevel(Impl->Routes[Address], /*IsAdded=*/false);
    Impl->Routes.erase(Address);
  }
  for (const route_rule &Rule : Changes.Changed) {
    route_state &Held = Impl->Routes[Rule.Address];
    route_state State = stateOf(Rule);
    Impl->countLevel(Held, /*IsAdded=*/false);
    Impl->countLevel(State, /*IsAdded=*/true);
    State.RegionsChangedAt =
        State.OwnerRegions == Held.OwnerRegions ? Held.RegionsChangedAt : Now;
    Held = std::move(State);
  }
}

void forward_balancer::setTargets(const std::vector<target_entry> &Targets,
                                  instant Now) {
  const bool IsFirst = Impl->AgentTable.size() == 0;
  Impl->AgentTable.set(Targets, Now);
  // Agents that started together with this balancer may be waiting for its
  // notices.
  if (IsFirst)
    Impl->review(Now);
}

void forward_balancer::setEvacuations(const evacuations &Table, instant Now) {
  Impl->EvacuationsVersion = Table.Version;
  Impl->AgentTable.setEvacuations(Table, Now);
}

void forward_balancer::setWarmupRates(const std::vector<service_warmup> &Rates,
                                      std::uint64_t RoutesVersion) {
  Impl->RoutesVersion = RoutesVersion;
  Impl->WarmupRates.clear();
  for (const service_warmup &Warmup : Rates)
    Impl->WarmupRates[serviceNumber(Warmup.Service)] = Warmup.Rate;
}

void forward_balancer::setFlowLimits(
    const std::vector<service_flow_limit> &Limits,
    std::uint64_t RoutesVersion) {
  Impl->LevelsVersion = RoutesVersion;
  for (auto &[Service, Load] : Impl->Loads)
    Load.MaxFlows = 0;
  for (const service_flow_limit &Limit : Limits)
    Impl->Loads[serviceNumber(Limit.Service)].MaxFlows = Limit.MaxFlows;
}

void forward_balancer::setRegions(const zone_regions &Regions) {
  Impl->AgentTable.setRegions(Regions);
}

void forward_balancer::setKnownAsOf(std::optional<instant> Moment) {
  Impl->KnownAsOf = Moment;
}

forward_outcome forward_balancer::onCallerPacket(bytes_view Bytes,
                                                 instant Now) {
  segment Segment;
  forward_outcome Outcome = forward_outcome::Malformed;
  if (Impl->Codec.Parse(Bytes, Segment))
    Outcome = Impl->route(Segment, Bytes, Now);
  ++Impl->Counters.Outcomes[static_cast<std::size_t>(Outcome)];
  return Outcome;
}

void forward_balancer::onAgentMessage(const endpoint &, bytes_view Bytes,
                                      instant Now) {
  load_report Report;
  if (decodeLoadReport(Bytes, Report)) {
    ++Impl->Counters.Reports;
    Impl->onReport(Report, Now);
    return;
  }
  routed_packet Routed;
  if (isRouted(Bytes)) {
    if (decodeRouted(Bytes, Routed) == packet_fault::None)
      Impl->continueLookup(Routed, Now);
    return;
  }
  owner_notice Notice;
  if (decodeOwnerNotice(Bytes, Notice) != packet_fault::None)
    return;
  ++Impl->Counters.Notices;
  Impl->onOwnerNotice(Notice, Now);
}

/// A new flow that was passed on counts as placed at the agent that took it.
/// Otherwise the agents with free slots, which come first among the
/// substitutes of every flow, would be overloaded before their next report.
void forward_balancer::impl::onOwnerNotice(const owner_notice &Notice,
                                           instant Now) {
  const auto Before = FlowCache.find(Notice.Flow, Now);
  if (Before && !Before->IsConfirmed && Before->Agent != Notice.Owner) {
    if (agent_state *First = AgentTable.find(Before->Agent))
      First->Placed -= std::min(First->Placed, 1U);
    if (agent_state *Owner = AgentTable.find(Notice.Owner))
      ++Owner->Placed;
  }
  FlowCache.store(Notice.Flow, {Notice.Owner, /*IsConfirmed=*/true}, Now);
  PendingLookups.remove(Notice.Flow);
}

void forward_balancer::impl::onReport(const load_report &Report, instant Now) {
  agent_state *Agent = AgentTable.noteReport(Report, Now);
  if (!Agent)
    return notifyUnregistered(Report.Agent, Now);
  sendPolicy(*Agent);
  if (!Report.Admitting)
    notifyRegistered(*Agent, Now);
}

/// Marks agents that no longer respond as suspect, and requests reports from
/// those that have not sent one.
void forward_balancer::impl::review(instant Now) {
  std::vector<endpoint> Requests;
  AgentTable.review(Now, Requests, [&](const agent_state &Agent) {
    ++Counters.Suspicions;
    logEvent(event_kind::AgentSuspected,
             "no report since a packet or request was sent", {}, Agent.Agent,
             Now);
  });
  for (const endpoint &Agent : Requests)
    sendReportRequest(Agent, reportSpanFor(Agent));
}

/// New flows are placed in the own zone by the latest loads; for other zones it
/// is enough to know that the agents are running. If those reported
/// continuously, after a power failure all agents of a site would report to all
/// balancers.
report_span forward_balancer::impl::reportSpanFor(const endpoint &Agent) {
  const agent_state *State = AgentTable.find(Agent);
  return State && State->isOwnZone() ? report_span::Continued
                                     : report_span::Once;
}

void forward_balancer::impl::sendReportRequest(const endpoint &Agent,
                                               report_span Span) {
  std::array<std::uint8_t, LoadReportRequestBytes> Request;
  encodeLoadReportRequest({Span, Settings.StatesLevels}, Request);
  ++Counters.ReportRequests;
  Hooks.SendToAgent(Agent, Request);
}

void forward_balancer::impl::requestReport(const endpoint &Agent, instant Now) {
  AgentTable.noteReportRequested(Agent, Now);
  sendReportRequest(Agent, report_span::Once);
}

void forward_balancer::tick(instant Now) {
  Impl->review(Now);
  Impl->AgentTable.renewOrder(Now);
  Impl->RecentLookups.removeExpired(Now);
  if (Impl->Settings.StatesLevels) {
    Impl->evaluateThresholds(Now);
    Impl->requestRemoteCapacity(Now);
  }
  if (++Impl->Ticks % TicksPerSweep != 0)
    return;
  Impl->FlowCache.removeExpired(Now);
  Impl->reportLostAgents(Now);
}

std::optional<instant> forward_balancer::repeatLookups(instant Now) {
  while (auto Due = Impl->PendingLookups.takeDue(Now))
    Impl->reviewLookup(std::move(*Due), Now);
  return Impl->PendingLookups.nextDue();
}

const forward_balancer_counters &forward_balancer::counters() const {
  return Impl->Counters;
}

std::size_t forward_balancer::flows() const { return Impl->FlowCache.size(); }

std::string forward_balancer::statusJson(instant Now) const {
  // The zones that have targets and are evacuated, and for how long.
  nlohmann::json Evacuated = nlohmann::json::object();
  for (const zone_state &Zone : Impl->AgentTable.zones())
    if (Zone.EvacuatedSince)
      Evacuated[Zone.Name] =
          std::chrono::duration<double>(Now - *Zone.EvacuatedSince).count();
  nlohmann::json Agents = nlohmann::json::array();
  for (std::size_t I = 0; I < Impl->AgentTable.size(); ++I)
    Agents.push_back(Impl->agentJson(Impl->AgentTable.at(I), Now));
  return nlohmann::json{{"sure", Impl->isKnowledgeCurrent(Now)},
                        {"routes", Impl->Routes.size()},
                        {"service_levels", Impl->Settings.StatesLevels},
                        {"admission", Impl->admissionJson(Now)},
                        {"agents", Agents},
                        {"evacuated_zones", Evacuated},
                        {"evacuations_version", Impl->EvacuationsVersion}}
      .dump();
}

} // namespace marjoramrail
