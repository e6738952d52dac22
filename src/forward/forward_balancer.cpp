#include "forward/flow_memory.h"
#include "forward/holder_list.h"

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

/// Sites grow and shrink slowly. From 700 balancers of a zone these are 36 bytes
/// each, 0.4 KB/s to every agent.
constexpr duration SizeEvery = std::chrono::minutes(1);

struct weighted_service {
  service_id Service{};
  std::uint32_t Weight = 0;
};

struct route_state {
  std::vector<weighted_service> Shares;
  std::uint64_t TotalWeight = 0;
  std::vector<service_id> Holders;
};

} // namespace

struct forward_balancer::impl {
  impl(const forward_balancer_settings &Settings, segment_codec Codec,
       forward_balancer_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)),
        Roster(Settings.Zone), Memory(Settings.MaxFlows) {}

  forward_outcome route(const segment &Segment, bytes_view Bytes, instant Now);
  forward_outcome open(const route_state &Route, const segment &Segment,
                       bytes_view Bytes, instant Now);
  forward_outcome follow(const route_state &Route, const segment &Segment,
                         bytes_view Bytes, instant Now);
  std::optional<std::size_t> place(const route_state &Route,
                                   const segment &Segment,
                                   std::optional<endpoint> Avoid, instant Now);
  std::optional<std::size_t> placeAt(service_id Service, const flow_key &Flow,
                                     std::optional<endpoint> Avoid,
                                     instant Now);
  std::vector<service_id> servicesInTurn(const route_state &Route,
                                         const flow_key &Flow) const;
  placing_view viewOf(const agent_state &Agent, std::optional<endpoint> Avoid,
                      instant Now) const;
  void addSubstitutes(const agent_state &Chosen, const flow_key &Flow,
                      holder_list &List);
  void send(const holder_list &List, service_id Service,
            std::initializer_list<routed_flag> Flags, std::uint64_t Version,
            bytes_view Bytes, instant Now);
  void collectHolders(const route_state &Route);
  void sendToHolders(const route_state &Route,
                     const std::optional<endpoint> &First, std::size_t Named,
                     bool Sure, bytes_view Bytes, instant Now);
  void continueWalk(const routed_packet &Routed, instant Now);
  forward_outcome refuse(const segment &Segment, forward_outcome Outcome,
                         std::string_view Why, instant Now);
  bool isSure(instant Now) const;
  void onReport(const load_report &Report, instant Now);
  void tellUnlisted(const endpoint &Agent, instant Now);
  void tellListed(const agent_state &Agent, instant Now);
  void tellLost(instant Now);
  void tell(event_kind What, std::string_view Why, const flow_key &Flow,
            const endpoint &Agent, instant Now, double Load = 0);

  forward_balancer_settings Settings;
  segment_codec Codec;
  forward_balancer_hooks Hooks;
  agent_roster Roster;
  holder_order Order{Roster};
  flow_memory Memory;
  /// Scratch space of one packet's decision.
  std::vector<placing_view> Views;
  std::vector<std::size_t> Holders;
  placement Placement;
  std::map<endpoint, route_state> Routes;
  std::optional<instant> KnownAsOf;
  forward_balancer_counters Counters;
  int Ticks = 0;
};

//===----------------------------------------------------------------------===//
// New flows
//===----------------------------------------------------------------------===//

placing_view forward_balancer::impl::viewOf(const agent_state &Agent,
                                            std::optional<endpoint> Avoid,
                                            instant Now) const {
  placing_view View;
  View.OwnZone = Agent.isOwnZone();
  View.Reported =
      Agent.ReportedAt && !Agent.isSilentFor(agent_roster::DoubtAfter, Now);
  View.Admitting = Agent.Report.Admitting && !Agent.Draining;
  View.Suspect = Agent.Suspect ||
                 Agent.isSilentFor(agent_roster::SuspectAfter, Now) ||
                 !Agent.Report.Answering || Avoid == Agent.Agent;
  View.Slots = Agent.Report.Slots;
  View.Flows = Agent.Report.Flows;
  View.Placed = Agent.Placed;
  View.Active = Agent.Report.Active;
  View.Busy = Agent.Report.Busy;
  View.Latency = Agent.Report.Latency;
  View.Warmup = Agent.Report.Warmup;
  return View;
}

std::optional<std::size_t>
forward_balancer::impl::placeAt(service_id Service, const flow_key &Flow,
                                std::optional<endpoint> Avoid, instant Now) {
  const std::vector<std::size_t> &Agents = Roster.ofService(Service);
  Views.clear();
  for (const std::size_t Index : Agents)
    Views.push_back(viewOf(Roster.at(Index), Avoid, Now));
  const auto Chosen = Placement.choose(Views, Order.forFlow(Agents, Flow));
  if (!Chosen)
    return std::nullopt;
  return Agents[*Chosen];
}

