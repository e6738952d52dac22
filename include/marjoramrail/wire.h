//===- wire.h - Packets between fabric, balancers and agents ----*- C++ -*-===//
///
/// \file
/// Reads the callers' IPv4/TCP headers and frames packets on their way from a
/// balancer to the agents that may own the flow.
///
/// A routed packet is one UDP datagram, integers in network byte order:
///
///   u16 magic 0x4d52 | u8 format 1 | u8 flags | u32 service | u64 version |
///   u8 position | u8 count | u32 address, u16 port of the balancer |
///   count x (u32 address, u16 port) | the caller's IPv4 packet, unchanged
///
/// The balancer's address goes along so that the owner at the end of the way
/// can name itself to it (owner_notice); it is 0 if the balancer wants no word.
/// `version` is the view's version at the balancer; `position` is the place in
/// the list that this datagram was sent to. An agent that does not own the flow
/// raises it and sends the datagram on, so a packet visits each owner at most
/// once and cannot loop.
///
/// Usage:
/// \code
///   result<tcp_packet> Packet = parseTcpPacket(Bytes);
///   routed_packet Routed{Service, Version, Flags, 0, Owners, Bytes};
///   std::size_t Size = encodeRouted(Routed, Buffer);
///   result<routed_packet> Back = decodeRouted({Buffer, Size});
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_WIRE_H
#define MARJORAMRAIL_WIRE_H

#include "marjoramrail/base.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace marjoramrail {

using bytes_view = std::span<const std::uint8_t>;

/// Why a packet was refused; each reason is counted.
enum class packet_fault {
  None,
  Truncated,
  NotIpv4,
  BadLength,
  Fragment,
  NotTcp,
  BadMagic,
  BadFormat,
  TooManyOwners,
  BadPosition,
  ServiceMismatch,
  UnknownService,
  ForeignSender,
  /// The service has no target that may take the packet.
  NoTarget,
};

inline constexpr name_table<packet_fault, 14> PacketFaultNames = {{
    {packet_fault::None, "none"},
    {packet_fault::Truncated, "truncated"},
    {packet_fault::NotIpv4, "not_ipv4"},
    {packet_fault::BadLength, "bad_length"},
    {packet_fault::Fragment, "fragment"},
    {packet_fault::NotTcp, "not_tcp"},
    {packet_fault::BadMagic, "bad_magic"},
    {packet_fault::BadFormat, "bad_format"},
    {packet_fault::TooManyOwners, "too_many_owners"},
    {packet_fault::BadPosition, "bad_position"},
    {packet_fault::ServiceMismatch, "service_mismatch"},
    {packet_fault::UnknownService, "unknown_service"},
    {packet_fault::ForeignSender, "foreign_sender"},
    {packet_fault::NoTarget, "no_target"},
}};

/// What a decision about a TCP packet needs; the packet itself stays opaque.
struct tcp_packet {
  flow_key Flow;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  /// Bytes of payload.
  std::uint16_t Payload = 0;

  /// The first packet of a flow, as a caller sends it.
  bool opensFlow() const { return Syn && !Ack; }
};

/// Reads a packet that a caller sent (Flow.Caller is its source). Does not
/// allocate: this runs for every packet.
packet_fault parseTcpPacket(bytes_view Bytes, tcp_packet &Packet);

/// Reads a packet on its way back (Flow.Caller is its destination).
packet_fault parseReturnPacket(bytes_view Bytes, tcp_packet &Packet);

/// Twice what owner_list holds: where targets end their flows themselves, a
/// packet names every target that may hold its flow, as far as the link allows.
inline constexpr std::size_t MaxRoutedOwners = 64;
inline constexpr std::size_t MaxPacketBytes = 1500;
inline constexpr std::size_t RoutedFixedBytes = 24;
inline constexpr std::size_t MaxRoutedBytes =
    RoutedFixedBytes + MaxRoutedOwners * 6 + MaxPacketBytes;

/// Bits of routed_packet::Flags.
enum class routed_flag : std::uint8_t {
  /// The sender has not heard of the fleet for longer than its bound.
  Stale = 1,
  /// An agent over its share handed this SYN on.
  HandedOn = 2,
  /// The position is past the list: sent by an agent that knows a newer view.
  Extended = 4,
  /// All other choices have declined this SYN; whoever can must take it.
  LastResort = 8,
  /// The list names everyone who can hold the flow: what all decline belongs to
  /// no one.
  Complete = 16,
  /// More can hold the flow than one list names. When all in the list have
  /// declined, the packet goes back to routed_packet::Balancer, which sends it
  /// to the next ones; `version` says how far the walk has come.
  Continues = 32,
  /// With Continues: nobody was left out up to the end of this list.
  CompleteSoFar = 64,
};

