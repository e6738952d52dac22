#include "forward/held_packets.h"

#include <algorithm>
#include <array>
#include <map>

namespace marjoramrail::internal {

/// Whether the bytes of \p Packet are a part of those of \p Stored. The
/// difference of two sequence numbers of one flow is correct even if they wrap
/// around.
static bool covers(const tcp_packet &Stored, const tcp_packet &Packet) {
  const std::uint32_t Offset = Packet.Sequence - Stored.Sequence;
  return Offset <= Stored.Payload &&
         Offset + Packet.Payload <= Stored.Payload &&
         (!Packet.Fin || Stored.Fin);
}

bool held_packets::contains(const packet_list &Packets,
                            const tcp_packet &Head) {
  return std::any_of(
      Packets.begin(), Packets.end(),
      [&](const held_packet &Packet) { return covers(Packet.Head, Head); });
}

held_packets::verdict held_packets::add(const routed_packet &Routed,
                                        const tcp_packet &Head) {
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  const auto Found = Flows.find(Head.Flow);
  if (Found != Flows.end() && contains(Found->second.Packets, Head))
    return verdict::Duplicate;
  const bool IsFlowFull =
      Found != Flows.end() && Found->second.Packets.size() >= MaxPacketsPerFlow;
  if (Size == 0 || IsFlowFull || Bytes + Size > MaxBytes)
    return verdict::Full;
  held_flow &Flow = Flows[Head.Flow];
  if (Flow.Packets.empty())
    Flow.Order = ++LastOrder;
  Flow.Packets.push_back({Head, {Buffer.begin(), Buffer.begin() + Size}});
  Bytes += Size;
  return verdict::Stored;
}

held_packets::packet_list held_packets::take(const flow_key &Flow) {
  const auto Found = Flows.find(Flow);
  if (Found == Flows.end())
    return {};
  packet_list Packets = std::move(Found->second.Packets);
  Flows.erase(Found);
  for (const held_packet &Packet : Packets)
    Bytes -= Packet.Datagram.size();
  return Packets;
}

void held_packets::deliver(const packet_list &Packets,
                           const receiver &Deliver) {
  for (const held_packet &Packet : Packets) {
    routed_packet Routed;
    if (decodeRouted(Packet.Datagram, Routed) == packet_fault::None)
      Deliver(Routed, Packet.Head);
  }
}

void held_packets::release(const flow_key &Flow, const receiver &Deliver) {
  deliver(take(Flow), Deliver);
}

void held_packets::releaseAll(const receiver &Deliver) {
  std::map<std::uint64_t, packet_list> Released;
  for (auto &[Key, Flow] : Flows)
    Released[Flow.Order] = std::move(Flow.Packets);
  clear();
  for (const auto &[Order, Packets] : Released)
    deliver(Packets, Deliver);
}

void held_packets::drop(const flow_key &Flow) { take(Flow); }

void held_packets::clear() {
  Flows.clear();
  Bytes = 0;
}

} // namespace marjoramrail::internal
