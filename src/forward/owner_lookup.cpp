#include "forward/forward_balancer_impl.h"

namespace marjoramrail {

using namespace internal;

/// Of so many targets all are named behind a known owner: coming back to the
/// balancer would cost more than their few bytes.
static constexpr std::size_t ShortLookupTargets = 8;

std::optional<endpoint>
forward_balancer::impl::cachedOwner(const flow_key &Flow, instant Now) {
  const auto Place = FlowCache.find(Flow, Now);
  if (!Place)
    return std::nullopt;
  const agent_state *Agent = AgentTable.find(Place->Agent);
  // An agent that has left the store's list took its flows along; one that has
  // not got there yet may still name itself to a balancer that is behind.
  if (!Agent && isKnowledgeCurrent(Now)) {
    FlowCache.remove(Flow);
    return std::nullopt;
  }
  if (!Agent || Place->IsConfirmed)
    return Place->Agent;
  // The flow was placed there, and may have been handed on. Should the VM be
  // gone since, all its packets would end there although its owner is well.
  if (Agent->isUnverified(Now))
    return std::nullopt;
  if (Agent->hasReportedRecently(Now))
    FlowCache.confirm(Flow);
  else if (!Agent->FirstRequestedAt)
    requestReport(Place->Agent, Now);
  return Place->Agent;
}

forward_outcome forward_balancer::impl::follow(const route_state &Route,
                                               const segment &Segment,
                                               bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  const auto CachedOwner = cachedOwner(Flow, Now);
  collectCandidates(Route);
  if (Candidates.empty() && !CachedOwner)
    return forward_outcome::Indeterminate;
  const bool IsRemoteLookup = !CachedOwner && hasRemoteCandidates();
  if (IsRemoteLookup && !RecentLookups.begin(Flow, Candidates.size(), Now))
    return sendWithinZone(Route, Flow, Bytes, Now);
  if (CachedOwner && Candidates.size() > ShortLookupTargets &&
      !Settings.DisabledMechanisms.has(mechanism::WalkContinuation)) {
    sendToOwner(Route, *CachedOwner, isKnowledgeCurrent(Now), Bytes, Now);
    return forward_outcome::SentFromCache;
  }
  // A flow whose holder is remembered needs no order of its own behind it.
  if (CachedOwner)
    Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/false, Now);
  else
    sortFromCursor(Order.initialCursor(), Flow, Bytes, Now);
  sendToCandidates(Route, Flow, CachedOwner, /*Listed=*/0,
                   isKnowledgeCurrent(Now), Bytes, Now);
  return CachedOwner ? forward_outcome::SentFromCache : forward_outcome::Sent;
}

/// A walk of one list goes by who is doubtful now; a longer one keeps to the
/// order that it began with, or agents would change places between its lists.
void forward_balancer::impl::sortFromCursor(const lookup_cursor &Cursor,
                                            const flow_key &Flow,
                                            bytes_view Bytes, instant Now) {
  const bool Begins = Cursor.Listed == 0;
  if (Begins && Candidates.size() <= ownersThatFit(Bytes.size()))
    return Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/true, Now);
  Order.sortForContinuedLookup(
      Candidates, Flow, Begins ? AgentTable.orderParity() : Cursor.Parity);
}

/// To the owner alone. If it has lost the flow, the packet comes back and walks
/// through all of them. Almost all packets are of flows whose owner is known;
/// with everyone in their list they would be several times as long.
void forward_balancer::impl::sendToOwner(const route_state &Route,
                                         const endpoint &Owner, bool IsCurrent,
                                         bytes_view Bytes, instant Now) {
  candidate_list List(Bytes.size());
  List.add(Owner);
  const service_id Service =
      Route.OwnerServices.empty() ? service_id{} : Route.OwnerServices.front();
  const std::uint64_t Begin = encodeCursor(Order.initialCursor());
  if (IsCurrent)
    send(List, Service, {routed_flag::Continues, routed_flag::CompleteSoFar},
         Begin, Bytes, Now);
  else
    send(List, Service, {routed_flag::Continues}, Begin, Bytes, Now);
}

bool forward_balancer::impl::hasRemoteCandidates() const {
  return std::any_of(
      Candidates.begin(), Candidates.end(),
      [&](std::size_t Index) { return !AgentTable.at(Index).isOwnZone(); });
}

