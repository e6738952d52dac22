// Holds the requests that the target cannot run yet.

#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

/// How often a new flow may be passed on because targets have no free slot. One
/// that finds two targets busy is likely to find others busy too, and each hop
/// delays it.
static constexpr std::uint8_t MaxCapacityHops = 2;

/// A new flow is passed on only if this shortens its wait by at least this
/// time, about what the additional hop takes, and by half of a service time.
static constexpr duration MinWaitGain = std::chrono::milliseconds(4);

/// Returns why the target has no capacity for a new flow, if it has none and
/// the balancer states service levels. A flow whose request would wait goes to
/// the next agent of the list if it would wait clearly less there. If the
/// balancer did not know that agent's wait, the flow stays: the balancer has
/// chosen the less loaded of two targets, and any other may be worse.
std::optional<flow_refusal>
forward_agent::impl::capacityRefusal(const routed_packet &Routed,
                                     const flow_key &Flow, instant Now) {
  const stated_level *Stated = Levels.update(Flow.Service, Routed.Level, Now);
  if (!Stated)
    return std::nullopt;
  // A retransmitted SYN of a flow that is opening here.
  const watched_flow *Known = Load.find(Flow);
  if (Known && Known->HalfOpen)
    return std::nullopt;
  if (Stated->MaxFlows != 0 &&
      Load.open() + openingFlows(Flow, Now) >= Stated->MaxFlows)
    return flow_refusal::FlowLimit;
  if (Settings.DisabledMechanisms.has(mechanism::FreeSlotHandover) ||
      Routed.Position >= MaxCapacityHops ||
      Routed.Position + 1U >= Routed.Count || !Routed.SubstituteWait)
    return std::nullopt;
  const duration Gain =
      Scheduler.waitOf(Stated->Level, Now) - *Routed.SubstituteWait;
  if (Gain < std::max(MinWaitGain, Scheduler.serviceTime() / 2))
    return std::nullopt;
  return flow_refusal::NoFreeSlot;
}

/// Adds this agent to the end of the list, so that a flow that all others
/// decline waits here instead of being refused.
routed_packet
forward_agent::impl::withSelfAsLastResort(routed_packet Routed) const {
  const std::size_t PacketBytes = Routed.Packet.size() + RoutedLevelBytes;
  if (Routed.Count < ownersThatFit(PacketBytes))
    Routed.Owners[Routed.Count++] = Settings.Self;
  return Routed;
}

/// Number of flows other than \p Except that were offered to the target within
/// the last request_scheduler::ReservationTime and are not open yet. If they
/// did not count, a burst of new flows would exceed the target's limit.
std::size_t forward_agent::impl::openingFlows(const flow_key &Except,
                                              instant Now) {
  return Scheduler.countReserved(Now, [&](const flow_key &Flow) {
    const watched_flow *Watched = Load.find(Flow);
    return Flow != Except && (!Watched || Watched->HalfOpen);
  });
}

/// Delivers a packet of a known flow, or holds it if its request has to wait.
/// Packets without payload do not depend on the held ones, so they pass.
agent_outcome forward_agent::impl::deliverInOrder(const routed_packet &Routed,
                                                  const tcp_packet &Head,
                                                  bool BeginsRequest,
                                                  instant Now) {
  const bool IsHeld = Held.holds(Head.Flow);
  if (IsHeld && (Head.Fin || Head.Rst))
    return endHeldRequest(Routed, Head, Now);
  if (IsHeld && Head.Payload > 0)
    return hold(Routed, Head, Now);
  if (BeginsRequest && mustWait(Routed, Head.Flow, Now)) {
    const agent_outcome Outcome = hold(Routed, Head, Now);
    if (Outcome == agent_outcome::Held)
      noteHeld(Head.Flow);
    return Outcome;
  }
  const agent_outcome Outcome =
      deliver(Routed, Head, /*NeedsAnswer=*/false, Now);
  if (Head.Rst) {
    Scheduler.onEnd(Head.Flow, Now);
    releaseReady(Now);
  }
  return Outcome;
}

