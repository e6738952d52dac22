#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

/// Minimum interval between two owner notices to the same balancer about the
/// same flow.
static constexpr duration OwnerNoticeInterval = std::chrono::milliseconds(100);

agent_outcome forward_agent::impl::onRouted(const routed_packet &Routed,
                                            instant Now) {
  segment Segment;
  if (!Codec.Parse(Routed.Packet, Segment))
    return agent_outcome::Malformed;
  if (Segment.Head.opensFlow()) {
    addReportReceiver(Routed, Now);
    return onNewFlow(Routed, Segment, Now);
  }
  return onFlowPacket(Routed, Segment, Now);
}

void forward_agent::impl::addReportReceiver(const routed_packet &Routed,
                                            instant Now) {
  if (Routed.Balancer == endpoint())
    return;
  Balancers[Routed.Balancer] = Now;
  if (Routed.Level)
    noteCapacityReader(Routed.Balancer);
}

/// An entry is removed when the balancer requests a report without capacity.
void forward_agent::impl::noteCapacityReader(const endpoint &Balancer) {
  constexpr std::size_t MaxReaders = 4096;
  if (CapacityReaders.size() >= MaxReaders)
    CapacityReaders.clear();
  CapacityReaders.insert(Balancer);
}

void forward_agent::impl::addOneTimeReceiver(const routed_packet &Routed) {
  if (Routed.Balancer != endpoint())
    ReportOnceTo.insert(Routed.Balancer);
}

agent_outcome forward_agent::impl::onNewFlow(const routed_packet &Routed,
                                             const segment &Segment,
                                             instant Now) {
  if (Hooks.ObserveClock && Routed.Version != 0)
    Hooks.ObserveClock(Routed.Version);
  const auto Refusal = refusalOf(Routed, Segment.Head.Flow, Now);
  if (!Refusal) {
    if (schedules() &&
        Levels.update(Segment.Head.Flow.Service, Routed.Level, Now))
      Scheduler.reserveSlot(Segment.Head.Flow, Now);
    return offer(Routed, Segment.Head, Now);
  }
  // A copy that was held up, for example in a balancer that was paused. Its
  // caller has the flow already, and must not be told that it was refused.
  if (Load.isOpen(Segment.Head.Flow)) {
    logEvent(event_kind::FlowHandedOn, "dropped: its flow is open here",
             Segment.Head.Flow, {});
    return agent_outcome::Dropped;
  }
  ++Counters.Refusals[static_cast<std::size_t>(*Refusal)];
  if (Refusal == flow_refusal::WarmingUp)
    reportExhaustion(Now);
  return passToNext(*Refusal == flow_refusal::NoFreeSlot
                        ? withSelfAsLastResort(Routed)
                        : Routed,
                    Segment.Head, nameOf(FlowRefusalNames, *Refusal));
}

/// Balancers learn of a trial at once, so that they place no more flows here
/// until the target has answered.
agent_outcome forward_agent::impl::offer(const routed_packet &Routed,
                                         const tcp_packet &Head, instant Now) {
  if (Silence.onOffered(Now))
    reportNow(Now);
  return deliver(Routed, Head, /*NeedsAnswer=*/true, Now);
}

/// Returns why a new flow is not offered to the target, if it is not.
std::optional<flow_refusal>
forward_agent::impl::refusalOf(const routed_packet &Routed,
                               const flow_key &Flow, instant Now) {
  // Addresses are reused by other services, and the balancer's list may be
  // older than the change.
  if (Routed.Service != Settings.Service)
    return flow_refusal::AnotherService;
  if (!Admitting)
    return flow_refusal::NotAdmitting;
  if (TargetStopped)
    return flow_refusal::TargetStopped;
  if (Silence.isOnTrial())
    return flow_refusal::TargetSilent;
  if (Policy.Evacuated)
    return flow_refusal::ZoneEvacuated;
  if (const auto Refusal = capacityRefusal(Routed, Flow, Now))
    return Refusal;
  if (isWarmingUp(Now) && !WarmupLimit.admits(Flow, Now))
    return flow_refusal::WarmingUp;
  return std::nullopt;
}

agent_outcome forward_agent::impl::onFlowPacket(const routed_packet &Routed,
                                                const segment &Segment,
                                                instant Now) {
  const bool IsKnown = Load.isOfKnownFlow(Segment.Head);
  if (IsKnown)
    addReportReceiver(Routed, Now);
  else
    addOneTimeReceiver(Routed);
  if (TargetStopped)
    return passToNext(Routed, Segment.Head, "target gone");
  if (IsKnown) {
    sendOwnerNotice(Routed, Segment.Head.Flow, Now);
    noteAbortedRequest(Segment.Head, Now);
    const bool BeginsRequest = Load.onCaller(Segment.Head, Now);
    if (BeginsRequest) {
      ++Counters.Requests;
      if (Hooks.OnRequest)
        Hooks.OnRequest(Segment.Head.Flow, Routed.Packet);
    }
    return deliverInOrder(Routed, Segment.Head, BeginsRequest, Now);
  }
  const agent_outcome Outcome =
      deliver(Routed, Segment.Head, /*NeedsAnswer=*/false, Now);
  if (Silence.isSilent())
    passToNextIncomplete(Routed, Segment.Head);
  return Outcome;
}