/// Shows a packet of a flow that is being looked for to the targets of the own
/// zone. What they decline proves nothing.
forward_outcome forward_balancer::impl::sendWithinZone(const route_state &Route,
                                                       const flow_key &Flow,
                                                       bytes_view Bytes,
                                                       instant Now) {
  std::erase_if(Candidates, [&](std::size_t Index) {
    const agent_state &Agent = AgentTable.at(Index);
    return !Agent.isOwnZone() || Agent.isUnverified(Now);
  });
  if (Candidates.empty())
    return forward_outcome::Indeterminate;
  Order.sortForLookup(Candidates, Flow, /*OwnOrder=*/true, Now);
  candidate_list List(Bytes.size());
  Order.list(/*Listed=*/0, std::nullopt, List);
  logLookup("in the own zone, as a walk has just begun", Flow, List, Now);
  send(List, Route.OwnerServices.front(), {}, 0, Bytes, Now);
  return forward_outcome::Sent;
}

/// Asks those of \p List whether they are there that were not heard lately: a
/// walk ends at the first VM that is gone. True if there were any.
///
/// Mostly the first walk finds the owner, and the questions are for nothing;
/// where balancers are restarted in turn, or after a loss of power, there are
/// thousands of walks. So most of the budget is for walks that are repeated.
/// Agents that the earlier one came by have reported since, and only the others
/// are asked: the VM that is gone, and those behind it.
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
    if (!State->FirstRequestedAt && Budget.take(Now))
      requestReport(Agent, Now);
  }
  return AnyMissing;
}

/// Figure of the event: agents named. The first of them says where the hops
/// begin, which the agents' own lines tell from there on.
void forward_balancer::impl::logLookup(std::string_view Where,
                                       const flow_key &Flow,
                                       const candidate_list &List,
                                       instant Now) {
  logEvent(event_kind::FlowSought, Where, Flow, List.front(), Now,
           static_cast<double>(List.size()));
}

/// Everyone who may hold a flow of \p Route.
void forward_balancer::impl::collectCandidates(const route_state &Route) {
  Candidates.clear();
  for (const service_id Service : Route.OwnerServices) {
    const auto &Members = AgentTable.ofService(Service);
    Candidates.insert(Candidates.end(), Members.begin(), Members.end());
  }
}

/// Sends to those of Order that come after \p Listed. \p IsCurrent: nobody was
/// left out up to there, and what is known now is fresh.
void forward_balancer::impl::sendToCandidates(
    const route_state &Route, const flow_key &Flow,
    const std::optional<endpoint> &First, std::size_t Listed, bool IsCurrent,
    bytes_view Bytes, instant Now) {
  candidate_list List(Bytes.size());
  const auto Rest = Order.list(Listed, First, List);
  if (List.empty())
    return;
  if (!First)
    logLookup(requestMissingReports(Flow, List, Now)
                  ? "in all zones, by way of agents that were not heard lately"
                  : "in all zones",
              Flow, List, Now);
  const service_id Service =
      Route.OwnerServices.empty() ? service_id{} : Route.OwnerServices.front();
  const bool HasMore =
      Rest && !Settings.DisabledMechanisms.has(mechanism::WalkContinuation);
  if (HasMore && IsCurrent)
    send(List, Service, {routed_flag::Continues, routed_flag::CompleteSoFar},
         encodeCursor(*Rest), Bytes, Now);
  else if (HasMore)
    send(List, Service, {routed_flag::Continues}, encodeCursor(*Rest), Bytes,
         Now);
  else if (IsCurrent && !Rest)
    send(List, Service, {routed_flag::Complete}, 0, Bytes, Now);
  else
    send(List, Service, {}, 0, Bytes, Now);
}

/// All in a list have declined, and the list was cut to fit into a datagram.
/// Without this a balancer that has not seen a flow before could never reach an
/// owner beyond the first list: the caller's packets would all end there, and
/// its requests time out although the owner is well.
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
  const lookup_cursor Cursor = decodeCursor(Routed.Version);
  collectCandidates(Found->second);
  const bool Begins = Cursor.Listed == 0 && hasRemoteCandidates();
  if (Begins && !RecentLookups.begin(Flow, Candidates.size(), Now)) {
    sendWithinZone(Found->second, Flow, Routed.Packet, Now);
    return;
  }
  sortFromCursor(Cursor, Flow, Routed.Packet, Now);
  const bool IsCurrent = Routed.has(routed_flag::CompleteSoFar) &&
                         isKnowledgeCurrent(Now) && Order.hasSamePrefix(Cursor);
  sendToCandidates(Found->second, Flow, std::nullopt, Cursor.Listed, IsCurrent,
                   Routed.Packet, Now);
}

void forward_balancer::impl::send(const candidate_list &List,
                                  service_id Service,
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
  AgentTable.noteSent(List.front(), Now);
}

} // namespace marjoramrail
