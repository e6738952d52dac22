#include "agent/flow_table.h"
#include "agent/generation_gate.h"
#include "agent/load_share.h"
#include "agent/neighbour_watch.h"
#include "agent/peer_watch.h"
#include "marjoramrail/agent.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

namespace {

/// SYNs come again after 1, 3 and 7 s; all of these go the same way.
constexpr duration HandOnLife = std::chrono::seconds(10);
/// A flood of SYNs must not fill the memory; beyond it the way is chosen anew.
constexpr std::size_t MaxHandOns = 65536;
constexpr duration ReportPeriod = std::chrono::seconds(1);
/// A missing acknowledgement of a generation is asked for this often.
constexpr duration AskPeriod = std::chrono::milliseconds(200);
/// One answer to passed-on packets serves all of this time.
constexpr duration HeardPeriod = std::chrono::milliseconds(50);
/// An agent that has just started may hold an old view; its peers tell it
/// within a report's period if they know a newer one.
constexpr duration StartBound = std::chrono::seconds(3);

bool takesNewFlows(const target &Target) {
  return Target.State == target_state::Cold ||
         Target.State == target_state::Ready;
}

/// One generation's choices regardless of their states: who may hold flows
/// that were opened under it.
service_router routerOf(const service_view &View, std::size_t Generation) {
  service_view One = View;
  One.Generations = {View.Generations[Generation]};
  for (target &Target : One.Targets)
    Target.State = target_state::Ready;
  return service_router(One);
}

bool visited(const routed_packet &Routed, std::size_t Count,
             const endpoint &Agent) {
  const auto End = Routed.Owners.begin() + std::ptrdiff_t(Count);
  return std::find(Routed.Owners.begin(), End, Agent) != End;
}

bool append(routed_packet &Routed, const endpoint &Agent) {
  if (Routed.Count >= MaxRoutedOwners || visited(Routed, Routed.Count, Agent))
    return false;
  Routed.Owners[Routed.Count++] = Agent;
  return true;
}

void mark(routed_packet &Routed, routed_flag Flag) {
  Routed.Flags |= static_cast<std::uint8_t>(Flag);
}

void unmark(routed_packet &Routed, routed_flag Flag) {
  Routed.Flags &= static_cast<std::uint8_t>(~static_cast<unsigned>(Flag));
}

struct hand_on {
  endpoint To;
  instant Until;
};

} // namespace

struct flow_owner::impl {
  flow_owner_settings Settings;
  flow_owner_hooks Hooks;
  flow_table Table;
  generation_gate Gate;
  load_share Share;
  peer_watch Watch;
  neighbour_watch Ring;

  std::optional<service_view> View;
  /// All generations at once, and each for itself, newest first.
  std::optional<service_router> Router;
  std::vector<service_router> PerGeneration;
  std::vector<endpoint> Peers;
  std::unordered_map<flow_key, hand_on, flow_key_hash> HandOns;
  std::map<endpoint, instant> LastHeardSent;

  bool IsDraining = false;
  instant FirstView;
  instant ViewHeard;
  bool PeerHeard = false;
  std::uint64_t NewestKnownToPeers = 0;
  instant LastReports;
  instant LastAsked;
  std::size_t NextReport = 0;
  std::array<std::uint64_t, PacketReasons> Counts{};

