#include "agent/flow_owner_state.h"

namespace marjoramrail {

namespace {

/// SYNs are retransmitted after 1, 3 and 7 s; all of these follow the first.
constexpr duration RedirectLifetime = std::chrono::seconds(10);
/// Bounds the memory that a SYN flood can use. Retransmitted SYNs beyond this
/// limit are decided anew.
constexpr std::size_t MaxRedirects = 65536;

bool takesNewFlows(const target &Target) {
  return Target.State == target_state::Cold ||
         Target.State == target_state::Ready;
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

void setFlag(routed_packet &Routed, routed_flag Flag) {
  Routed.Flags |= static_cast<std::uint8_t>(Flag);
}

void clearFlag(routed_packet &Routed, routed_flag Flag) {
  Routed.Flags &= static_cast<std::uint8_t>(~static_cast<unsigned>(Flag));
}

} // namespace

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
  packet_decision Decision = Packet.opensFlow()
                                 ? decideSyn(Routed, Packet, Now)
                                 : passToNext(Routed, Packet, Now);
  Decision.DiscardHalfOpen = Match == flow_match::CompletedElsewhere;
  return Decision;
}

/// The other agents that may accept a new flow under \p Generation, in the
/// flow's order of preference. \p Included is set if this agent is a choice.
std::vector<endpoint> flow_owner::impl::candidates(const flow_key &Flow,
                                                   std::size_t Generation,
                                                   bool &Included) const {
  std::vector<endpoint> Others;
  Included = false;
  for (const std::uint16_t Position : PerGeneration[Generation].choices(Flow)) {
    const target &Target = View->Targets[Position];
    if (Target.Id == Settings.Host)
      Included = true;
    else if (takesNewFlows(Target) && !Monitor.isSuspect(Target.Agent))
      Others.push_back(Target.Agent);
  }
  return Others;
}

packet_decision flow_owner::impl::decideSyn(const routed_packet &Routed,
                                            const tcp_packet &Packet,
                                            instant Now) {
  if (!Routed.has(routed_flag::LastResort))
    if (auto Again = repeatRedirect(Routed, Packet, Now))
      return *Again;
  if (PerGeneration.empty())
    return passToNext(Routed, Packet, Now);
  if (Routed.Position == 0)
    Share.noteOffered();
  const std::size_t Active = Activation.newestActive();
  bool Included = false;
  const std::vector<endpoint> Others =
      candidates(Packet.Flow, Active, Included);
  std::vector<endpoint> Next = Others;
  std::erase_if(Next, [&](const endpoint &Agent) {
    return visited(Routed, std::min(Routed.Position + 1, int(Routed.Count)),
                   Agent);
  });
  const bool MayTake = Included && !IsDraining;
  const bool MustTake = Next.empty() || Routed.has(routed_flag::LastResort);
  if (MayTake && (MustTake || Share.mayAccept(Table.activeFlows(), Now))) {
    Table.open(Packet, Now);
    Share.noteAccepted();
    return {packet_action::Deliver, packet_reason::Accepted, {}, false};
  }
  if (Next.empty())
    return returnSyn(Routed, Packet, Others, Now);
  packet_reason Reason = packet_reason::OverShare;
  if (IsDraining)
    Reason = packet_reason::Draining;
  else if (!Included)
    Reason = packet_reason::GenerationNotActive;
  return redirectSyn(Routed, Packet, Next, Reason, Now);
}

/// Handles a SYN that has no next choice at an agent that cannot accept it.
/// Earlier agents may have been over their share and passed the SYN here
/// without knowing that this agent drains. The caller's connection would then
/// be refused by a service that has capacity. The SYN is therefore returned to
/// the earlier agents, one after the other and once each, and they must accept
/// it.
packet_decision flow_owner::impl::returnSyn(const routed_packet &Routed,
                                            const tcp_packet &Packet,
                                            const std::vector<endpoint> &Others,
                                            instant Now) {
  routed_packet Back = Routed;
  const auto End = Back.Owners.begin() + Back.Count;
  const auto Next =
      std::find_if(Others.begin(), Others.end(), [&](const endpoint &Agent) {
        return std::count(Back.Owners.begin(), End, Agent) <= 1;
      });
  if (Next == Others.end() || Back.Count == MaxRoutedOwners)
    return passToNext(Routed, Packet, Now);
  setFlag(Back, routed_flag::LastResort);
  Back.Position = Back.Count;
  Back.Owners[Back.Count++] = *Next;
  Monitor.noteSent(*Next, Now);
  return {packet_action::PassOn, packet_reason::Draining, Back, false};
}

/// Passes a retransmitted SYN to the same agent as the first one. If it were
/// decided anew, after loads have changed, two agents could answer the caller.
std::optional<packet_decision>
flow_owner::impl::repeatRedirect(const routed_packet &Routed,
                                 const tcp_packet &Packet, instant Now) {
  const auto Found = Redirects.find(Packet.Flow);
  if (Found == Redirects.end())
    return std::nullopt;
  const endpoint To = Found->second.To;
  const target *Target = find(To);
  const bool Usable = Found->second.Until > Now && Target &&
                      Target->State != target_state::Down &&
                      !Monitor.isSuspect(To) &&
                      !visited(Routed, Routed.Position, To);
  if (!Usable) {
    Redirects.erase(Found);
    return std::nullopt;
  }
  return redirectSyn(Routed, Packet, {To}, packet_reason::RedirectRepeated,
                     Now);
}

packet_decision flow_owner::impl::redirectSyn(const routed_packet &Routed,
                                              const tcp_packet &Packet,
                                              const std::vector<endpoint> &Next,
                                              packet_reason Reason,
                                              instant Now) {
  packet_decision Decision{packet_action::PassOn, Reason, Routed, false};
  routed_packet &Out = Decision.Routed;
  // Visited agents stay in the list, so that the packet cannot return to them.
  Out.Count = static_cast<std::uint8_t>(
      std::min(Out.Position + 1, int(MaxRoutedOwners) - 1));
  Out.Owners[Out.Count - 1] = Settings.Self;
  for (const endpoint &Agent : Next)
    append(Out, Agent);
  Out.Position = static_cast<std::uint8_t>(Out.Position + 1);
  if (Out.Position >= Out.Count)
    return onListExhausted(Routed, Packet, false, Now);
  setFlag(Out, routed_flag::HandedOn);
  if (Redirects.size() < MaxRedirects)
    Redirects.try_emplace(Packet.Flow,
                          syn_redirect{Next.front(), Now + RedirectLifetime});
  Monitor.noteSent(Out.Owners[Out.Position], Now);
  return Decision;
}

/// Advances to the next agent in the list that may own the flow. Suspect agents
/// are moved to the end of the list instead of being removed. A false suspicion
/// then costs the packet only a detour. If they were removed, the last agent,
/// which does not know of the suspicion, would reset the flow.
bool flow_owner::impl::skipToNext(routed_packet &Routed,
                                  bool &SkippedUnresponsive) const {
  const auto Left = Routed.Owners.begin() + Routed.Position + 1;
  const auto End = Routed.Owners.begin() + Routed.Count;
  if (Left < End)
    std::stable_partition(Left, End, [this](const endpoint &Agent) {
      return !Monitor.isSuspect(Agent);
    });
  while (Routed.Position + 1 < Routed.Count) {
    const endpoint &Agent = Routed.Owners[Routed.Position + 1];
    const target *Target = find(Agent);
    const bool Usable = Agent != Settings.Self &&
                        !(Target && Target->State == target_state::Down);
    if (Usable && Monitor.isSuspect(Agent)) {
      SkippedUnresponsive = true;
      return false;
    }
    ++Routed.Position;
    if (Usable)
      return true;
  }
  return false;
}

/// Adds the owner candidates of this agent's view if that is newer than the
/// packet's. The packet then carries the newer version, so agents with the same
/// view do not extend the list again.
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
  clearFlag(Routed, routed_flag::Stale);
  if (Added)
    setFlag(Routed, routed_flag::Extended);
  return Added;
}