/// How many owners fit before a packet of \p PacketBytes into one datagram that
/// a link of 1,500 bytes carries whole. One that is cut into fragments is lost
/// with any of them.
constexpr std::size_t ownersThatFit(std::size_t PacketBytes) {
  constexpr std::size_t LinkBytes = 1500;
  constexpr std::size_t Ipv4AndUdpBytes = 28;
  constexpr std::size_t OwnerBytes = 6;
  const std::size_t Taken = Ipv4AndUdpBytes + RoutedFixedBytes + PacketBytes;
  return Taken >= LinkBytes
             ? 1
             : std::min((LinkBytes - Taken) / OwnerBytes, MaxRoutedOwners);
}

/// A caller's packet with its possible owners. Views into the decoded buffer.
struct routed_packet {
  service_id Service{};
  std::uint64_t Version = 0;
  std::uint8_t Flags = 0;
  std::uint8_t Position = 0;
  std::uint8_t Count = 0;
  /// Where the owner may send its notice.
  endpoint Balancer;
  std::array<endpoint, MaxRoutedOwners> Owners{};
  bytes_view Packet;

  bool has(routed_flag Flag) const {
    return (Flags & static_cast<std::uint8_t>(Flag)) != 0;
  }
};

/// Writes \p Routed to \p Buffer and returns its size; 0 if it does not fit.
std::size_t encodeRouted(const routed_packet &Routed,
                         std::span<std::uint8_t> Buffer);

/// Reads a datagram. \p Routed points into \p Bytes afterwards.
packet_fault decodeRouted(bytes_view Bytes, routed_packet &Routed);

/// True if \p Bytes has the magic number of a routed packet.
bool isRouted(bytes_view Bytes);

/// An agent's word to a balancer that it owns a flow, so that the flow's next
/// packets reach it without a detour. The balancer may forget it at any time.
///
/// One UDP datagram from the owner's routed socket to routed_packet::Balancer,
/// worth sending when a packet came by way of another agent (Position > 0);
/// integers in network byte order:
///
///   u16 magic 0x4d4f | u8 format 1 | u8 zero | u32 service | u64 version |
///   3 x (u32 address, u16 port): caller, service, owner
///
/// On the balancer's port it cannot be taken for an IPv4 packet: the length in
/// the first byte of such a one would exceed the datagram.
struct owner_notice {
  service_id Service{};
  /// The version of the owner's view.
  std::uint64_t Version = 0;
  flow_key Flow;
  endpoint Owner;

  bool operator==(const owner_notice &) const = default;
};

inline constexpr std::size_t OwnerNoticeBytes = 34;

/// Writes \p Notice to \p Buffer and returns its size; 0 if it does not fit.
std::size_t encodeOwnerNotice(const owner_notice &Notice,
                              std::span<std::uint8_t> Buffer);

/// True if \p Bytes has the size and the magic number of a notice.
bool isOwnerNotice(bytes_view Bytes);

packet_fault decodeOwnerNotice(bytes_view Bytes, owner_notice &Notice);

/// An agent's word to a balancer that a peer does not answer. Sent as soon as
/// there is a doubt: the balancer only tries that peer last for a while, so
/// that packets reach an agent that can find the truth, instead of vanishing
/// until the fleet has declared the peer down.
///
/// One UDP datagram from the sender's routed socket, integers in network byte
/// order: u16 magic 0x4d53 | u8 format 1 | u8 zero | u32 service |
/// u32 address, u16 port of the silent agent
struct unresponsive_notice {
  service_id Service{};
  endpoint Agent;

  bool operator==(const unresponsive_notice &) const = default;
};

inline constexpr std::size_t UnresponsiveNoticeBytes = 14;

/// Writes \p Notice to \p Buffer and returns its size; 0 if it does not fit.
std::size_t encodeUnresponsiveNotice(const unresponsive_notice &Notice,
                                     std::span<std::uint8_t> Buffer);

/// True if \p Bytes has the size and the magic number of a silence notice.
bool isUnresponsiveNotice(bytes_view Bytes);

packet_fault decodeUnresponsiveNotice(bytes_view Bytes,
                                      unresponsive_notice &Notice);

/// A reset that answers \p Packet in the service's name, so that a caller whose
/// flow has no owner any more learns it at once instead of by silence. Returns
/// the size of the IPv4 packet written to \p Buffer (40 bytes are needed), or 0
/// if it does not fit or \p Packet is a reset itself, which gets no answer
/// (RFC 9293, 3.10.7.1).
std::size_t writeReset(const tcp_packet &Packet,
                       std::span<std::uint8_t> Buffer);

} // namespace marjoramrail

#endif // MARJORAMRAIL_WIRE_H