  impl(const flow_owner_settings &Settings, flow_owner_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)), Gate(Settings.Host),
        Share(Settings.Host, Settings.MaxSharePercent) {}

  void takeView(const service_view &Newer, instant Now);
  bool isConfirmed(instant Now) const;
  std::uint64_t newestGeneration() const;
  const target *find(const endpoint &Agent) const;
  const target *find(host_id Host) const;

  packet_decision decide(const routed_packet &Routed, const tcp_packet &Packet,
                         instant Now);
  packet_decision decideSyn(const routed_packet &Routed,
                            const tcp_packet &Packet, instant Now);
  std::optional<packet_decision> repeatHandOn(const routed_packet &Routed,
                                              const tcp_packet &Packet,
                                              instant Now);
  packet_decision lastResort(const routed_packet &Routed,
                             const tcp_packet &Packet,
                             const std::vector<endpoint> &Others, instant Now);
  packet_decision handOn(const routed_packet &Routed, const tcp_packet &Packet,
                         const std::vector<endpoint> &Next,
                         packet_reason Reason, instant Now);
  std::vector<endpoint> candidates(const flow_key &Flow, std::size_t Generation,
                                   bool &Included) const;
  packet_decision passOn(routed_packet Routed, const tcp_packet &Packet,
                         instant Now);
  bool skipToNext(routed_packet &Routed, bool &SkippedSilent) const;
  bool extend(routed_packet &Routed, const flow_key &Flow) const;
  packet_decision endOfList(const routed_packet &Routed,
                            const tcp_packet &Packet, bool SkippedSilent,
                            instant Now) const;

  std::size_t neededPosition(const flow_key &Flow) const;
  std::uint64_t oldestNeeded() const;

  peer_message message(peer_message_kind Kind) const;
  void answer(const endpoint &To, instant Now);
  void answerProbe(const peer_message &Probe, const endpoint &From) const;
  void takeReport(const peer_message &Message, const endpoint &From,
                  instant Now);
  void takeProbeFor(const peer_message &Message, const endpoint &From);
  void takeHeard(const peer_message &Message, const endpoint &From);
  void sendReports(instant Now);
  void askForWords(instant Now);
  void sendProbes(instant Now);
  void probeNeighbour(instant Now);
  void tellOfNeighbour(bool WasSuspect, instant Now);
  void sendReport(const endpoint &To, bool ReplyWanted) const;
};

//===----------------------------------------------------------------------===//
// The view
//===----------------------------------------------------------------------===//

void flow_owner::impl::takeView(const service_view &Newer, instant Now) {
  if (View && Newer.Version < View->Version)
    return;
  if (!View)
    FirstView = Now;
  ViewHeard = Now;
  if (View && Newer.Version == View->Version)
    return;
  View = Newer;
  Router.emplace(Newer);
  PerGeneration.clear();
  for (std::size_t I = 0; I < Newer.Generations.size(); ++I)
    PerGeneration.push_back(routerOf(Newer, I));
  Peers.clear();
  for (const target &Target : Newer.Targets)
    if (Target.Id != Settings.Host && Target.State != target_state::Down)
      Peers.push_back(Target.Agent);
  Gate.takeView(Newer);
  Share.takeView(Newer);
  Watch.setPeers(Peers);
  Ring.takeView(Newer, Settings.Host);
  // Peers that wait for this agent's word should not wait for its next turn.
  for (const endpoint &Peer : Peers)
    sendReport(Peer, false);
}

/// Whether "nobody owns this flow" may be said aloud. A reset on the ground of
/// an old view would end a healthy flow; a dropped packet only delays one.
bool flow_owner::impl::isConfirmed(instant Now) const {
  if (!View || Now - ViewHeard > Settings.ViewBound)
    return false;
  if (NewestKnownToPeers > newestGeneration())
    return false;
  return Peers.empty() || PeerHeard || Now - FirstView >= StartBound;
}

std::uint64_t flow_owner::impl::newestGeneration() const {
  return View && !View->Generations.empty() ? View->Generations[0].Number : 0;
}

const target *flow_owner::impl::find(const endpoint &Agent) const {
  for (const target &Target : View->Targets)
    if (Target.Agent == Agent)
      return &Target;
  return nullptr;
}

const target *flow_owner::impl::find(host_id Host) const {
  for (const target &Target : View->Targets)
    if (Target.Id == Host)
      return &Target;
  return nullptr;
}

//===----------------------------------------------------------------------===//
// Packets
//===----------------------------------------------------------------------===//

