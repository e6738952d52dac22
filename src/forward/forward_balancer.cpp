#include "forward/forward_balancer_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;

namespace {

/// A list is only called whole if what it rests on is known to be younger. New
/// services and targets wait SettleTime before they get flows; the difference
/// covers a packet's way and a late timer.
constexpr duration SureFor = SettleTime - std::chrono::milliseconds(100);

/// How often old flows and agents are looked through, in ticks: every ten
/// seconds.
constexpr int TicksPerSweep = 50;

/// A flow may have been opened just before its agent fell silent, and its
/// caller send for some seconds more.
constexpr duration LostSlack = std::chrono::seconds(10);

} // namespace

bool forward_balancer::impl::isSure(instant Now) const {
  return KnownAsOf && Now - *KnownAsOf <= SureFor;
}

/// Only on fresh knowledge: an agent that joined a moment ago is not in an old
/// list.
void forward_balancer::impl::tellUnlisted(const endpoint &Agent, instant Now) {
  if (!isSure(Now))
    return;
  std::array<std::uint8_t, UnlistedNoticeBytes> Notice;
  encodeUnlistedNotice(Notice);
  Hooks.SendToAgent(Agent, Notice);
}

/// An agent that was restarted while the store is away cannot read its own
/// entry, and gives its target no new flows before it knows that everyone has
/// it. A balancer that has had the entry for SettleTime is the proof.
///
/// After a loss of all power no balancer has had it for so long, and each agent
/// is on its own with a store that has just come back: at the pace of their
/// retries the first one to be served would take every flow of the site, and
/// its target refuse most. A balancer's first list is the proof for all who
/// stand in it, for a datagram each.
void forward_balancer::impl::tellListed(const agent_state &Agent, instant Now) {
  if (Agent.Draining)
    return;
  std::array<std::uint8_t, ListedNoticeBytes> Notice;
  if (Now - Agent.ListedSince >= SettleTime)
    encodeListedNotice(Agent.Service, Notice);
  else if (Agent.Found)
    encodeFoundNotice(Agent.Service, Notice);
  else
    return;
  Hooks.SendToAgent(Agent.Agent, Notice);
}

/// VMs die every day and take their entries with them to no one. Left in the
/// store, each would stand at the end of every list for ever, and no flow that
/// is lost could be told so, because the dead one never declines.
void forward_balancer::impl::tellLost(instant Now) {
  if (!Hooks.OnAgentLost)
    return;
  for (std::size_t I = 0; I < Roster.size(); ++I) {
    const agent_state &Agent = Roster.at(I);
    if (Agent.Suspect && Agent.isOwnZone() &&
        Now - Agent.SuspectSince > Settings.FlowLife + LostSlack)
      Hooks.OnAgentLost(Agent.Agent, Now - Agent.SuspectSince);
  }
}

void forward_balancer::impl::tell(event_kind What, std::string_view Why,
                                  const flow_key &Flow, const endpoint &Agent,
                                  instant Now, double Load) {
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
  tell(event_kind::FlowRefused, Why, Segment.Head.Flow, {}, Now);
  Hooks.SendToCaller(Segment.Head.Flow.Caller, {Buffer.data(), Size});
  return Outcome;
}

