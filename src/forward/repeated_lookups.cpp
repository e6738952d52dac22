// Repeats owner lookups that seem to have ended at a failed VM.

#include "forward/forward_balancer_impl.h"

namespace marjoramrail {

using namespace internal;

/// Reviewed when the lookup has ended, whether or not it found the owner.
void forward_balancer::impl::keepForRepetition(const flow_key &Flow,
                                               const outgoing_packet &Packet,
                                               instant ArrivedAt, instant Now) {
  if (Settings.DisabledMechanisms.has(mechanism::LookupRepetition))
    return;
  PendingLookups.add(
      {Flow, {Packet.Bytes.begin(), Packet.Bytes.end()}, ArrivedAt, Now},
      Now + recent_lookups::lookupTimeout(Candidates.size()));
}

/// Whether a lookup that begins now would go another way than one that began at
/// \p Moment: an agent that came before others has turned out to be down, where
/// that lookup may have ended, or one that was down answers again and may be
/// the owner.
bool forward_balancer::impl::haveCandidatesChangedSince(instant Moment,
                                                        instant Now) const {
  return std::any_of(Candidates.begin(), Candidates.end(),
                     [&](std::size_t Index) {
                       return AgentTable.at(Index).hasChangedSince(Moment, Now);
                     });
}

/// Requests a report from the candidates that have not sent one since \p
/// Moment. Agents that a lookup reaches report soon afterwards, so these are
/// the ones at which it may have ended and those behind them. Returns false if
/// there are none.
bool forward_balancer::impl::requestReportsSince(instant Moment, instant Now) {
  bool AnyMissing = false;
  for (const std::size_t Index : Candidates) {
    const agent_state &Agent = AgentTable.at(Index);
    if (Agent.hasReportedSince(Moment))
      continue;
    AnyMissing = true;
    requestReportOnce(Agent, RepeatedLookupRequests, Now);
  }
  return AnyMissing;
}

/// If all candidates have reported since the lookup began, it has gone through
/// all of them, and nothing is left to do.
void forward_balancer::impl::reviewLookup(pending_lookup Lookup, instant Now) {
  segment Segment;
  const auto Found = Routes.find(Lookup.Flow.Service);
  if (Now - Lookup.ArrivedAt >= pending_lookups::MaxAge ||
      Found == Routes.end() || !Codec.Parse(Lookup.Packet, Segment) ||
      cachedOwner(Lookup.Flow, Now))
    return;
  const route_state &Route = Found->second;
  const bool HasAll = collectCandidates(Route, Now);
  const bool HasChanged = haveCandidatesChangedSince(Lookup.BeganAt, Now);
  if (HasChanged && LookupRepetitions.take(Now)) {
    ++Counters.LookupsRepeated;
    logEvent(event_kind::OwnerLookupStarted,
             "again, as an agent went down or came back during the last lookup",
             Lookup.Flow, {}, Now);
    RecentLookups.begin(Lookup.Flow, Candidates.size(), Now);
    return beginLookup(
        Route, Lookup.Flow, HasAll && isKnowledgeCurrent(Now),
        outgoing(Route, Route.ownerService(), Segment, Lookup.Packet),
        Lookup.ArrivedAt, Now);
  }
  if (requestReportsSince(Lookup.BeganAt, Now) || HasChanged)
    PendingLookups.add(std::move(Lookup),
                       Now + recent_lookups::lookupTimeout(Candidates.size()));
}

} // namespace marjoramrail
