//===- target_load.h - How busy the target beside an agent is ---*- C++ -*-===//
///
/// \file
/// Watches the flows that pass: which are open, which wait for an answer, how
/// long answers take. The agent cannot slow the target down or queue for it;
/// this tells balancers where the next flow is served soonest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_TARGET_LOAD_H
#define MARJORAMRAIL_FORWARD_TARGET_LOAD_H

#include "marjoramrail/forward.h"

#include <unordered_map>

namespace marjoramrail::internal {

/// The bytes that one end of a flow has sent.
class sequence_tracker {
public:
  /// Takes a packet in; true if it holds bytes that were not sent before. What
  /// was lost or answered late is sent again, and is neither another request
  /// nor another answer.
  bool take(const tcp_packet &Packet) {
    const std::uint32_t End = Packet.Sequence + Packet.Payload;
    const bool IsNew = Packet.Payload > 0 && (!Known || isAfter(End, Next));
    if (IsNew) {
      Known = true;
      Next = End;
    }
    return IsNew;
  }

private:
  /// Numbers wrap; two of one flow are never half of all apart.
  static bool isAfter(std::uint32_t A, std::uint32_t B) {
    return static_cast<std::int32_t>(A - B) > 0;
  }

  bool Known = false;
  std::uint32_t Next = 0;
};

struct watched_flow {
  instant SeenAt;
  /// The number with which the target's end began, once it has answered.
  std::uint32_t TargetSequence = 0;
  bool SequenceKnown = false;
  /// The caller has not confirmed the target's end yet.
  bool HalfOpen = true;
  /// When it did, as far as this agent has seen.
  instant OpenedAt;
  /// What the caller acknowledged last: a reset has to be near it.
  std::uint32_t CallerAcknowledged = 0;
  sequence_tracker CallerSent;
  sequence_tracker TargetSent;
  bool RequestPending = false;
  bool CallerEnded = false;
  bool TargetEnded = false;
  /// Both have ended; only packets that were under way may still come.
  bool Closed = false;
  instant RequestedAt;
  endpoint NotifiedBalancer;
  instant NotifiedAt;
};

class target_load {
public:
  /// What a packet of the caller says about the flow.
  enum class flow_match {
    /// Of a flow that the target has answered on.
    Known,
    /// Of none, or of a new one on a port that is used again.
    Unknown,
    /// It confirms another target's answer: two targets answered copies of one
    /// SYN, and the caller took the other one.
    OtherTarget,
  };

  void setSlots(std::uint32_t Count) { Slots = std::max(Count, 1U); }
  void setIdleFlow(duration Time) { IdleFlow = Time; }

  flow_match matchFlow(const tcp_packet &Packet) const;
  /// Whether the target was seen to hold the open flow of \p Packet. A port
  /// that is used again has a new flow under the same addresses; what the
  /// caller acknowledges tells them apart.
  bool hasOpenFlow(const tcp_packet &Packet) const;
  /// The packet goes to the target. True if it begins a request.
  bool onCaller(const tcp_packet &Packet, instant Now);
  /// The target wrote a packet (Flow.Service is the target's end). If it begins
  /// an answer, returns how long that took.
  std::optional<duration> onTarget(const tcp_packet &Packet, instant Now);
  void forget(const flow_key &Flow, instant Now);
  /// Forgets every flow; \p Each is told of those that were open.
  void forgetAll(
      instant Now,
      const std::function<void(const flow_key &, const watched_flow &)> &Each);
  watched_flow *find(const flow_key &Flow);
  /// Open flows that neither end has closed.
  void forEachOpen(const std::function<void(const flow_key &,
                                            const watched_flow &)> &Each) const;

  /// Samples the load; call it every forward_agent::TickPeriod.
  void tick(instant Now);

  std::uint32_t open() const { return Open; }
  std::uint16_t active() const;
  std::uint16_t busy() const;
  duration latency() const;

private:
  void markOpen(watched_flow &Flow, instant Now);
  void setRequestPending(watched_flow &Flow, bool RequestPending, instant Now);
  void updateClosed(watched_flow &Flow, instant Now);
  void integrate(instant Now);
  void erase(
      std::unordered_map<flow_key, watched_flow, flow_key_hash>::iterator Place,
      instant Now);

  std::unordered_map<flow_key, watched_flow, flow_key_hash> Flows;
  std::uint32_t Slots = 1;
  duration IdleFlow = std::chrono::minutes(1);
  std::uint32_t Open = 0;
  std::uint32_t Active = 0;
  double SlotSeconds = 0;
  double Busy = 0;
  double LatencyUs = 0;
  instant IntegratedAt;
  instant TickedAt;
  instant SweptAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_TARGET_LOAD_H
