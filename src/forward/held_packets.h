//===- held_packets.h - Packets of requests that wait -----------*- C++ -*-===//
///
/// \file
/// Stores the packets of requests that an agent does not deliver yet, because
/// its target is busy with others. The packets of one flow stay in order and
/// unchanged. A caller that gets no acknowledgement sends them again, so a copy
/// of a stored packet is not stored twice.
///
/// The store is bounded: an overload with large requests would otherwise use up
/// the memory of the agent, which shares its VM with the target.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_HELD_PACKETS_H
#define MARJORAMRAIL_FORWARD_HELD_PACKETS_H

#include "marjoramrail/wire.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace marjoramrail::internal {

class held_packets {
public:
  /// Twice the number of packets that a caller usually has in flight.
  static constexpr std::size_t MaxPacketsPerFlow = 32;
  static constexpr std::size_t MaxBytes = 4 * 1024 * 1024;

  enum class verdict {
    Stored,
    /// All bytes of the packet are stored already.
    Duplicate,
    /// The packet does not fit; nothing was stored.
    Full,
  };

  using receiver =
      std::function<void(const routed_packet &Routed, const tcp_packet &Head)>;

  verdict add(const routed_packet &Routed, const tcp_packet &Head);
  bool holds(const flow_key &Flow) const { return Flows.contains(Flow); }
  /// Removes the packets of \p Flow and calls \p Deliver for each, in the order
  /// of their arrival.
  void release(const flow_key &Flow, const receiver &Deliver);
  /// Does the same for all flows, in the order of their first packets.
  void releaseAll(const receiver &Deliver);
  /// Removes the packets of \p Flow without delivering them.
  void drop(const flow_key &Flow);
  void clear();

  std::size_t flows() const { return Flows.size(); }
  /// Total size of the stored packets.
  std::size_t bytes() const { return Bytes; }

private:
  struct held_packet {
    tcp_packet Head;
    /// The routed packet as it was encoded.
    std::vector<std::uint8_t> Datagram;
  };
  using packet_list = std::vector<held_packet>;

  struct held_flow {
    /// Position of the first packet among those of all flows.
    std::uint64_t Order = 0;
    packet_list Packets;
  };

  static bool contains(const packet_list &Packets, const tcp_packet &Head);
  static void deliver(const packet_list &Packets, const receiver &Deliver);
  packet_list take(const flow_key &Flow);

  std::unordered_map<flow_key, held_flow, flow_key_hash> Flows;
  std::uint64_t LastOrder = 0;
  std::size_t Bytes = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_HELD_PACKETS_H
