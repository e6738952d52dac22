//===- offered_packets.h - Packets delivered to the target ------*- C++ -*-===//
///
/// \file
/// Stores where a packet goes next if the target declines it or does not
/// answer. The target returns a declined packet with the tag that the agent
/// wrote into it, but without the list of agents that the packet came with.
///
/// The packets are stored in a ring buffer: a target answers within a
/// millisecond, so only the latest packets matter. If the slot of a packet has
/// been reused, the packet is lost and its sender retransmits it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H
#define MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H

#include "marjoramrail/forward.h"

#include <deque>

namespace marjoramrail::internal {

/// A packet that was delivered to the target, and the list of agents it came
/// with.
struct offered_packet {
  std::uint32_t Tag = 0;
  routed_packet Routed;
  tcp_packet Head;
  instant At;
  /// The packet itself. Only set if the target has to answer it (see
  /// NeedsAnswer); Routed.Packet is always empty.
  std::vector<std::uint8_t> Bytes;
  /// The target has to answer this packet and has not done so yet.
  bool NeedsAnswer = false;
};

/// Ring buffer of the packets that were last delivered to the target.
class offered_packets {
public:
  /// An agent that uses 0.15 of a core handles fewer packets than this in the
  /// time that a target takes to decline one.
  static constexpr std::size_t Capacity = 512;
  /// Time within which a target must answer a SYN or a packet of a flow that
  /// the agent does not know. Targets take 0.3 ms; the rest allows for delays
  /// of the agent itself. Well below the 200 ms after which callers retransmit.
  static constexpr duration AnswerTimeout = std::chrono::milliseconds(60);

  /// Stores a packet and returns its tag. With \p NeedsAnswer, takeExpired()
  /// returns the packet after AnswerTimeout unless the target has answered on
  /// its flow before.
  std::uint32_t add(const routed_packet &Routed, const tcp_packet &Head,
                    bool NeedsAnswer, instant Now);
  /// Returns the packet that the target declined, or null if it is no longer
  /// stored. The packet no longer needs an answer.
  offered_packet *findDeclined(std::uint32_t Tag, const flow_key &Flow);
  /// Returns the packet on \p Flow that the target has to answer, or null.
  const offered_packet *findWaiting(const flow_key &Flow) const;
  /// The target has answered on \p Flow.
  void onTargetAnswer(const flow_key &Flow);
  /// Returns the next packet whose answer is overdue, or null.
  offered_packet *takeExpired(instant Now);
  /// When the next answer becomes overdue, if any packet needs one.
  std::optional<instant> nextExpiry();

private:
  void dropAnswered();

  std::vector<offered_packet> Ring;
  std::deque<std::uint32_t> Waiting;
  std::uint32_t LastTag = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H