packet_decision flow_owner::impl::decide(const routed_packet &Routed,
                                         const tcp_packet &Packet,
                                         instant Now) {
  if (Routed.Service != Settings.Service)
    return {packet_action::Drop, packet_reason::WrongService, {}, false};
  if (!View)
    return {packet_action::Drop, packet_reason::NoView, {}, false};
  if (Packet.Flow.Service != View->Address)
    return {packet_action::Drop, packet_reason::WrongAddress, {}, false};
  const flow_match Match = Table.match(Packet, Now);
  if (Match == flow_match::Ours)
    return {packet_action::Deliver, packet_reason::Owned, {}, false};
  packet_decision Decision = Packet.opensFlow() ? decideSyn(Routed, Packet, Now)
                                                : passOn(Routed, Packet, Now);
  Decision.ForgetFlow = Match == flow_match::CompletedElsewhere;
  return Decision;
}

/// The agents that may take a new flow under \p Generation, in the flow's
/// order, this one left out; \p Included tells whether it is among them.
std::vector<endpoint> flow_owner::impl::candidates(const flow_key &Flow,
                                                   std::size_t Generation,
                                                   bool &Included) const {
  std::vector<endpoint> Others;
  Included = false;
  for (const std::uint16_t Position : PerGeneration[Generation].choices(Flow)) {
    const target &Target = View->Targets[Position];
    if (Target.Id == Settings.Host)
      Included = true;
    else if (takesNewFlows(Target) && !Watch.isSuspect(Target.Agent))
      Others.push_back(Target.Agent);
  }
  return Others;
}

packet_decision flow_owner::impl::decideSyn(const routed_packet &Routed,
                                            const tcp_packet &Packet,
                                            instant Now) {
  if (!Routed.has(routed_flag::LastResort))
    if (auto Again = repeatHandOn(Routed, Packet, Now))
      return *Again;
  if (PerGeneration.empty())
    return passOn(Routed, Packet, Now);
  if (Routed.Position == 0)
    Share.noteOffered();
  const std::size_t Open = Gate.newestOpen();
  bool Included = false;
  const std::vector<endpoint> Others = candidates(Packet.Flow, Open, Included);
  std::vector<endpoint> Next = Others;
  std::erase_if(Next, [&](const endpoint &Agent) {
    return visited(Routed, std::min(Routed.Position + 1, int(Routed.Count)),
                   Agent);
  });
  const bool MayTake = Included && !IsDraining;
  const bool MustTake = Next.empty() || Routed.has(routed_flag::LastResort);
  if (MayTake && (MustTake || Share.mayAccept(Table.live(), Now))) {
    Table.open(Packet, Now);
    Share.noteAccepted();
    return {packet_action::Deliver, packet_reason::Accepted, {}, false};
  }
  if (Next.empty())
    return lastResort(Routed, Packet, Others, Now);
  packet_reason Reason = packet_reason::OverShare;
  if (IsDraining)
    Reason = packet_reason::Draining;
  else if (!Included)
    Reason = packet_reason::GenerationNotOpen;
  return handOn(Routed, Packet, Next, Reason, Now);
}

/// The end of a SYN's way at an agent that cannot take it. Those before it may
/// have had too much and taken this one for able, not knowing yet that it
/// drains: the caller would see its connection refused by a service that has
/// room. So they get the SYN back, one after the other and once each, and must
/// take it.
packet_decision
flow_owner::impl::lastResort(const routed_packet &Routed,
                             const tcp_packet &Packet,
                             const std::vector<endpoint> &Others, instant Now) {
  routed_packet Back = Routed;
  const auto End = Back.Owners.begin() + Back.Count;
  const auto Next =
      std::find_if(Others.begin(), Others.end(), [&](const endpoint &Agent) {
        return std::count(Back.Owners.begin(), End, Agent) <= 1;
      });
  if (Next == Others.end() || Back.Count == MaxRoutedOwners)
    return passOn(Routed, Packet, Now);
  mark(Back, routed_flag::LastResort);
  Back.Position = Back.Count;
  Back.Owners[Back.Count++] = *Next;
  Watch.passedOn(*Next, Now);
  return {packet_action::PassOn, packet_reason::Draining, Back, false};
}