/// Passes on a packet that the target does not answer. The target may hold the
/// flow without being able to answer, so no agent may treat the flow as lost:
/// the flags for a complete list are cleared. But if another target holds the
/// flow, the packet has to reach it.
void forward_agent::impl::passToNextIncomplete(routed_packet Routed,
                                               const tcp_packet &Head) {
  Routed.Flags &= static_cast<routed_flags>(
      ~flagsOf({routed_flag::Complete, routed_flag::CompleteSoFar}));
  passToNext(Routed, Head, "target silent");
}

agent_outcome forward_agent::impl::deliver(const routed_packet &Routed,
                                           const tcp_packet &Head,
                                           bool NeedsAnswer, instant Now) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  std::copy(Routed.Packet.begin(), Routed.Packet.end(), Buffer.begin());
  const std::span<std::uint8_t> Packet(Buffer.data(), Routed.Packet.size());
  Codec.SetTag(Packet, Offered.add(Routed, Head, NeedsAnswer, Now));
  Hooks.SendToTarget(Packet);
  return agent_outcome::Delivered;
}

/// Sends an owner notice if the packet came through other agents first, or if
/// its balancer does not know the owner. The notice informs the balancer which
/// agent's target owns the flow, so that the balancer sends the next packets
/// here directly. Without it, every packet of a flow whose owner comes first in
/// the list would start another owner lookup.
void forward_agent::impl::sendOwnerNotice(const routed_packet &Routed,
                                          const flow_key &Flow, instant Now) {
  const bool IsNew =
      Routed.Position > 0 || Routed.has(routed_flag::OwnerUnknown);
  if (!IsNew || Routed.Balancer == endpoint())
    return;
  watched_flow *Watched = Load.find(Flow);
  if (!Watched || (Watched->NotifiedBalancer == Routed.Balancer &&
                   Now - Watched->NotifiedAt < OwnerNoticeInterval))
    return;
  Watched->NotifiedBalancer = Routed.Balancer;
  Watched->NotifiedAt = Now;
  notifyOwner(Routed.Balancer, Flow);
}

void forward_agent::impl::notifyOwner(const endpoint &Balancer,
                                      const flow_key &Flow) {
  const owner_notice Notice{Settings.Service, 0, Flow, Settings.Self};
  std::array<std::uint8_t, OwnerNoticeBytes> Buffer;
  const std::size_t Size = encodeOwnerNotice(Notice, Buffer);
  ++Counters.Notices;
  Hooks.SendToPeer(Balancer, {Buffer.data(), Size});
}

agent_outcome forward_agent::impl::passToNext(routed_packet Routed,
                                              const tcp_packet &Head,
                                              std::string_view Why) {
  do
    ++Routed.Position;
  while (Routed.Position < Routed.Count &&
         Routed.Owners[Routed.Position] == Settings.Self);
  if (Routed.Position >= Routed.Count)
    return onListExhausted(Routed, Head, Why);
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return agent_outcome::Malformed;
  logEvent(Head.opensFlow() ? event_kind::FlowHandedOn
                            : event_kind::OwnerLookupForwarded,
           Why, Head.Flow, Routed.Owners[Routed.Position]);
  Hooks.SendToPeer(Routed.Owners[Routed.Position], {Buffer.data(), Size});
  return agent_outcome::PassedOn;
}

/// Sends the caller of \p Packet a reset. Returns false if none could be
/// written.
bool forward_agent::impl::sendReset(const tcp_packet &Packet) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  const std::size_t Size = Codec.WriteReset(Packet, Buffer);
  if (Size == 0)
    return false;
  Hooks.SendToCaller(Packet.Flow.Caller, {Buffer.data(), Size});
  return true;
}

/// No agent in the list accepts the packet. A new flow was offered to all
/// agents that admit flows, and none opened it, so its caller gets a reset. An
/// open flow may be reset only if the list was complete and all targets have
/// declined.
agent_outcome forward_agent::impl::onListExhausted(const routed_packet &Routed,
                                                   const tcp_packet &Head,
                                                   std::string_view Why) {
  const bool IsNew = Head.opensFlow();
  if (!IsNew && Routed.has(routed_flag::Continues)) {
    logEvent(event_kind::OwnerLookupForwarded,
             "returned to its balancer for the next list", Head.Flow,
             Routed.Balancer);
    return requestNextList(Routed);
  }
  if (Head.Rst || (!IsNew && !Routed.has(routed_flag::Complete))) {
    logEvent(event_kind::OwnerLookupForwarded,
             "not passed on: its list may be incomplete", Head.Flow, {});
    return agent_outcome::Indeterminate;
  }
  if (!sendReset(Head))
    return agent_outcome::Indeterminate;
  logEvent(IsNew ? event_kind::FlowRefused : event_kind::FlowReset, Why,
           Head.Flow, {});
  return IsNew ? agent_outcome::Refused : agent_outcome::Reset;
}

/// Returns the packet to its balancer. The list held only a part of the agents
/// whose targets may own the flow; the balancer sends the packet to the next
/// ones.
agent_outcome forward_agent::impl::requestNextList(routed_packet Routed) {
  if (Routed.Balancer == endpoint())
    return agent_outcome::Indeterminate;
  Routed.Position = 0;
  Routed.Count = 1;
  Routed.Owners[0] = Settings.Self;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return agent_outcome::Malformed;
  Hooks.SendToPeer(Routed.Balancer, {Buffer.data(), Size});
  return agent_outcome::PassedOn;
}

} // namespace marjoramrail
