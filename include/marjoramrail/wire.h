//===- wire.h - Packets between fabric, balancers and agents ----*- C++ -*-===//
///
/// \file
/// Parses the IPv4 and TCP headers of callers' packets, and encodes packets
/// that a balancer forwards to the agents that may own the flow.
///
/// A routed packet is one UDP datagram, integers in network byte order:
///
///   u16 magic 0x4d52 | u8 format | u8 flags | u32 service | u64 version |
///   u8 position | u8 count | u32 address, u16 port of the balancer |
///   count x (u32 address, u16 port) | service level | the caller's packet,
///   unchanged
///
/// The service level is present in format 2 only; format 1 has none:
///
///   u8 priority | u8 flags (1: repeatable) | u16 substitute wait in ms |
///   u32 latency aim, u32 time limit in ms | u32 flow limit |
///   u64 version of the configuration
///
/// The owner that finally takes the packet may send an owner_notice to the
/// balancer's address, which is 0 if the balancer wants no notice. `version` is
/// the version of the balancer's view; `position` is the index in the list of
/// the agent that this datagram is sent to. An agent that does not own the flow
/// increments `position` and forwards the datagram, so a packet visits each
/// listed agent at most once and cannot loop.
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
#include "marjoramrail/service_level.h"

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>

namespace marjoramrail {

using bytes_view = std::span<const std::uint8_t>;

/// Why a packet was rejected. A counter exists for each reason.
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

/// The header fields by which a TCP packet is forwarded. The payload is not
/// inspected.
struct tcp_packet {
  flow_key Flow;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  /// Size of the payload in bytes.
  std::uint16_t Payload = 0;

