#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

/// The same balancer is told the owner of the same flow at most this often.
static constexpr duration NoticeSpacing = std::chrono::milliseconds(100);

agent_outcome forward_agent::impl::onRouted(const routed_packet &Routed,
                                            instant Now) {
  segment Segment;
  if (!Codec.Parse(Routed.Packet, Segment))
    return agent_outcome::Malformed;
  if (Segment.Head.opensFlow()) {
    noteUser(Routed, Now);
    return onNewFlow(Routed, Segment, Now);
  }
  return onFlowPacket(Routed, Segment, Now);
}

void forward_agent::impl::noteUser(const routed_packet &Routed, instant Now) {
  if (Routed.Balancer != endpoint())
    Balancers[Routed.Balancer] = Now;
}

void forward_agent::impl::noteWalk(const routed_packet &Routed) {
  if (Routed.Balancer != endpoint())
    ReportOnceTo.insert(Routed.Balancer);
}

agent_outcome forward_agent::impl::onNewFlow(const routed_packet &Routed,
                                             const segment &Segment,
                                             instant Now) {
  if (Hooks.Witness && Routed.Version != 0)
    Hooks.Witness(Routed.Version);
  // An address is used again by other services; the balancer's list may be of
  // before.
  if (Routed.Service != Settings.Service)
    return passOn(Routed, Segment.Head, "another service");
  if (!Admitting)
    return passOn(Routed, Segment.Head, "not admitting");
  if (TargetGone)
    return passOn(Routed, Segment.Head, "target gone");
  return deliver(Routed, Segment, /*Waits=*/true, Now);
}

agent_outcome forward_agent::impl::onFlowPacket(const routed_packet &Routed,
                                                const segment &Segment,
                                                instant Now) {
  const target_load::caller_packet Kind = Load.judge(Segment.Head);
  if (Kind == target_load::caller_packet::Known)
    noteUser(Routed, Now);
  else
    noteWalk(Routed);
  if (TargetGone)
    return passOn(Routed, Segment.Head, "target gone");
  if (Kind == target_load::caller_packet::Elsewhere)
    return passOn(Routed, Segment.Head, "opened elsewhere");
  const bool IsKnown = Kind == target_load::caller_packet::Known;
  if (IsKnown) {
    nameOwner(Routed, Segment.Head.Flow, Now);
    noteGivenUp(Segment.Head, Now);
    if (Load.onCaller(Segment.Head, Now)) {
      ++Counters.Requests;
      if (Hooks.OnRequest)
        Hooks.OnRequest(Segment.Head.Flow, Routed.Packet);
    }
  }
  const agent_outcome Outcome = deliver(Routed, Segment, /*Waits=*/false, Now);
  if (!IsKnown && Silent)
    passOnUnsure(Routed, Segment.Head);
  return Outcome;
}

/// The target does not answer: it may hold the flow and be unable to say so,
/// and nobody may call the flow lost; but if another target holds it, the
/// packet must get there.
void forward_agent::impl::passOnUnsure(routed_packet Routed,
                                       const tcp_packet &Head) {
  Routed.Flags &= ~(static_cast<std::uint8_t>(routed_flag::Whole) |
                    static_cast<std::uint8_t>(routed_flag::WholeSoFar));
  passOn(Routed, Head, "target silent");
}

agent_outcome forward_agent::impl::deliver(const routed_packet &Routed,
                                           const segment &Segment, bool Waits,
                                           instant Now) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  std::copy(Routed.Packet.begin(), Routed.Packet.end(), Buffer.begin());
  const std::span<std::uint8_t> Packet(Buffer.data(), Routed.Packet.size());
  Codec.SetTag(Packet, Offered.add(Routed, Segment.Head, Waits, Now));
  Hooks.SendToTarget(Packet);
  return agent_outcome::Delivered;
}

/// The flow's packets came by way of others: the balancer is told, so that the
/// next ones come straight.
void forward_agent::impl::nameOwner(const routed_packet &Routed,
                                    const flow_key &Flow, instant Now) {
  if (Routed.Position == 0 || Routed.Balancer == endpoint())
    return;
  watched_flow *Watched = Load.find(Flow);
  if (!Watched || (Watched->NoticedBalancer == Routed.Balancer &&
                   Now - Watched->NoticedAt < NoticeSpacing))
    return;
  Watched->NoticedBalancer = Routed.Balancer;
  Watched->NoticedAt = Now;
  const owner_notice Notice{Settings.Service, 0, Flow, Settings.Self};
  std::array<std::uint8_t, OwnerNoticeBytes> Buffer;
  const std::size_t Size = encodeOwnerNotice(Notice, Buffer);
  ++Counters.Notices;
  Hooks.SendToPeer(Routed.Balancer, {Buffer.data(), Size});
}

agent_outcome forward_agent::impl::passOn(routed_packet Routed,
                                          const tcp_packet &Head,
                                          std::string_view Why) {
  do
    ++Routed.Position;
  while (Routed.Position < Routed.Count &&
         Routed.Owners[Routed.Position] == Settings.Self);
  if (Routed.Position >= Routed.Count)
    return endOfList(Routed, Head, Why);
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return agent_outcome::Malformed;
  tell(Head.opensFlow() ? event_kind::FlowHandedOn
                        : event_kind::OwnerLookupForwarded,
       Why, Head.Flow, Routed.Owners[Routed.Position]);
  Hooks.SendToPeer(Routed.Owners[Routed.Position], {Buffer.data(), Size});
  return agent_outcome::PassedOn;
}

/// Tells the caller of \p Packet that its flow is over.
bool forward_agent::impl::sendReset(const tcp_packet &Packet) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  const std::size_t Size = Codec.WriteReset(Packet, Buffer);
  if (Size == 0)
    return false;
  Hooks.SendToCaller(Packet.Flow.Caller, {Buffer.data(), Size});
  return true;
}

/// Nobody in the list takes the packet. A new flow has been offered to all that
/// admit, and was opened by none: its caller may be told. A flow that is open
/// may only be reset if the list was whole and all have said no.
agent_outcome forward_agent::impl::endOfList(const routed_packet &Routed,
                                             const tcp_packet &Head,
                                             std::string_view Why) {
  const bool IsNew = Head.opensFlow();
  if (!IsNew && Routed.has(routed_flag::Continues)) {
    tell(event_kind::OwnerLookupForwarded,
         "back to its balancer, for the next list", Head.Flow, Routed.Balancer);
    return askForMore(Routed);
  }
  if (Head.Rst || (!IsNew && !Routed.has(routed_flag::Whole))) {
    tell(event_kind::OwnerLookupForwarded,
         "to nobody: its list may not be whole", Head.Flow, {});
    return agent_outcome::Unsure;
  }
  if (!sendReset(Head))
    return agent_outcome::Unsure;
  tell(IsNew ? event_kind::FlowRefused : event_kind::FlowReset, Why, Head.Flow,
       {});
  return IsNew ? agent_outcome::Refused : agent_outcome::Reset;
}

/// The list named only a part of those who can hold the flow; the balancer that
/// wrote it knows the rest.
agent_outcome forward_agent::impl::askForMore(routed_packet Routed) {
  if (Routed.Balancer == endpoint())
    return agent_outcome::Unsure;
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
