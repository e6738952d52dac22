#include "agent_process.h"

namespace marjoramrail {

void agent_process::takeBatch(std::span<const datagram> Batch) {
  for (const datagram &Datagram : Batch) {
    if (isPeerMessage(Datagram.Bytes))
      takePeerMessage(Datagram);
    else if (isFleetMessage(Datagram.Bytes))
      HeartbeatSender.input(Datagram.From, Datagram.Bytes);
    else
      takeRouted(Datagram);
  }
}

std::uint64_t &agent_process::count(const char *Reason) {
  return Metrics.counter("agent_dropped_total",
                         std::string("reason=\"") + Reason + "\"");
}

void agent_process::takePeerMessage(const datagram &Datagram) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Message, decodePeerMessage(Datagram.Bytes));
    if (Owner)
      Owner->receive(Message, Datagram.From, Loop.timers().now());
    return {};
  });
  if (Failure)
    ++count("bad_peer_message");
}

void agent_process::takeRouted(const datagram &Datagram) {
  routed_packet Routed;
  tcp_packet Packet;
  packet_fault Fault = decodeRouted(Datagram.Bytes, Routed);
  if (Fault == packet_fault::None)
    Fault = parseTcpPacket(Routed.Packet, Packet);
  if (Fault == packet_fault::None && !Owner)
    Fault = packet_fault::UnknownService;
  if (Fault != packet_fault::None) {
    ++count(nameOf(PacketFaultNames, Fault).data());
    return;
  }
  act(Owner->decide(Routed, Packet, Datagram.From, Loop.timers().now()), Packet,
      Routed);
}

/// Notifies the balancer of the flow's owner, so that it sends the flow's next
/// packets directly to this agent.
void agent_process::sendNotice(const routed_packet &Routed,
                               const flow_key &Flow) {
  if (Routed.Position == 0 || Routed.Balancer == endpoint())
    return;
  const owner_notice Notice{Routed.Service, Owner->viewVersion(), Flow,
                            Settings.RoutedListen};
  std::array<std::uint8_t, OwnerNoticeBytes> Buffer;
  const std::size_t Size = encodeOwnerNotice(Notice, Buffer);
  Socket.send(Routed.Balancer, {Buffer.data(), Size});
}

/// Describes how a flow's first packet was routed to this agent, for the
/// timeline.
static std::string traceOf(const routed_packet &Came) {
  std::string Trace = "by balancer " + toText(Came.Balancer) + ", view " +
                      std::to_string(Came.Version) + ", choice " +
                      std::to_string(Came.Position + 1) + " of " +
                      std::to_string(Came.Count);
  if (Came.has(routed_flag::HandedOn))
    Trace += ", handed on";
  return Trace;
}

void agent_process::act(const packet_decision &Decision,
                        const tcp_packet &Packet, const routed_packet &Came) {
  if (Decision.DiscardHalfOpen)
    Stack.forget(Packet.Flow);
  switch (Decision.Action) {
  case packet_action::Deliver:
    if (Packet.opensFlow())
      record(event_kind::FlowRouted, toText(Packet.Flow), traceOf(Came));
    Stack.input(Came.Packet);
    return sendNotice(Came, Packet.Flow);
  case packet_action::PassOn: {
    std::array<std::uint8_t, MaxRoutedBytes> Buffer;
    const routed_packet &Routed = Decision.Routed;
    const std::size_t Size = encodeRouted(Routed, Buffer);
    Socket.send(Routed.Owners[Routed.Position], {Buffer.data(), Size});
    if (Packet.opensFlow())
      record(event_kind::FlowHandedOn, toText(Packet.Flow),
             std::string(nameOf(PacketReasonNames, Decision.Reason)));
    return;
  }
  case packet_action::Reset:
    record(event_kind::FlowReset, toText(Packet.Flow),
           std::string(nameOf(PacketReasonNames, Decision.Reason)));
    return sendReset(Packet);
  case packet_action::Drop:
    return;
  }
}

void agent_process::sendReset(const tcp_packet &Packet) {
  constexpr std::size_t ResetBytes = 40;
  std::array<std::uint8_t, ResetBytes> Buffer;
  if (const std::size_t Size = writeReset(Packet, Buffer))
    Socket.send(Settings.FabricReturn, {Buffer.data(), Size});
}

void agent_process::sendAnswer(bytes_view Packet) {
  tcp_packet Answer;
  if (Owner && parseReturnPacket(Packet, Answer) == packet_fault::None)
    Owner->noteAnswer(Answer, Loop.timers().now());
  Socket.send(Settings.FabricReturn, Packet);
}

} // namespace marjoramrail