  /// True for the first packet that a caller sends in a flow.
  bool opensFlow() const { return Syn && !Ack; }
};

/// Parses a packet sent by a caller: Flow.Caller is its source. Does not
/// allocate memory, since it runs for every packet.
packet_fault parseTcpPacket(bytes_view Bytes, tcp_packet &Packet);

/// Parses a packet sent to a caller: Flow.Caller is its destination.
packet_fault parseReturnPacket(bytes_view Bytes, tcp_packet &Packet);

/// Twice the size of owner_list. For services whose targets end their flows
/// themselves, a packet lists every target that may own the flow, as far as the
/// link's packet size allows.
inline constexpr std::size_t MaxRoutedOwners = 64;
inline constexpr std::size_t MaxPacketBytes = 1500;
inline constexpr std::size_t RoutedFixedBytes = 24;
/// Size of the service level in a packet of format 2.
inline constexpr std::size_t RoutedLevelBytes = 24;
inline constexpr std::size_t MaxRoutedBytes =
    RoutedFixedBytes + MaxRoutedOwners * 6 + RoutedLevelBytes + MaxPacketBytes;

/// Bits of routed_packet::Flags.
enum class routed_flag : std::uint8_t {
  /// The sender has received no fleet update for longer than its time limit.
  Stale = 1,
  /// An agent above its share of connections passed this SYN to the next one.
  HandedOn = 2,
  /// The position is past the end of the list: the sender is an agent with a
  /// newer view.
  Extended = 4,
  /// All other choices have declined this SYN; an agent that can take it must.
  LastResort = 8,
  /// The list names every agent that may own the flow. If all of them decline
  /// the packet, the flow has no owner.
  Complete = 16,
  /// More agents may own the flow than fit into one list. When all listed
  /// agents have declined, the packet returns to routed_packet::Balancer, which
  /// sends it to the next ones; `version` holds the progress of this owner
  /// lookup.
  Continues = 32,
  /// With Continues: no owner candidate was omitted up to the end of this list.
  CompleteSoFar = 64,
  /// The balancer does not know the owner, so that the owner sends it a notice
  /// also if it is the first in the list.
  OwnerUnknown = 128,
};

/// A set of flags, as routed_packet::Flags holds it.
using routed_flags = std::uint8_t;

constexpr routed_flags flagsOf(std::initializer_list<routed_flag> List) {
  unsigned Flags = 0;
  for (const routed_flag Flag : List)
    Flags |= static_cast<routed_flags>(Flag);
  return static_cast<routed_flags>(Flags);
}

/// How many owners fit in front of a packet of \p PacketBytes (with the service
/// level, if any) into one datagram that a link with an MTU of 1,500 bytes
/// carries without fragmentation. A fragmented datagram is lost if any of its
/// fragments is lost.
constexpr std::size_t ownersThatFit(std::size_t PacketBytes) {
  constexpr std::size_t LinkBytes = 1500;
  constexpr std::size_t Ipv4AndUdpBytes = 28;
  constexpr std::size_t OwnerBytes = 6;
  const std::size_t Taken = Ipv4AndUdpBytes + RoutedFixedBytes + PacketBytes;
  return Taken >= LinkBytes
             ? 1
             : std::min((LinkBytes - Taken) / OwnerBytes, MaxRoutedOwners);
}

/// Longest routed_packet::SubstituteWait.
inline constexpr duration MaxSubstituteWait = std::chrono::milliseconds(65'534);

/// A caller's packet and the agents that may own its flow. After decoding,
/// Packet points into the decoded buffer.
struct routed_packet {
  service_id Service{};
  std::uint64_t Version = 0;
  std::uint8_t Flags = 0;
  std::uint8_t Position = 0;
  std::uint8_t Count = 0;
  /// The address to which the owner may send an owner_notice.
  endpoint Balancer;
  std::array<endpoint, MaxRoutedOwners> Owners{};
  /// The service level of the packet's route, if the balancer states one. Only
  /// agents that know format 2 can read a packet with a level.
  std::optional<stated_level> Level = {};
  /// With Level: how long a request would wait at the second agent of the list
  /// or, if longer, at the third, as far as the balancer knew; nothing if it
  /// did not know. In whole milliseconds, up to MaxSubstituteWait.
  std::optional<duration> SubstituteWait = {};
  bytes_view Packet;

  bool has(routed_flag Flag) const {
    return (Flags & static_cast<std::uint8_t>(Flag)) != 0;
  }
};

/// Writes \p Routed to \p Buffer and returns its size; 0 if it does not fit.
std::size_t encodeRouted(const routed_packet &Routed,
                         std::span<std::uint8_t> Buffer);

/// Decodes a datagram. \p Routed points into \p Bytes afterwards.
packet_fault decodeRouted(bytes_view Bytes, routed_packet &Routed);

/// True if \p Bytes has the magic number of a routed packet.
bool isRouted(bytes_view Bytes);

/// Reports to a balancer that the sending agent owns a flow, so that the
/// balancer sends the flow's next packets directly to it. The balancer only
/// caches this and may evict it at any time.
///
/// One UDP datagram from the owner's routed socket to routed_packet::Balancer.
/// It is useful if the packet came through another agent (Position > 0), or if
/// the balancer does not know the owner (routed_flag::OwnerUnknown).
/// Integers are in network byte order:
///
///   u16 magic 0x4d4f | u8 format 1 | u8 zero | u32 service | u64 version |
///   3 x (u32 address, u16 port): caller, service, owner
///
/// The balancer's port receives IPv4 packets too. A notice cannot be mistaken
/// for one: its first byte, read as an IPv4 header length, exceeds the
/// datagram.
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

/// True if \p Bytes has the size and the magic number of an owner notice.
bool isOwnerNotice(bytes_view Bytes);

packet_fault decodeOwnerNotice(bytes_view Bytes, owner_notice &Notice);

/// Reports to a balancer that another agent does not respond. It is sent on the
/// first suspicion. For a while the balancer uses that agent only as the last
/// choice, so that packets reach an agent that can determine the flow's owner.
/// Otherwise they would be lost until the fleet has declared the agent dead.
///
/// One UDP datagram from the sender's routed socket, integers in network byte
/// order: u16 magic 0x4d53 | u8 format 1 | u8 zero | u32 service |
/// u32 address, u16 port of the unresponsive agent
struct unresponsive_notice {
  service_id Service{};
  endpoint Agent;

  bool operator==(const unresponsive_notice &) const = default;
};

inline constexpr std::size_t UnresponsiveNoticeBytes = 14;

/// Writes \p Notice to \p Buffer and returns its size; 0 if it does not fit.
std::size_t encodeUnresponsiveNotice(const unresponsive_notice &Notice,
                                     std::span<std::uint8_t> Buffer);

/// True if \p Bytes has the size and the magic number of such a notice.
bool isUnresponsiveNotice(bytes_view Bytes);

packet_fault decodeUnresponsiveNotice(bytes_view Bytes,
                                      unresponsive_notice &Notice);

/// Writes a TCP reset in response to \p Packet, with the service as its source.
/// A caller whose flow has no owner any more then fails at once instead of
/// timing out. Returns the size of the IPv4 packet written to \p Buffer, which
/// needs 40 bytes. Returns 0 if it does not fit, or if \p Packet is itself a
/// reset, which gets no response (RFC 9293, 3.10.7.1).
std::size_t writeReset(const tcp_packet &Packet,
                       std::span<std::uint8_t> Buffer);

} // namespace marjoramrail

#endif // MARJORAMRAIL_WIRE_H