packet_decision flow_owner::impl::passToNext(routed_packet Routed,
                                             const tcp_packet &Packet,
                                             instant Now) {
  bool SkippedUnresponsive = false;
  packet_reason Reason = packet_reason::NotOwned;
  bool Found = skipToNext(Routed, SkippedUnresponsive);
  if (!Found && extend(Routed, Packet.Flow)) {
    Reason = packet_reason::Extended;
    Found = skipToNext(Routed, SkippedUnresponsive);
  }
  if (!Found)
    return onListExhausted(Routed, Packet, SkippedUnresponsive, Now);
  Monitor.noteSent(Routed.Owners[Routed.Position], Now);
  return {packet_action::PassOn, Reason, Routed, false};
}

packet_decision flow_owner::impl::onListExhausted(const routed_packet &Routed,
                                                  const tcp_packet &Packet,
                                                  bool SkippedUnresponsive,
                                                  instant Now) const {
  const auto Drop = [](packet_reason Reason) {
    return packet_decision{packet_action::Drop, Reason, {}, false};
  };
  const auto Reset = [](packet_reason Reason) {
    return packet_decision{packet_action::Reset, Reason, {}, false};
  };
  if (Packet.Rst)
    return Drop(packet_reason::ResetUnowned);
  if (!isViewCurrent(Now) || Routed.has(routed_flag::Stale))
    return Drop(packet_reason::Unconfirmed);
  if (Monitor.isLinkSuspect())
    return Drop(packet_reason::LinkSuspect);
  if (SkippedUnresponsive)
    return Reset(packet_reason::OwnerUnresponsive);
  return Reset(Packet.opensFlow() ? packet_reason::Refused
                                  : packet_reason::NoOwner);
}

} // namespace marjoramrail