/// A SYN that is resent must not be decided anew: loads have changed by then,
/// two agents would answer, and the caller would have to sort it out.
std::optional<packet_decision>
flow_owner::impl::repeatHandOn(const routed_packet &Routed,
                               const tcp_packet &Packet, instant Now) {
  const auto Found = HandOns.find(Packet.Flow);
  if (Found == HandOns.end())
    return std::nullopt;
  const endpoint To = Found->second.To;
  const target *Target = find(To);
  const bool Usable = Found->second.Until > Now && Target &&
                      Target->State != target_state::Down &&
                      !Watch.isSuspect(To) &&
                      !visited(Routed, Routed.Position, To);
  if (!Usable) {
    HandOns.erase(Found);
    return std::nullopt;
  }
  return handOn(Routed, Packet, {To}, packet_reason::HandedOnAgain, Now);
}

packet_decision flow_owner::impl::handOn(const routed_packet &Routed,
                                         const tcp_packet &Packet,
                                         const std::vector<endpoint> &Next,
                                         packet_reason Reason, instant Now) {
  packet_decision Decision{packet_action::PassOn, Reason, Routed, false};
  routed_packet &Out = Decision.Routed;
  // What has been visited stays in the list, so that the packet cannot return.
  Out.Count = static_cast<std::uint8_t>(
      std::min(Out.Position + 1, int(MaxRoutedOwners) - 1));
  Out.Owners[Out.Count - 1] = Settings.Self;
  for (const endpoint &Agent : Next)
    append(Out, Agent);
  Out.Position = static_cast<std::uint8_t>(Out.Position + 1);
  if (Out.Position >= Out.Count)
    return endOfList(Routed, Packet, false, Now);
  mark(Out, routed_flag::HandedOn);
  if (HandOns.size() < MaxHandOns)
    HandOns.try_emplace(Packet.Flow, hand_on{Next.front(), Now + HandOnLife});
  Watch.passedOn(Out.Owners[Out.Position], Now);
  return Decision;
}

/// Moves on to the next agent in the list that is worth a try. Silent ones move
/// to the list's end instead of out of it: who of the others suspects wrongly
/// costs the packet a detour then, where the flow would be reset by the last
/// agent, which knows nothing of the suspicion.
bool flow_owner::impl::skipToNext(routed_packet &Routed,
                                  bool &SkippedSilent) const {
  const auto Left = Routed.Owners.begin() + Routed.Position + 1;
  const auto End = Routed.Owners.begin() + Routed.Count;
  if (Left < End)
    std::stable_partition(Left, End, [this](const endpoint &Agent) {
      return !Watch.isSuspect(Agent);
    });
  while (Routed.Position + 1 < Routed.Count) {
    const endpoint &Agent = Routed.Owners[Routed.Position + 1];
    const target *Target = find(Agent);
    const bool Usable = Agent != Settings.Self &&
                        !(Target && Target->State == target_state::Down);
    if (Usable && Watch.isSuspect(Agent)) {
      SkippedSilent = true;
      return false;
    }
    ++Routed.Position;
    if (Usable)
      return true;
  }
  return false;
}

/// Adds the owners that a newer view knows. The packet then counts as routed by
/// that view, so agents that have it too do not extend it again.
bool flow_owner::impl::extend(routed_packet &Routed,
                              const flow_key &Flow) const {
  if (View->Version <= Routed.Version)
    return false;
  bool Added = false;
  for (const std::uint16_t Position : Router->owners(Flow)) {
    const target &Target = View->Targets[Position];
    if (Target.Id != Settings.Host)
      Added |= append(Routed, Target.Agent);
  }
  Routed.Version = View->Version;
  unmark(Routed, routed_flag::Stale);
  if (Added)
    mark(Routed, routed_flag::Extended);
  return Added;
}