/// The service that the weights give the flow, then the others: a service
/// without targets must not cost callers their flow while another one may take
/// it.
std::vector<service_id>
forward_balancer::impl::servicesInTurn(const route_state &Route,
                                       const flow_key &Flow) const {
  std::vector<service_id> Turn;
  if (Route.TotalWeight > 0) {
    std::uint64_t Point = hashOf(Flow, 1) % Route.TotalWeight;
    for (const weighted_service &Share : Route.Shares) {
      if (Point < Share.Weight) {
        Turn.push_back(Share.Service);
        break;
      }
      Point -= Share.Weight;
    }
  }
  for (const weighted_service &Share : Route.Shares)
    if (Share.Weight > 0 &&
        std::find(Turn.begin(), Turn.end(), Share.Service) == Turn.end())
      Turn.push_back(Share.Service);
  return Turn;
}

std::optional<std::size_t>
forward_balancer::impl::place(const route_state &Route, const segment &Segment,
                              std::optional<endpoint> Avoid, instant Now) {
  for (const service_id Service : servicesInTurn(Route, Segment.Head.Flow))
    if (const auto Chosen = placeAt(Service, Segment.Head.Flow, Avoid, Now))
      return Chosen;
  return std::nullopt;
}

forward_outcome forward_balancer::impl::open(const route_state &Route,
                                             const segment &Segment,
                                             bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  // A caller sends its SYN again when nobody answered: then whoever got the
  // first one is the last to get this one.
  const auto Before = Memory.find(Flow, Now);
  const auto Chosen = place(Route, Segment, Before, Now);
  if (!Chosen) {
    if (Route.Shares.empty() || !isSure(Now))
      return forward_outcome::Unsure;
    return refuse(Segment, forward_outcome::NoTarget, "no target admits", Now);
  }
  agent_state &Agent = Roster.at(*Chosen);
  ++Agent.Placed;
  Memory.note(Flow, Agent.Agent, Now);
  holder_list List(Bytes.size());
  List.add(Agent.Agent);
  addSubstitutes(Agent, Flow, List);
  tell(event_kind::FlowRouted, Before ? "again" : "new", Flow, Agent.Agent, Now,
       static_cast<double>(Agent.Report.Flows + Agent.Placed));
  send(List, Agent.Service, {}, Hooks.Clock ? Hooks.Clock() : 0, Bytes, Now);
  return forward_outcome::Placed;
}

/// Who else may take the flow if the chosen one does not: its own zone first,
/// in the flow's own order. In one order for all flows, everything that a full
/// target declines would fall upon the same next one.
void forward_balancer::impl::addSubstitutes(const agent_state &Chosen,
                                            const flow_key &Flow,
                                            holder_list &List) {
  const auto &Agents = Roster.ofService(Chosen.Service);
  const std::vector<std::size_t> &Positions = Order.forFlow(Agents, Flow);
  for (const bool SameZone : {true, false})
    for (const std::size_t Position : Positions) {
      const agent_state &Other = Roster.at(Agents[Position]);
      const bool IsUsable = Other.Report.Admitting && !Other.Draining &&
                            !Other.Suspect && Other.Agent != Chosen.Agent;
      if (IsUsable && (Other.ZoneOrder == Chosen.ZoneOrder) == SameZone)
        List.add(Other.Agent);
    }
}

//===----------------------------------------------------------------------===//
// Packets of flows
//===----------------------------------------------------------------------===//

forward_outcome forward_balancer::impl::follow(const route_state &Route,
                                               const segment &Segment,
                                               bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  auto Remembered = Memory.find(Flow, Now);
  // An agent that has left the store's list took its flows along; one that has
  // not got there yet may still name itself to a balancer that is behind.
  if (Remembered && !Roster.find(*Remembered) && isSure(Now)) {
    Memory.forget(Flow);
    Remembered.reset();
  }
  collectHolders(Route);
  if (Holders.empty() && !Remembered)
    return forward_outcome::Unsure;
  // A flow whose holder is remembered needs no order of its own behind it,
  // unless the walk may take several lists, which must agree.
  const bool TakesSeveral = Holders.size() > ownersThatFit(Bytes.size());
  Order.sortForWalk(Holders, Flow, !Remembered || TakesSeveral);
  sendToHolders(Route, Remembered, /*Named=*/0, isSure(Now), Bytes, Now);
  return Remembered ? forward_outcome::SentByMemory : forward_outcome::Sent;
}

/// Everyone who may hold a flow of \p Route.
void forward_balancer::impl::collectHolders(const route_state &Route) {
  Holders.clear();
  for (const service_id Service : Route.Holders) {
    const auto &Members = Roster.ofService(Service);
    Holders.insert(Holders.end(), Members.begin(), Members.end());
  }
}

