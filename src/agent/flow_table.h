//===- flow_table.h - The flows that one agent accepted ---------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_AGENT_FLOW_TABLE_H
#define MARJORAMRAIL_SRC_AGENT_FLOW_TABLE_H

#include "marjoramrail/wire.h"

#include <unordered_map>

namespace marjoramrail::internal {

enum class flow_state { HalfOpen, Established, Closing };

/// Whose a packet is, as far as one agent can tell.
enum class flow_match {
  NotOurs,
  Ours,
  /// Of a flow that we answered too, but the caller has completed another
  /// agent's handshake.
  CompletedElsewhere,
};

/// The flows that this agent accepted, told apart not by their five-tuple alone
/// but also by sequence numbers.
///
/// What goes wrong without the numbers: a SYN that was resent may reach two
/// agents, and both hold a half-open flow; a caller may use its port again and
/// get another owner, while the old owner still holds the old flow. In both
/// cases the wrong agent takes the new flow's packets and the caller sees a
/// connection that hangs or is reset.
class flow_table {
public:
  /// lwIP gives a half-open flow up after 20 s.
  static constexpr duration HalfOpenLifetime = std::chrono::seconds(25);
  /// A closing flow is kept this long after its last packet, so that a resent
  /// FIN is not answered with a reset. Longer than a caller's first five
  /// retransmissions.
  static constexpr duration ClosingLifetime = std::chrono::seconds(30);
  /// How far a packet's numbers may be from the flow's. 64 KB windows and
  /// duplicates of some windows ago fit; a new flow's random number does so in
  /// one case of 2,000, and both of its numbers in one of four million.
  static constexpr std::int32_t MaxSequenceDistance = 1 << 20;

  flow_match match(const tcp_packet &Packet, instant Now);
  void open(const tcp_packet &Syn, instant Now);
  void noteAnswer(const tcp_packet &Answer, instant Now);
  void close(const flow_key &Flow, instant Now);
  void erase(const flow_key &Flow);
  void expire(instant Now);
  void clear();

  /// Flows that are not closing.
  std::size_t activeFlows() const { return Flows.size() - Closing; }

  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Flow, Entry] : Flows)
      Visit(Flow);
  }

private:
  struct entry {
    flow_state State = flow_state::HalfOpen;
    std::uint32_t CallerInitial = 0;
    std::uint32_t OurInitial = 0;
    bool Answered = false;
    /// The next numbers, as our stack's own packets give them: a forged packet
    /// cannot move them.
    std::uint32_t CallerNext = 0;
    std::uint32_t OurNext = 0;
    instant LastPacket;
  };
  using entries = std::unordered_map<flow_key, entry, flow_key_hash>;

  static bool isPlausible(const entry &Entry, const tcp_packet &Packet);
  flow_match matchHalfOpen(entry &Entry, const tcp_packet &Packet);
  entries::iterator erase(entries::iterator Entry);

  entries Flows;
  std::size_t Closing = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_FLOW_TABLE_H