packet_decision flow_owner::impl::passOn(routed_packet Routed,
                                         const tcp_packet &Packet,
                                         instant Now) {
  bool SkippedSilent = false;
  packet_reason Reason = packet_reason::NotOwned;
  bool Found = skipToNext(Routed, SkippedSilent);
  if (!Found && extend(Routed, Packet.Flow)) {
    Reason = packet_reason::Extended;
    Found = skipToNext(Routed, SkippedSilent);
  }
  if (!Found)
    return endOfList(Routed, Packet, SkippedSilent, Now);
  Watch.passedOn(Routed.Owners[Routed.Position], Now);
  return {packet_action::PassOn, Reason, Routed, false};
}

packet_decision flow_owner::impl::endOfList(const routed_packet &Routed,
                                            const tcp_packet &Packet,
                                            bool SkippedSilent,
                                            instant Now) const {
  const auto Drop = [](packet_reason Reason) {
    return packet_decision{packet_action::Drop, Reason, {}, false};
  };
  const auto Reset = [](packet_reason Reason) {
    return packet_decision{packet_action::Reset, Reason, {}, false};
  };
  if (Packet.Rst)
    return Drop(packet_reason::ResetUnowned);
  if (!isConfirmed(Now) || Routed.has(routed_flag::Stale))
    return Drop(packet_reason::Unconfirmed);
  if (Watch.isLinkSuspect())
    return Drop(packet_reason::LinkSuspect);
  if (SkippedSilent)
    return Reset(packet_reason::OwnerSilent);
  return Reset(Packet.opensFlow() ? packet_reason::Refused
                                  : packet_reason::NoOwner);
}

//===----------------------------------------------------------------------===//
// Generations
//===----------------------------------------------------------------------===//

/// The position of the newest generation under which this agent is found.
std::size_t flow_owner::impl::neededPosition(const flow_key &Flow) const {
  for (std::size_t I = 0; I < PerGeneration.size(); ++I)
    for (const std::uint16_t Position : PerGeneration[I].choices(Flow))
      if (View->Targets[Position].Id == Settings.Host)
        return I;
  return PerGeneration.size() - 1;
}

std::uint64_t flow_owner::impl::oldestNeeded() const {
  if (PerGeneration.empty())
    return 0;
  // The next flow may still be opened under the generation that is open.
  std::size_t Oldest = Gate.newestOpen();
  Table.forEach([&](const flow_key &Flow) {
    Oldest = std::max(Oldest, neededPosition(Flow));
  });
  return View->Generations[Oldest].Number;
}

//===----------------------------------------------------------------------===//
// Messages
//===----------------------------------------------------------------------===//

peer_message flow_owner::impl::message(peer_message_kind Kind) const {
  peer_message Message;
  Message.Kind = Kind;
  Message.Service = Settings.Service;
  Message.Host = Settings.Host;
  Message.Incarnation = Settings.Incarnation;
  Message.Generation = newestGeneration();
  Message.Flows = static_cast<std::uint32_t>(Table.live());
  Message.Draining = IsDraining;
  return Message;
}

void flow_owner::impl::sendReport(const endpoint &To, bool ReplyWanted) const {
  peer_message Message = message(peer_message_kind::Report);
  Message.ReplyWanted = ReplyWanted;
  if (Hooks.Load)
    Message.Load = Hooks.Load();
  Hooks.Send(To, Message);
}

void flow_owner::impl::answer(const endpoint &To, instant Now) {
  const auto [Last, IsNew] = LastHeardSent.try_emplace(To, Now);
  if (!IsNew && Now - Last->second < HeardPeriod)
    return;
  Last->second = Now;
  Hooks.Send(To, message(peer_message_kind::Heard));
}

/// Also for a sender that this agent's view does not name yet.
void flow_owner::impl::answerProbe(const peer_message &Probe,
                                   const endpoint &From) const {
  peer_message Heard = message(peer_message_kind::Heard);
  Heard.Origin = Probe.Origin;
  Hooks.Send(From, Heard);
}

