//===- flow_table.h - Flows that one agent accepted -------------*- C++ -*-===//
///
/// \file
/// Matches packets with an agent's own flows by sequence number.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_FLOW_TABLE_H
#define MARJORAMRAIL_SRC_AGENT_FLOW_TABLE_H

#include "marjoramrail/wire.h"

#include <unordered_map>

namespace marjoramrail::internal {

enum class flow_state { HalfOpen, Established, Closing };

/// Whether a packet belongs to a flow of this agent.
enum class flow_match {
  NotOurs,
  Ours,
  /// The flow was half-open here, but the caller completed the handshake with
  /// another agent.
  CompletedElsewhere,
};

/// The flows that this agent accepted, identified by their five-tuple and their
/// sequence numbers.
///
/// The five-tuple alone is not enough. A retransmitted SYN may reach a second
/// agent, so that both have a half-open flow. A caller may also reuse its port
/// and get another owner while the old owner still has the old flow. In both
/// cases the wrong agent would accept the new flow's packets, and the caller's
/// connection would hang or be reset.
class flow_table {
public:
  /// lwIP aborts a half-open flow after 20 s.
  static constexpr duration HalfOpenLifetime = std::chrono::seconds(25);
  /// A closing flow is kept this long after its last packet, so that a
  /// retransmitted FIN is not answered with a reset. Longer than a caller's
  /// first five retransmissions.
  static constexpr duration ClosingLifetime = std::chrono::seconds(30);
  /// Maximum distance of a packet's sequence numbers from those expected. It
  /// covers 64 KB windows and duplicates that are some windows old. A new
  /// flow's random sequence number is within it in one case of 2,000, and both
  /// of its numbers in one case of four million.
  static constexpr std::int32_t MaxSequenceDistance = 1 << 20;

  flow_match match(const tcp_packet &Packet, instant Now);
  void open(const tcp_packet &Syn, instant Now);
  void noteAnswer(const tcp_packet &Answer, instant Now);
  void close(const flow_key &Flow, instant Now);
  void erase(const flow_key &Flow);
  void expire(instant Now);
  void clear();

  /// Number of flows that are not closing.
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
    /// The next sequence numbers, taken only from packets of the local stack,
    /// so that a forged packet cannot change them.
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