forward_outcome forward_balancer::impl::route(const segment &Segment,
                                              bytes_view Bytes, instant Now) {
  const auto Found = Routes.find(Segment.Head.Flow.Service);
  if (Found == Routes.end()) {
    if (!isSure(Now))
      return forward_outcome::Unsure;
    return refuse(Segment, forward_outcome::NoRoute, "no route", Now);
  }
  if (Segment.Head.opensFlow())
    return open(Found->second, Segment, Bytes, Now);
  return follow(Found->second, Segment, Bytes, Now);
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

void forward_balancer::setRoutes(const std::vector<route_rule> &Rules) {
  Impl->Routes.clear();
  changeRoutes({Rules, {}});
}

static route_state stateOf(const route_rule &Rule) {
  route_state State;
  for (const service_share &Share : Rule.Shares) {
    State.Shares.push_back({serviceNumber(Share.Service), Share.Weight});
    State.TotalWeight += Share.Weight;
  }
  for (const std::string &Service : Rule.OwnerServices)
    State.Holders.push_back(serviceNumber(Service));
  return State;
}

void forward_balancer::changeRoutes(const rule_changes &Changes) {
  for (const endpoint &Address : Changes.Removed)
    Impl->Routes.erase(Address);
  for (const route_rule &Rule : Changes.Changed)
    Impl->Routes[Rule.Address] = stateOf(Rule);
}

void forward_balancer::setTargets(const std::vector<target_entry> &Targets,
                                  instant Now) {
  const bool IsFirst = Impl->Roster.size() == 0;
  Impl->Roster.set(Targets, Now);
  // Agents that have started with this balancer may wait for its word.
  if (IsFirst)
    Impl->review(Now);
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
      Impl->continueWalk(Routed, Now);
    return;
  }
  owner_notice Notice;
  if (decodeOwnerNotice(Bytes, Notice) != packet_fault::None)
    return;
  ++Impl->Counters.Notices;
  Impl->Memory.note(Notice.Flow, {Notice.Owner, /*IsConfirmed=*/true}, Now);
}

void forward_balancer::impl::onReport(const load_report &Report, instant Now) {
  agent_state *Agent = Roster.noteReport(Report, Now);
  if (!Agent)
    return tellUnlisted(Report.Agent, Now);
  if (!Report.Admitting)
    tellListed(*Agent, Now);
}

/// Finds those that do not answer any more, and asks those that were not heard.
void forward_balancer::impl::review(instant Now) {
  std::vector<endpoint> Ask;
  Roster.review(Now, Ask, [&](const agent_state &Agent) {
    ++Counters.Suspicions;
    tell(event_kind::AgentSuspected, "no report since it was sent something",
         {}, Agent.Agent, Now);
  });
  for (const endpoint &Agent : Ask)
    sendQuestion(Agent, spanFor(Agent));
}

/// New flows are placed in the own zone by the latest loads; of others it is
/// enough to know that they are there. Were those to go on reporting, after a
/// loss of power all agents of a site would report to all balancers.
report_span forward_balancer::impl::spanFor(const endpoint &Agent) {
  const agent_state *State = Roster.find(Agent);
  return State && State->isOwnZone() ? report_span::Lasting : report_span::Once;
}

void forward_balancer::impl::sendQuestion(const endpoint &Agent,
                                          report_span Span) {
  std::array<std::uint8_t, LoadQuestionBytes> Question;
  encodeLoadQuestion(Span, Question);
  ++Counters.Questions;
  Hooks.SendToAgent(Agent, Question);
}

void forward_balancer::impl::ask(const endpoint &Agent, instant Now) {
  Roster.noteAsked(Agent, Now);
  sendQuestion(Agent, report_span::Once);
}

void forward_balancer::tick(instant Now) {
  Impl->review(Now);
  Impl->Roster.renewOrder(Now);
  Impl->Walks.forgetOld(Now);
  if (++Impl->Ticks % TicksPerSweep != 0)
    return;
  Impl->Memory.forgetOld(Now);
  Impl->tellLost(Now);
}

const forward_balancer_counters &forward_balancer::counters() const {
  return Impl->Counters;
}

std::size_t forward_balancer::flows() const { return Impl->Memory.size(); }

std::string forward_balancer::statusJson(instant Now) const {
  nlohmann::json Agents = nlohmann::json::array();
  for (std::size_t I = 0; I < Impl->Roster.size(); ++I) {
    const agent_state &Agent = Impl->Roster.at(I);
    Agents.push_back({{"agent", toText(Agent.Agent)},
                      {"admitting", Agent.Report.Admitting},
                      {"suspect", Agent.Suspect},
                      {"flows", Agent.Report.Flows},
                      {"busy", Agent.Report.Busy}});
  }
  return nlohmann::json{{"sure", Impl->isSure(Now)},
                        {"routes", Impl->Routes.size()},
                        {"agents", Agents}}
      .dump();
}

} // namespace marjoramrail