void flow_owner::impl::takeReport(const peer_message &Message,
                                  const endpoint &From, instant Now) {
  Gate.heard(Message.Host, Message.Incarnation, Message.Generation);
  Share.report(Message.Host, Message.Flows, Table.live(), Now);
  NewestKnownToPeers = std::max(NewestKnownToPeers, Message.Generation);
  if (Message.ReplyWanted)
    sendReport(From, false);
  if (Hooks.OnReport)
    Hooks.OnReport(Message);
}

void flow_owner::impl::takeProbeFor(const peer_message &Message,
                                    const endpoint &From) {
  Hooks.Send(From, message(peer_message_kind::Heard));
  if (!find(Message.Subject))
    return;
  peer_message Probe = message(peer_message_kind::Probe);
  Probe.Origin = From;
  Hooks.Send(Message.Subject, Probe);
}

void flow_owner::impl::takeHeard(const peer_message &Message,
                                 const endpoint &From) {
  if (Message.Origin == endpoint() || !find(Message.Origin))
    return;
  peer_message Vouch = message(peer_message_kind::Vouch);
  Vouch.Subject = From;
  Hooks.Send(Message.Origin, Vouch);
}

void flow_owner::impl::sendReports(instant Now) {
  if (Now - LastReports < ReportPeriod || Peers.empty())
    return;
  LastReports = Now;
  const std::size_t Count = std::min(Settings.ReportFanout, Peers.size());
  for (std::size_t I = 0; I < Count; ++I)
    sendReport(Peers[NextReport++ % Peers.size()], false);
}

void flow_owner::impl::askForWords(instant Now) {
  if (Now - LastAsked < AskPeriod)
    return;
  LastAsked = Now;
  for (const host_id Host : Gate.awaited())
    if (const target *Target = find(Host))
      sendReport(Target->Agent, true);
}

void flow_owner::impl::probeNeighbour(instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour || Watch.isDoubted(*Neighbour))
    return;
  Watch.passedOn(*Neighbour, Now);
  Hooks.Send(*Neighbour, message(peer_message_kind::Probe));
}

/// Balancers hear of a doubt at once, for they only take a detour; the peers,
/// which reset flows on it, hear of the conclusion.
void flow_owner::impl::tellOfNeighbour(bool WasSuspect, instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour)
    return;
  const bool Doubted = Watch.isDoubted(*Neighbour);
  for (const endpoint &Balancer : Ring.toTell(Doubted, Now))
    if (Hooks.TellSilence)
      Hooks.TellSilence(Balancer, {Settings.Service, *Neighbour});
  if (WasSuspect || !Watch.isSuspect(*Neighbour))
    return;
  peer_message Silent = message(peer_message_kind::Silent);
  Silent.Subject = *Neighbour;
  for (const endpoint &Peer : Peers)
    Hooks.Send(Peer, Silent);
}

void flow_owner::impl::sendProbes(instant Now) {
  for (const peer_probe &Probe : Watch.tick(Now)) {
    peer_message Message = message(Probe.Via ? peer_message_kind::ProbeFor
                                             : peer_message_kind::Probe);
    Message.Subject = Probe.Subject;
    Hooks.Send(Probe.Via.value_or(Probe.Subject), Message);
  }
}

//===----------------------------------------------------------------------===//
// flow_owner
//===----------------------------------------------------------------------===//

flow_owner::flow_owner(const flow_owner_settings &Settings,
                       flow_owner_hooks Hooks)
    : Impl(std::make_unique<impl>(Settings, std::move(Hooks))) {}

flow_owner::~flow_owner() = default;

void flow_owner::takeView(const service_view &View, instant Now) {
  Impl->takeView(View, Now);
}

void flow_owner::confirmView(instant Now) { Impl->ViewHeard = Now; }

void flow_owner::setMaxShare(std::uint32_t Percent) {
  Impl->Share.setMaxPercent(Percent);
}

void flow_owner::drain() { Impl->IsDraining = true; }

