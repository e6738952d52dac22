//===- target_load.h - Load of the target beside an agent -------*- C++ -*-===//
///
/// \file
/// Measures the load of the agent's target from the packets that pass: which
/// flows are open, which requests are unanswered, and how long answers take.
/// Requests that the agent holds back count from their arrival at the agent;
/// balancers use the figures to place new flows where they are served soonest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_TARGET_LOAD_H
#define MARJORAMRAIL_FORWARD_TARGET_LOAD_H

#include "marjoramrail/forward.h"

#include <unordered_map>

namespace marjoramrail::internal {

/// Tracks the bytes that one end of a flow has sent, by their sequence numbers.
class sequence_tracker {
public:
  /// Records a packet. Returns true if it holds bytes that were not sent
  /// before. Retransmitted bytes are neither another request nor another
  /// answer.
  bool recordPacket(const tcp_packet &Packet) {
    const std::uint32_t End = Packet.Sequence + Packet.Payload;
    const bool IsNew = Packet.Payload > 0 && (!Known || isAfter(End, Next));
    if (IsNew) {
      Known = true;
      Next = End;
    }
    return IsNew;
  }

private:
  /// Sequence numbers wrap around. Two numbers of one flow never differ by more
  /// than half of the number range.
  static bool isAfter(std::uint32_t A, std::uint32_t B) {
    return static_cast<std::int32_t>(A - B) > 0;
  }

  bool Known = false;
  std::uint32_t Next = 0;
};

/// What the agent has observed of one flow.
struct watched_flow {
  instant SeenAt;
  /// The target's initial sequence number; valid if SequenceKnown is set.
  std::uint32_t TargetSequence = 0;
  bool SequenceKnown = false;
  /// The caller has not acknowledged the target's SYN yet.
  bool HalfOpen = true;
  /// When the agent first saw the flow open.
  instant OpenedAt;
  /// Sequence number that the caller acknowledged last. A reset must be close
  /// to it, or the caller ignores the reset.
  std::uint32_t CallerAcknowledged = 0;
  sequence_tracker CallerSent;
  sequence_tracker TargetSent;
  /// The caller has sent a request, and the target has not begun its answer.
  bool RequestPending = false;
  /// The last request was cancelled before it reached the target.
  bool RequestCancelled = false;
  bool CallerEnded = false;
  bool TargetEnded = false;
  /// Both ends have sent a FIN; only packets already in flight may still
  /// arrive.
  bool Closed = false;
  instant RequestedAt;
  endpoint NotifiedBalancer;
  instant NotifiedAt;
};

/// Tracks the flows of one target and computes its load.
class target_load {
public:
  void setSlots(std::uint32_t Count) { Slots = std::max(Count, 1U); }
  void setIdleFlow(duration Time) { IdleFlow = Time; }

  /// Whether a packet from the caller belongs to a flow on which the target has
  /// answered. It does not if it belongs to a new flow on a reused port, or if
  /// two targets answered copies of one SYN and the caller accepted the other
  /// answer.
  bool isOfKnownFlow(const tcp_packet &Packet) const;
  /// Returns whether the target was seen to hold the open flow of \p Packet. A
  /// new flow on a reused port has the same addresses; it is told apart by the
  /// number that the caller acknowledges.
  bool hasOpenFlow(const tcp_packet &Packet) const;
  /// Whether \p Flow is open, as far as the agent has seen.
  bool isOpen(const flow_key &Flow) const;
  /// Records a packet that is delivered to the target. Returns true if it
  /// begins a request.
  bool onCaller(const tcp_packet &Packet, instant Now);
  /// Records a packet that the target sent. Flow.Service is the target's end.
  /// If the packet begins an answer, returns the time since the request.
  /// \p MayAnswer is false if the request has not been delivered to the target.
  /// Then no packet counts as its answer.
  std::optional<duration> onTarget(const tcp_packet &Packet, bool MayAnswer,
                                   instant Now);
  std::optional<duration> onTarget(const tcp_packet &Packet, instant Now) {
    return onTarget(Packet, /*MayAnswer=*/true, Now);
  }
  void removeFlow(const flow_key &Flow, instant Now);
  /// Whether a request on \p Flow waits for its answer.
  bool isRequestPending(const flow_key &Flow) const;
  /// The request in progress on \p Flow, if any, will not reach the target.
  void cancelRequest(const flow_key &Flow, instant Now);
  /// Removes all flows after calling \p Each for those that were open.
  void removeAllFlows(
      instant Now,
      const std::function<void(const flow_key &, const watched_flow &)> &Each);
  watched_flow *find(const flow_key &Flow);
  /// Calls \p Each for the open flows that the target has not closed.
  void forEachOpen(const std::function<void(const flow_key &,
                                            const watched_flow &)> &Each) const;

  /// Samples the load; must be called every forward_agent::TickPeriod. Calls \p
  /// OnIdle for each flow that is removed because it is idle or closed.
  void tick(instant Now,
            const std::function<void(const flow_key &)> &OnIdle = nullptr);

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
