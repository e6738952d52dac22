#include "forward/forward_balancer_impl.h"

namespace marjoramrail {

using namespace internal;

/// Of so many targets all are named behind a known owner: coming back to the
/// balancer would cost more than their few bytes.
static constexpr std::size_t ShortWalk = 8;

std::optional<endpoint>
forward_balancer::impl::rememberedOwner(const flow_key &Flow, instant Now) {
  const auto Place = Memory.find(Flow, Now);
  if (!Place)
    return std::nullopt;
  const agent_state *Agent = Roster.find(Place->Agent);
  // An agent that has left the store's list took its flows along; one that has
  // not got there yet may still name itself to a balancer that is behind.
  if (!Agent && isSure(Now)) {
    Memory.forget(Flow);
    return std::nullopt;
  }
  if (!Agent || Place->IsConfirmed)
    return Place->Agent;
  // The flow was placed there, and may have been handed on. Should the VM be
  // gone since, all its packets would end there although its owner is well.
  if (Agent->isDoubtful(Now))
    return std::nullopt;
  if (Agent->isHeardLately(Now))
    Memory.confirm(Flow);
  else if (!Agent->AskedSince)
    ask(Place->Agent, Now);
  return Place->Agent;
}

forward_outcome forward_balancer::impl::follow(const route_state &Route,
                                               const segment &Segment,
                                               bytes_view Bytes, instant Now) {
  const flow_key &Flow = Segment.Head.Flow;
  const auto Remembered = rememberedOwner(Flow, Now);
  collectHolders(Route);
  if (Holders.empty() && !Remembered)
    return forward_outcome::Unsure;
  const bool IsFarAsked = !Remembered && hasFarHolders();
  if (IsFarAsked && !Walks.begin(Flow, Holders.size(), Now))
    return sendNearby(Route, Flow, Bytes, Now);
  if (Remembered && Holders.size() > ShortWalk &&
      !Settings.Without.has(mechanism::WalkContinuation)) {
    sendToOwner(Route, *Remembered, isSure(Now), Bytes, Now);
    return forward_outcome::SentByMemory;
  }
  // A flow whose holder is remembered needs no order of its own behind it.
  if (Remembered)
    Order.sortForWalk(Holders, Flow, /*OwnOrder=*/false, Now);
  else
    sortForWalkFrom(Order.beginning(), Flow, Bytes, Now);
  sendToHolders(Route, Flow, Remembered, /*Named=*/0, isSure(Now), Bytes, Now);
  return Remembered ? forward_outcome::SentByMemory : forward_outcome::Sent;
}

/// A walk of one list goes by who is doubtful now; a longer one keeps to the
/// order that it began with, or agents would change places between its lists.
void forward_balancer::impl::sortForWalkFrom(const walk_cursor &Cursor,
                                             const flow_key &Flow,
                                             bytes_view Bytes, instant Now) {
  const bool Begins = Cursor.Named == 0;
  if (Begins && Holders.size() <= ownersThatFit(Bytes.size()))
    return Order.sortForWalk(Holders, Flow, /*OwnOrder=*/true, Now);
  Order.sortForLongWalk(Holders, Flow, Begins ? Roster.order() : Cursor.State);
}

/// To the owner alone. If it has lost the flow, the packet comes back and walks
/// through all of them. Almost all packets are of flows whose owner is known;
/// with everyone in their list they would be several times as long.
void forward_balancer::impl::sendToOwner(const route_state &Route,
                                         const endpoint &Owner, bool Sure,
                                         bytes_view Bytes, instant Now) {
  holder_list List(Bytes.size());
  List.add(Owner);
  const service_id Service =
      Route.Holders.empty() ? service_id{} : Route.Holders.front();
  const std::uint64_t Begin = encodeCursor(Order.beginning());
  if (Sure)
    send(List, Service, {routed_flag::Continues, routed_flag::WholeSoFar},
         Begin, Bytes, Now);
  else
    send(List, Service, {routed_flag::Continues}, Begin, Bytes, Now);
}

bool forward_balancer::impl::hasFarHolders() const {
  return std::any_of(Holders.begin(), Holders.end(), [&](std::size_t Index) {
    return !Roster.at(Index).isOwnZone();
  });
}

/// Shows a packet of a flow that is being looked for to the targets of the own
/// zone. What they decline proves nothing.
forward_outcome forward_balancer::impl::sendNearby(const route_state &Route,
                                                   const flow_key &Flow,
                                                   bytes_view Bytes,
                                                   instant Now) {
  std::erase_if(Holders, [&](std::size_t Index) {
    const agent_state &Agent = Roster.at(Index);
    return !Agent.isOwnZone() || Agent.isDoubtful(Now);
  });
  if (Holders.empty())
    return forward_outcome::Unsure;
  Order.sortForWalk(Holders, Flow, /*OwnOrder=*/true, Now);
  holder_list List(Bytes.size());
  Order.list(/*Named=*/0, std::nullopt, List);
  tellSought("in the own zone, as a walk has just begun", Flow, List, Now);
  send(List, Route.Holders.front(), {}, 0, Bytes, Now);
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
bool forward_balancer::impl::askUnheard(const flow_key &Flow,
                                        const holder_list &List, instant Now) {
  const auto Earlier = Walks.earlier(Flow);
  const instant HeardSince = Earlier.value_or(Now - agent_state::HeardLately);
  token_bucket &Budget = Earlier ? RepeatedWalkQuestions : FirstWalkQuestions;
  bool AnyUnheard = false;
  for (const endpoint &Agent : List) {
    const agent_state *State = Roster.find(Agent);
    if (!State || State->isHeardSince(HeardSince))
      continue;
    AnyUnheard = true;
    if (!State->AskedSince && Budget.take(Now))
      ask(Agent, Now);
  }
  return AnyUnheard;
}

/// Figure of the event: agents named. The first of them says where the hops
/// begin, which the agents' own lines tell from there on.
void forward_balancer::impl::tellSought(std::string_view Where,
                                        const flow_key &Flow,
                                        const holder_list &List, instant Now) {
  tell(event_kind::OwnerLookupStarted, Where, Flow, List.front(), Now,
       static_cast<double>(List.size()));
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
                                           const flow_key &Flow,
                                           const std::optional<endpoint> &First,
                                           std::size_t Named, bool Sure,
                                           bytes_view Bytes, instant Now) {
  holder_list List(Bytes.size());
  const auto Rest = Order.list(Named, First, List);
  if (List.empty())
    return;
  if (!First)
    tellSought(askUnheard(Flow, List, Now)
                   ? "in all zones, by way of agents that were not heard lately"
                   : "in all zones",
               Flow, List, Now);
  const service_id Service =
      Route.Holders.empty() ? service_id{} : Route.Holders.front();
  const bool GoesOn =
      Rest && !Settings.Without.has(mechanism::WalkContinuation);
  if (GoesOn && Sure)
    send(List, Service, {routed_flag::Continues, routed_flag::WholeSoFar},
         encodeCursor(*Rest), Bytes, Now);
  else if (GoesOn)
    send(List, Service, {routed_flag::Continues}, encodeCursor(*Rest), Bytes,
         Now);
  else if (Sure && !Rest)
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
  const flow_key &Flow = Segment.Head.Flow;
  const walk_cursor Cursor = decodeCursor(Routed.Version);
  collectHolders(Found->second);
  const bool Begins = Cursor.Named == 0 && hasFarHolders();
  if (Begins && !Walks.begin(Flow, Holders.size(), Now)) {
    sendNearby(Found->second, Flow, Routed.Packet, Now);
    return;
  }
  sortForWalkFrom(Cursor, Flow, Routed.Packet, Now);
  const bool Sure = Routed.has(routed_flag::WholeSoFar) && isSure(Now) &&
                    Order.beginsAs(Cursor);
  sendToHolders(Found->second, Flow, std::nullopt, Cursor.Named, Sure,
                Routed.Packet, Now);
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

} // namespace marjoramrail
