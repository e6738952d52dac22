//===- offered_packets.h - Packets put to the target ------------*- C++ -*-===//
///
/// \file
/// Remembers where a packet goes next if the target declines it or does not
/// answer. The target gives a declined packet back with the tag that the agent
/// wrote into it, but without the list of agents that the packet came with.
///
/// The memory is a ring: a target answers within a millisecond, so only the
/// last packets matter. A packet whose place was taken again is sent again by
/// its sender.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H
#define MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H

#include "marjoramrail/forward.h"

#include <deque>

namespace marjoramrail::internal {

/// A packet's list, without the packet.
struct offered_packet {
  std::uint32_t Tag = 0;
  routed_packet Routed;
  tcp_packet Head;
  instant At;
  /// The packet itself, for one that waits for the target's word.
  std::vector<std::uint8_t> Bytes;
  bool NeedsAnswer = false;
};

class offered_packets {
public:
  /// At 0.15 of a core an agent handles fewer packets in the time that a target
  /// takes to decline one.
  static constexpr std::size_t Capacity = 512;
  /// A target that has not answered a SYN or a stranger's packet by then is not
  /// waited for: targets take 0.3 ms, the rest is the agent's own delay. Well
  /// under the 200 ms after which callers send again.
  static constexpr duration AnswerTimeout = std::chrono::milliseconds(60);

  /// Returns the tag for the packet. With \p Waits it comes out of
  /// takeExpired() unless the flow is settled before.
  std::uint32_t add(const routed_packet &Routed, const tcp_packet &Head,
                    bool NeedsAnswer, instant Now);
  /// The packet that the target declined; null if it is not remembered.
  offered_packet *findDeclined(std::uint32_t Tag, const flow_key &Flow);
  /// The target has answered on this flow.
  void onTargetAnswer(const flow_key &Flow);
  /// The next packet whose time is over, or null.
  offered_packet *takeExpired(instant Now);
  std::optional<instant> nextExpiry();

private:
  void dropAnswered();

  std::vector<offered_packet> Ring;
  std::deque<std::uint32_t> Waiting;
  std::uint32_t LastTag = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_OFFERED_PACKETS_H
