#include "forward/forward_balancer_impl.h"

namespace marjoramrail {

using namespace internal;

/// For services with up to this many targets, all are listed after a cached
/// owner. Returning the packet to the balancer would cost more than the few
/// additional bytes.
static constexpr std::size_t ShortLookupTargets = 8;

std::optional<endpoint>
forward_balancer::impl::cachedOwner(const flow_key &Flow, instant Now) {
  const auto Place = FlowCache.find(Flow, Now);
  if (!Place)
    return std::nullopt;
  const agent_state *Agent = AgentTable.find(Place->Agent);
  // If the agent was removed from the registry, its flows are lost too. If
  // knowledge is not current, the agent may be new and have reported ownership
  // to a balancer that does not know its registration yet.
  if (!Agent && isKnowledgeCurrent(Now)) {
    FlowCache.remove(Flow);
    return std::nullopt;
  }
  if (!Agent || Place->IsConfirmed)
    return Place->Agent;
  // The flow was only placed at this agent, and another target may have
  // accepted it. If the agent's VM has failed since, all packets of the flow
  // would be lost there although its owner is running.
  if (Agent->isUnverified(Now))
    return std::nullopt;
  if (Agent->hasReportedRecently(Now))
    FlowCache.confirm(Flow);
  else if (!Agent->FirstRequestedAt)
    requestReport(Place->Agent, Now);
  return Place->Agent;
}

forward_outcome
forward_balancer::impl::forwardOpenFlow(const route_state &Route,
                                        const segment &Segment,
                                        bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  const outgoing_packet Packet =
      outgoing(Route, Route.ownerService(), Segment, Bytes);
  const auto CachedOwner = cachedOwner(Flow, Now);
  const bool HasAll = collectCandidates(Route, Now);
  if (Candidates.empty() && !CachedOwner)
    return forward_outcome::Indeterminate;
  const bool IsRemoteLookup = !CachedOwner && hasRemoteCandidates();
  if (IsRemoteLookup && !RecentLookups.begin(Flow, Candidates.size(), Now))
    return sendWithinZone(Route, Flow, Packet, Now);
  if (CachedOwner && Candidates.size() > ShortLookupTargets &&
      !Settings.DisabledMechanisms.has(mechanism::LookupContinuation)) {
    sendToOwner(Route, *CachedOwner, HasAll && isKnowledgeCurrent(Now), Packet,
                Now);
    return forward_outcome::SentFromCache;
  }
  const bool IsCurrent = HasAll && isKnowledgeCurrent(Now);
  if (!CachedOwner) {
    beginLookup(Route, Flow, IsCurrent, Packet, /*ArrivedAt=*/Now, Now);
    return forward_outcome::Sent;
  }
  // Behind a cached owner, the flow's own order is not needed.
  Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/false, Now);
  sendToCandidates(Route, Flow, CachedOwner, /*Listed=*/0, IsCurrent, Packet,
                   Now);
  return forward_outcome::SentFromCache;
}

/// Sends the packet through all candidates.
void forward_balancer::impl::beginLookup(const route_state &Route,
                                         const flow_key &Flow, bool IsCurrent,
                                         const outgoing_packet &Packet,
                                         instant ArrivedAt, instant Now) {
  sortFromCursor(Order.initialCursor(), Flow, Packet.size(), Now);
  sendToCandidates(Route, Flow, std::nullopt, /*Listed=*/0, IsCurrent, Packet,
                   Now);
  keepForRepetition(Flow, Packet, ArrivedAt, Now);
}

/// A lookup with a single list places the agents that are unverified now at the
/// end. A lookup with several lists keeps the order it began with; otherwise
/// agents would change places between its lists.
void forward_balancer::impl::sortFromCursor(const lookup_cursor &Cursor,
                                            const flow_key &Flow,
                                            std::size_t PacketBytes,
                                            instant Now) {
  const bool Begins = Cursor.Listed == 0;
  if (Begins && Candidates.size() <= ownersThatFit(PacketBytes))
    return Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/true, Now);
  Order.sortForContinuedLookup(
      Candidates, Flow, Begins ? AgentTable.orderParity() : Cursor.Parity);
}