void flow_owner::restart(std::uint32_t Incarnation) {
  Impl->Settings.Incarnation = Incarnation;
  Impl->Table.clear();
  Impl->HandOns.clear();
}

packet_decision flow_owner::decide(const routed_packet &Routed,
                                   const tcp_packet &Packet,
                                   const endpoint &From, instant Now) {
  // An agent that has just joined passes packets on to peers whose view does
  // not name it yet; unanswered, it would take them for dead.
  const bool PassedOn = Routed.Service == Impl->Settings.Service &&
                        Routed.Balancer != endpoint() &&
                        Routed.Balancer != From;
  if (Routed.Balancer != endpoint() && Routed.Balancer == From)
    Impl->Ring.sawBalancer(From, Now);
  if (Impl->View && (PassedOn || Impl->find(From)))
    Impl->answer(From, Now);
  // A forged position past the list must not wrap around to its start.
  routed_packet Bounded = Routed;
  Bounded.Position =
      std::min(Routed.Position,
               static_cast<std::uint8_t>(std::max(0, int(Routed.Count) - 1)));
  packet_decision Decision = Impl->decide(Bounded, Packet, Now);
  ++Impl->Counts[static_cast<std::size_t>(Decision.Reason)];
  return Decision;
}

void flow_owner::noteAnswer(const tcp_packet &Answer, instant Now) {
  Impl->Table.noteAnswer(Answer, Now);
}

void flow_owner::flowClosing(const flow_key &Flow, instant Now) {
  Impl->Table.close(Flow, Now);
}

void flow_owner::flowGone(const flow_key &Flow) { Impl->Table.erase(Flow); }

void flow_owner::receive(const peer_message &Message, const endpoint &From,
                         instant Now) {
  if (Message.Service != Impl->Settings.Service || !Impl->View)
    return;
  const target *Sender = Impl->find(Message.Host);
  if (!Sender && Message.Kind == peer_message_kind::Probe)
    return Impl->answerProbe(Message, From);
  if (!Sender || Sender->Agent != From)
    return;
  Impl->PeerHeard = true;
  Impl->Watch.heard(From, Now);
  switch (Message.Kind) {
  case peer_message_kind::Report:
    return Impl->takeReport(Message, From, Now);
  case peer_message_kind::Heard:
    return Impl->takeHeard(Message, From);
  case peer_message_kind::Probe:
    return Impl->answerProbe(Message, From);
  case peer_message_kind::ProbeFor:
    return Impl->takeProbeFor(Message, From);
  case peer_message_kind::Vouch:
    return Impl->Watch.heard(Message.Subject, Now);
  case peer_message_kind::Silent:
    return Impl->Watch.toldSilent(Message.Subject, Now);
  }
}

void flow_owner::tick(instant Now) {
  Impl->Table.expire(Now);
  std::erase_if(Impl->HandOns,
                [&](const auto &Item) { return Item.second.Until <= Now; });
  std::erase_if(Impl->LastHeardSent, [&](const auto &Item) {
    return Now - Item.second > HeardPeriod;
  });
  if (!Impl->View)
    return;
  Impl->sendReports(Now);
  Impl->askForWords(Now);
  const std::optional<endpoint> &Neighbour = Impl->Ring.neighbour();
  const bool WasSuspect = Neighbour && Impl->Watch.isSuspect(*Neighbour);
  Impl->probeNeighbour(Now);
  Impl->sendProbes(Now);
  Impl->tellOfNeighbour(WasSuspect, Now);
}

std::size_t flow_owner::flows() const { return Impl->Table.live(); }

std::uint64_t flow_owner::oldestNeededGeneration() const {
  return Impl->oldestNeeded();
}

std::uint64_t flow_owner::viewVersion() const {
  return Impl->View ? Impl->View->Version : 0;
}

std::uint64_t flow_owner::count(packet_reason Reason) const {
  return Impl->Counts[static_cast<std::size_t>(Reason)];
}

} // namespace marjoramrail