/// Whether requests are held at all. An agent that is about to stop holds none,
/// because it could not deliver them later.
bool forward_agent::impl::schedules() const {
  return !IsStopping &&
         !Settings.DisabledMechanisms.has(mechanism::RequestScheduling);
}

/// Whether a request that begins has to wait. Without a service level there is
/// no reason to prefer another order to that of arrival.
bool forward_agent::impl::mustWait(const routed_packet &Routed,
                                   const flow_key &Flow, instant Now) {
  const stated_level *Stated = Levels.update(Flow.Service, Routed.Level, Now);
  if (!Stated || !schedules())
    return false;
  return Scheduler.onRequest(Flow, Stated->Level, Now) ==
         request_scheduler::verdict::Hold;
}

/// Counts and records a request that is held. The event's figure is the number
/// of requests that wait.
void forward_agent::impl::noteHeld(const flow_key &Flow) {
  ++Counters.RequestsHeld;
  if (Hooks.OnEvent)
    Hooks.OnEvent({event_kind::RequestHeld,
                   "the target has no free slot",
                   Flow,
                   {},
                   static_cast<double>(Scheduler.waiting()),
                   duration::zero()});
}

/// Stores a packet of a request that waits. If it does not fit, all packets of
/// the flow are delivered, as they are at an agent that does not schedule.
agent_outcome forward_agent::impl::hold(const routed_packet &Routed,
                                        const tcp_packet &Head, instant Now) {
  if (Held.add(Routed, Head) != held_packets::verdict::Full)
    return agent_outcome::Held;
  ++Counters.HoldOverflows;
  Scheduler.onEnd(Head.Flow, Now);
  release(Head.Flow, Now);
  return deliver(Routed, Head, /*NeedsAnswer=*/false, Now);
}

/// The caller gives up a request that has not reached the target. Running it
/// would take a slot from requests that callers still wait for. The packet
/// itself is delivered, so that the target closes the flow.
agent_outcome forward_agent::impl::endHeldRequest(const routed_packet &Routed,
                                                  const tcp_packet &Head,
                                                  instant Now) {
  Held.drop(Head.Flow);
  Scheduler.onEnd(Head.Flow, Now);
  Load.cancelRequest(Head.Flow, Now);
  // The target cannot accept a FIN with payload without the bytes before it.
  if (Head.Payload == 0)
    deliver(Routed, Head, /*NeedsAnswer=*/false, Now);
  releaseReady(Now);
  return agent_outcome::Dropped;
}

void forward_agent::impl::release(const flow_key &Flow, instant Now) {
  Held.release(Flow, [&](const routed_packet &Routed, const tcp_packet &Head) {
    deliver(Routed, Head, /*NeedsAnswer=*/false, Now);
  });
}

void forward_agent::impl::releaseReady(instant Now) {
  for (const request_scheduler::ready_request &Ready :
       Scheduler.takeReady(Now)) {
    release(Ready.Flow, Now);
    if (Hooks.OnReleased)
      Hooks.OnReleased(Ready.Priority, Ready.Waited);
  }
}

/// Removes a flow that the target no longer holds, and its request.
void forward_agent::impl::dropRequest(const flow_key &Flow, instant Now) {
  Load.removeFlow(Flow, Now);
  Held.drop(Flow);
  Scheduler.onEnd(Flow, Now);
  releaseReady(Now);
}

void forward_agent::deliverHeld(instant Now) {
  Impl->IsStopping = true;
  Impl->Held.releaseAll(
      [&](const routed_packet &Routed, const tcp_packet &Head) {
        Impl->deliver(Routed, Head, /*NeedsAnswer=*/false, Now);
      });
  Impl->Scheduler.clear(Now);
}

held_totals forward_agent::held() const {
  return {Impl->Scheduler.waiting(), Impl->Held.bytes()};
}

} // namespace marjoramrail