/// Sends the packet to the owner alone. If the owner has lost the flow, the
/// packet comes back and goes through all candidates. Almost all packets belong
/// to flows with a known owner; with the complete list they would be several
/// times as long.
void forward_balancer::impl::sendToOwner(const route_state &Route,
                                         const endpoint &Owner, bool IsCurrent,
                                         const outgoing_packet &Packet,
                                         instant Now) {
  candidate_list List(Packet.size());
  List.add(Owner);
  const std::uint64_t Begin = encodeCursor(Order.initialCursor());
  routed_flags Flags = flagsOf({routed_flag::Continues});
  if (IsCurrent)
    Flags |= flagsOf({routed_flag::CompleteSoFar});
  send(List, Route.ownerService(), Flags, Begin, Packet, Now);
}

bool forward_balancer::impl::hasRemoteCandidates() const {
  return std::any_of(
      Candidates.begin(), Candidates.end(),
      [&](std::size_t Index) { return !AgentTable.at(Index).isOwnZone(); });
}

/// Offers a packet of a flow whose owner is already being looked up to the
/// targets of the own zone. If all of them decline, this proves nothing, so no
/// reset follows.
forward_outcome forward_balancer::impl::sendWithinZone(
    const route_state &Route, const flow_key &Flow,
    const outgoing_packet &Packet, instant Now) {
  std::erase_if(Candidates, [&](std::size_t Index) {
    const agent_state &Agent = AgentTable.at(Index);
    return !Agent.isOwnZone() || Agent.isUnverified(Now);
  });
  if (Candidates.empty())
    return forward_outcome::Indeterminate;
  Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/true, Now);
  candidate_list List(Packet.size());
  Order.list(/*Listed=*/0, std::nullopt, List);
  logLookup("in the own zone only, as an owner lookup is in progress", Flow,
            List, Now);
  send(List, Route.ownerService(), flagsOf({routed_flag::OwnerUnknown}), 0,
       Packet, Now);
  return forward_outcome::Sent;
}

/// Requests a load report from the agents in \p List that have not reported
/// recently, because a lookup ends at the first failed VM. Returns true if
/// there were any.
///
/// Usually the first lookup finds the owner and the requests are not needed.
/// When balancers are restarted one after the other, or after a power failure,
/// there are thousands of lookups. So most of the request budget is for
/// repeated lookups. The agents that the previous lookup reached have reported
/// since, and requests go only to the others: the failed VM and the agents
/// after it.
bool forward_balancer::impl::requestMissingReports(const flow_key &Flow,
                                                   const candidate_list &List,
                                                   instant Now) {
  const auto Previous = RecentLookups.previous(Flow);
  const instant ReportedSince =
      Previous.value_or(Now - agent_state::RecentReportWindow);
  token_bucket &Budget =
      Previous ? RepeatedLookupRequests : FirstLookupRequests;
  bool AnyMissing = false;
  for (const endpoint &Agent : List) {
    const agent_state *State = AgentTable.find(Agent);
    if (!State || State->hasReportedSince(ReportedSince))
      continue;
    AnyMissing = true;
    requestReportOnce(*State, Budget, Now);
  }
  return AnyMissing;
}

/// Requests a report within \p Budget unless a request is pending.
void forward_balancer::impl::requestReportOnce(const agent_state &Agent,
                                               token_bucket &Budget,
                                               instant Now) {
  if (!Agent.FirstRequestedAt && Budget.take(Now))
    requestReport(Agent.Agent, Now);
}

/// The load figure of the event is the number of agents listed. Its agent is
/// the first of them, where the lookup begins; the log events of the agents
/// show the further hops.
void forward_balancer::impl::logLookup(std::string_view Where,
                                       const flow_key &Flow,
                                       const candidate_list &List,
                                       instant Now) {
  logEvent(event_kind::OwnerLookupStarted, Where, Flow, List.front(), Now,
           static_cast<double>(List.size()));
}

/// Collects the agents whose targets may own a flow of \p Route and that are in
/// the route's regions. Returns false if an agent outside may own one: flows
/// that were opened before the regions were restricted stay at their targets,
/// so a lookup within the regions does not prove that nobody owns them.
bool forward_balancer::impl::collectCandidates(const route_state &Route,
                                               instant Now) {
  Candidates.clear();
  bool AnyOutside = false;
  for (const service_id Service : Route.OwnerServices) {
    const auto &Members = AgentTable.ofService(Service);
    const std::size_t Before = Candidates.size();
    std::copy_if(Members.begin(), Members.end(), std::back_inserter(Candidates),
                 [&](std::size_t Index) {
                   return isPermitted(Route.OwnerRegions, AgentTable.at(Index));
                 });
    AnyOutside |= Candidates.size() - Before < Members.size();
  }
  const bool MayBeOutside = Route.RegionsChangedAt &&
                            Now - *Route.RegionsChangedAt < Settings.FlowLife;
  return !AnyOutside || !MayBeOutside;
}