/// Sends to those of Order that come after \p Named. \p Sure: nobody was left
/// out up to there, and what is known now is fresh.
void forward_balancer::impl::sendToHolders(const route_state &Route,
                                           const std::optional<endpoint> &First,
                                           std::size_t Named, bool Sure,
                                           bytes_view Bytes, instant Now) {
  holder_list List(Bytes.size());
  const auto Rest = Order.list(Named, First, List);
  if (List.empty())
    return;
  const service_id Service =
      Route.Holders.empty() ? service_id{} : Route.Holders.front();
  if (Rest && Sure)
    send(List, Service, {routed_flag::Continues, routed_flag::WholeSoFar},
         encodeCursor(*Rest), Bytes, Now);
  else if (Rest)
    send(List, Service, {routed_flag::Continues}, encodeCursor(*Rest), Bytes,
         Now);
  else if (Sure)
    send(List, Service, {routed_flag::Whole}, 0, Bytes, Now);
  else
    send(List, Service, {}, 0, Bytes, Now);
}

/// All in a list have declined, and the list was cut to fit into a datagram.
/// Without this a balancer that has not seen a flow before could never reach an
/// owner beyond the first list: the caller's packets would all end there, and
/// its requests time out although the owner is well.
void forward_balancer::impl::continueWalk(const routed_packet &Routed,
                                          instant Now) {
  segment Segment;
  if (!Routed.has(routed_flag::Continues) ||
      !Codec.Parse(Routed.Packet, Segment) || Segment.Head.opensFlow())
    return;
  const auto Found = Routes.find(Segment.Head.Flow.Service);
  if (Found == Routes.end())
    return;
  ++Counters.WalksContinued;
  collectHolders(Found->second);
  Order.sortForWalk(Holders, Segment.Head.Flow, /*OwnOrder=*/true);
  const walk_cursor Cursor = decodeCursor(Routed.Version);
  const bool Sure = Routed.has(routed_flag::WholeSoFar) && isSure(Now) &&
                    Order.beginsAs(Cursor);
  sendToHolders(Found->second, std::nullopt, Cursor.Named, Sure, Routed.Packet,
                Now);
}

void forward_balancer::impl::send(const holder_list &List, service_id Service,
                                  std::initializer_list<routed_flag> Flags,
                                  std::uint64_t Version, bytes_view Bytes,
                                  instant Now) {
  routed_packet Routed;
  Routed.Version = Version;
  Routed.Service = Service;
  Routed.Balancer = Settings.Self;
  Routed.Count = static_cast<std::uint8_t>(List.size());
  std::copy(List.begin(), List.end(), Routed.Owners.begin());
  for (const routed_flag Flag : Flags)
    Routed.Flags |= static_cast<std::uint8_t>(Flag);
  Routed.Packet = Bytes;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return;
  Hooks.SendToAgent(List.front(), {Buffer.data(), Size});
  Roster.noteSent(List.front(), Now);
}

//===----------------------------------------------------------------------===//
// What cannot be sent on
//===----------------------------------------------------------------------===//

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
void forward_balancer::impl::tellListed(const agent_state &Agent, instant Now) {
  if (Agent.Draining || Now - Agent.ListedSince < SettleTime)
    return;
  std::array<std::uint8_t, ListedNoticeBytes> Notice;
  encodeListedNotice(Agent.Service, Notice);
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
  for (const route_rule &Rule : Rules) {
    route_state &State = Impl->Routes[Rule.Address];
    for (const service_share &Share : Rule.Shares) {
      State.Shares.push_back({serviceNumber(Share.Service), Share.Weight});
      State.TotalWeight += Share.Weight;
    }
    for (const std::string &Service : Rule.Holders)
      State.Holders.push_back(serviceNumber(Service));
  }
}

void forward_balancer::setTargets(const std::vector<target_entry> &Targets,
                                  instant Now) {
  Impl->Roster.set(Targets, Now);
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
  Impl->Memory.note(Notice.Flow, Notice.Owner, Now);
}

void forward_balancer::impl::onReport(const load_report &Report, instant Now) {
  agent_state *Agent = Roster.noteReport(Report, Now);
  if (!Agent)
    return tellUnlisted(Report.Agent, Now);
  if (!Report.Admitting)
    tellListed(*Agent, Now);
  if (Agent->SizeToldAt && Now - *Agent->SizeToldAt < SizeEvery)
    return;
  Agent->SizeToldAt = Now;
  std::array<std::uint8_t, SiteSizeBytes> Notice;
  encodeSiteSize(static_cast<std::uint32_t>(Roster.size()), Notice);
  Hooks.SendToAgent(Agent->Agent, Notice);
}

void forward_balancer::tick(instant Now) {
  std::vector<endpoint> Ask;
  Impl->Roster.review(Now, Ask, [&](const agent_state &Agent) {
    ++Impl->Counters.Suspicions;
    Impl->tell(event_kind::AgentSuspected, "no report since a packet was sent",
               {}, Agent.Agent, Now);
  });
  std::array<std::uint8_t, LoadQuestionBytes> Question;
  encodeLoadQuestion(Question);
  for (const endpoint &Agent : Ask) {
    ++Impl->Counters.Questions;
    Impl->Hooks.SendToAgent(Agent, Question);
  }
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
