#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

agent_outcome forward_agent::impl::onDeclined(const segment &Segment,
                                              bytes_view Bytes, instant Now) {
  ++Counters.Declined;
  noteTargetPacket(Segment.Head.Flow);
  offered_packet *Packet = Offered.findDeclined(Segment.Tag, Segment.Head.Flow);
  if (!Packet)
    return agent_outcome::Indeterminate;
  const bool WasOpen = Load.hasOpenFlow(Segment.Head);
  if (Segment.Head.opensFlow())
    noteDeclined(Segment.Head.Flow, Now);
  else
    dropRequest(Segment.Head.Flow, Now);
  if (WasOpen)
    return resetLostFlow(Segment.Head);
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  std::copy(Bytes.begin(), Bytes.end(), Buffer.begin());
  const std::span<std::uint8_t> Restored(Buffer.data(), Bytes.size());
  Codec.Restore(Restored);
  routed_packet Routed = Packet->Routed;
  Routed.Packet = Restored;
  return passToNext(Routed, Packet->Head, "declined");
}

void forward_agent::impl::noteTargetPacket(const flow_key &Flow) {
  if (Silence.onAnswered())
    logEvent(event_kind::TargetRecovered, "the target answers again", Flow, {});
}

void forward_agent::impl::noteDeclined(const flow_key &Flow, instant Now) {
  if (!Declines.onDeclined(Now))
    return;
  if (Hooks.OnEvent)
    Hooks.OnEvent({event_kind::TargetDeclines,
                   "new flows declined in a row",
                   Flow,
                   {},
                   static_cast<double>(Declines.consecutiveDeclines()),
                   Now - Declines.firstDeclinedAt()});
  reportNow(Now);
}

void forward_agent::impl::noteAnswer(const flow_key &Flow, bool Failed,
                                     instant Now) {
  Failures.onAnswer(Failed, Now);
  logFailureState(Flow);
}

/// Counts a failure if the caller closes or resets a flow while its request is
/// unanswered. This detects a target that accepts requests and answers none.
void forward_agent::impl::noteAbortedRequest(const tcp_packet &Head,
                                             instant Now) {
  const watched_flow *Watched = Load.find(Head.Flow);
  if ((Head.Fin || Head.Rst) && Watched && Watched->RequestPending &&
      !Watched->CallerEnded && !Held.holds(Head.Flow))
    noteAnswer(Head.Flow, /*Failed=*/true, Now);
}

/// The event's figure is the share of failures in thousandths, as in load
/// reports.
void forward_agent::impl::logFailureState(const flow_key &Flow) {
  if (!Failures.review() || !Hooks.OnEvent)
    return;
  Hooks.OnEvent({event_kind::TargetFailing,
                 Failures.fails() ? "answers fail" : "answers are well again",
                 Flow,
                 {},
                 static_cast<double>(Failures.thousandths()),
                 duration::zero()});
}

/// Only one target holds an open flow. If that target has lost it, no other
/// needs to be tried, even if the list may be incomplete. After a crash of the
/// target this saves an owner lookup for each of its flows.
agent_outcome forward_agent::impl::resetLostFlow(const tcp_packet &Head) {
  logEvent(event_kind::FlowLost, "its target no longer holds it", Head.Flow,
           {});
  return !Head.Rst && sendReset(Head) ? agent_outcome::Reset
                                      : agent_outcome::Indeterminate;
}

agent_outcome forward_agent::impl::onAnswer(segment Segment, bytes_view Bytes,
                                            instant Now) {
  tcp_packet &Head = Segment.Head;
  std::swap(Head.Flow.Caller, Head.Flow.Service);
  noteTargetPacket(Head.Flow);
  if (Head.Syn)
    Declines.onAccepted();
  if (Head.Syn)
    onFlowAccepted(Head);
  Offered.onTargetAnswer(Head.Flow);
  const watched_flow *Watched = Load.find(Head.Flow);
  if (Head.Rst && Watched && Watched->RequestPending)
    noteAnswer(Head.Flow, /*Failed=*/true, Now);
  endPreviousFlow(Head, Watched, Now);
  // A request that is held has not been delivered, so this is not its answer.
  const bool IsHeld = Held.holds(Head.Flow);
  const auto Took = Load.onTarget(Head, /*MayAnswer=*/!IsHeld, Now);
  Hooks.SendToCaller(Head.Flow.Caller, Bytes);
  const bool Failed =
      Took && Hooks.OnAnswer && Hooks.OnAnswer(Head.Flow, Bytes, *Took);
  if (Took && Hooks.OnAnswer)
    noteAnswer(Head.Flow, Failed, Now);
  finishRequest(Head, Took.has_value(), Failed, Now);
  return agent_outcome::Answered;
}

/// Updates the schedule after a packet of the target.
void forward_agent::impl::finishRequest(const tcp_packet &Head, bool IsAnswer,
                                        bool Failed, instant Now) {
  if (Head.Rst)
    Held.drop(Head.Flow);
  // A FIN may overtake the answer before it, so the state of the flow decides
  // whether the request has ended.
  if (IsAnswer)
    Scheduler.onAnswer(Head.Flow, Failed, Now);
  else if (!Held.holds(Head.Flow) && !Load.isRequestPending(Head.Flow))
    Scheduler.onEnd(Head.Flow, Now);
  releaseReady(Now);
}

/// The target accepts a new flow. The balancer takes the first agent of its
/// list for the owner; if the flow was passed on, its next packet would start
/// an owner lookup.
void forward_agent::impl::onFlowAccepted(const tcp_packet &Head) {
  const offered_packet *Syn = Offered.findWaiting(Head.Flow);
  if (Syn && Syn->Routed.Level && Syn->Routed.Position > 0 &&
      Syn->Routed.Balancer != endpoint())
    notifyOwner(Syn->Routed.Balancer, Head.Flow);
}

/// Ends what is left of an earlier flow with the same addresses, whose end was
/// not seen. Its packets must not be delivered as those of the new flow.
void forward_agent::impl::endPreviousFlow(const tcp_packet &Head,
                                          const watched_flow *Watched,
                                          instant Now) {
  if (!Head.Syn || !Watched || !Watched->SequenceKnown ||
      Watched->TargetSequence == Head.Sequence)
    return;
  Held.drop(Head.Flow);
  Scheduler.onEnd(Head.Flow, Now);
  Load.cancelRequest(Head.Flow, Now);
}

} // namespace marjoramrail