/// Sends the packet to the agents of Order after the first \p Listed. \p
/// IsCurrent: no agent was skipped among these, and knowledge is current.
void forward_balancer::impl::sendToCandidates(
    const route_state &Route, const flow_key &Flow,
    const std::optional<endpoint> &First, std::size_t Listed, bool IsCurrent,
    const outgoing_packet &Packet, instant Now) {
  candidate_list List(Packet.size());
  const auto Rest = Order.list(Listed, First, List);
  if (List.empty())
    return;
  if (!First)
    logLookup(requestMissingReports(Flow, List, Now)
                  ? "in all zones, including agents without a recent report"
                  : "in all zones",
              Flow, List, Now);
  const bool HasMore =
      Rest && !Settings.DisabledMechanisms.has(mechanism::LookupContinuation);
  routed_flags Flags = First ? 0 : flagsOf({routed_flag::OwnerUnknown});
  if (HasMore)
    Flags |= flagsOf({routed_flag::Continues});
  if (HasMore && IsCurrent)
    Flags |= flagsOf({routed_flag::CompleteSoFar});
  if (IsCurrent && !Rest)
    Flags |= flagsOf({routed_flag::Complete});
  send(List, Route.ownerService(), Flags, HasMore ? encodeCursor(*Rest) : 0,
       Packet, Now);
}

/// Called when all agents in a list that was limited by the size of a datagram
/// have declined. Without continuing the lookup, a balancer that has not seen a
/// flow could never reach an owner beyond the first list. The caller's packets
/// would be lost and its requests time out although the owner is running.
void forward_balancer::impl::continueLookup(const routed_packet &Routed,
                                            instant Now) {
  segment Segment;
  if (!Routed.has(routed_flag::Continues) ||
      !Codec.Parse(Routed.Packet, Segment) || Segment.Head.opensFlow())
    return;
  const auto Found = Routes.find(Segment.Head.Flow.Service);
  if (Found == Routes.end())
    return;
  ++Counters.LookupsContinued;
  const flow_key &Flow = Segment.Head.Flow;
  const route_state &Route = Found->second;
  const outgoing_packet Packet =
      outgoing(Route, Route.ownerService(), Segment, Routed.Packet);
  const lookup_cursor Cursor = decodeCursor(Routed.Version);
  const bool HasAll = collectCandidates(Route, Now);
  const bool Begins = Cursor.Listed == 0 && hasRemoteCandidates();
  if (Begins && !RecentLookups.begin(Flow, Candidates.size(), Now)) {
    sendWithinZone(Route, Flow, Packet, Now);
    return;
  }
  sortFromCursor(Cursor, Flow, Packet.size(), Now);
  const bool IsCurrent = Routed.has(routed_flag::CompleteSoFar) && HasAll &&
                         isKnowledgeCurrent(Now) && Order.hasSamePrefix(Cursor);
  sendToCandidates(Route, Flow, std::nullopt, Cursor.Listed, IsCurrent, Packet,
                   Now);
  if (Cursor.Listed == 0)
    keepForRepetition(Flow, Packet, /*ArrivedAt=*/Now, Now);
}

void forward_balancer::impl::send(const candidate_list &List,
                                  service_id Service, routed_flags Flags,
                                  std::uint64_t Version,
                                  const outgoing_packet &Packet, instant Now) {
  routed_packet Routed;
  Routed.Version = Version;
  Routed.Service = Service;
  Routed.Balancer = Settings.Self;
  Routed.Count = static_cast<std::uint8_t>(List.size());
  std::copy(List.begin(), List.end(), Routed.Owners.begin());
  Routed.Flags = Flags;
  Routed.Level = Packet.Level;
  Routed.SubstituteWait = Packet.SubstituteWait;
  Routed.Packet = Packet.Bytes;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return;
  Hooks.SendToAgent(List.front(), {Buffer.data(), Size});
  AgentTable.noteSent(List.front(), Now);
}

} // namespace marjoramrail
