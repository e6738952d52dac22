#include "forward/forward_agent_impl.h"

namespace marjoramrail {

using namespace internal;

agent_outcome forward_agent::impl::onDeclined(const segment &Segment,
                                              bytes_view Bytes, instant Now) {
  ++Counters.Declined;
  Silent = false;
  offered_packet *Packet = Offered.declined(Segment.Tag, Segment.Head.Flow);
  if (!Packet)
    return agent_outcome::Indeterminate;
  const bool WasHeld = Load.heldOpen(Segment.Head);
  if (Segment.Head.opensFlow())
    noteDeclined(Segment.Head.Flow, Now);
  else
    Load.forget(Segment.Head.Flow, Now);
  if (WasHeld)
    return resetLost(Segment.Head);
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  std::copy(Bytes.begin(), Bytes.end(), Buffer.begin());
  const std::span<std::uint8_t> Restored(Buffer.data(), Bytes.size());
  Codec.Restore(Restored);
  routed_packet Routed = Packet->Routed;
  Routed.Packet = Restored;
  return passOn(Routed, Packet->Head, "declined");
}

void forward_agent::impl::noteDeclined(const flow_key &Flow, instant Now) {
  if (!Declines.onDeclined(Now))
    return;
  if (Hooks.OnEvent)
    Hooks.OnEvent({event_kind::TargetDeclines,
                   "new flows in a row",
                   Flow,
                   {},
                   static_cast<double>(Declines.inRow()),
                   Now - Declines.since()});
  reportNow(Now);
}

void forward_agent::impl::noteAnswer(const flow_key &Flow, bool Failed,
                                     instant Now) {
  Failures.onAnswer(Failed, Now);
  tellFailures(Flow);
}

/// A target that takes requests and answers nothing is found out by callers who
/// give up: they end a flow on which their request still waits.
void forward_agent::impl::noteGivenUp(const tcp_packet &Head, instant Now) {
  const watched_flow *Watched = Load.find(Head.Flow);
  if ((Head.Fin || Head.Rst) && Watched && Watched->Asking &&
      !Watched->CallerEnded)
    noteAnswer(Head.Flow, /*Failed=*/true, Now);
}

/// Figure of the event: failures in thousandths, as balancers are told.
void forward_agent::impl::tellFailures(const flow_key &Flow) {
  if (!Failures.review() || !Hooks.OnEvent)
    return;
  Hooks.OnEvent({event_kind::TargetFailing,
                 Failures.fails() ? "answers fail" : "answers are well again",
                 Flow,
                 {},
                 static_cast<double>(Failures.thousandths()),
                 duration::zero()});
}

/// An open flow is held by one target; if that one has lost it, no other needs
/// to be asked. After a target's crash this saves a walk for each of its flows,
/// and holds also where the list may not be whole.
agent_outcome forward_agent::impl::resetLost(const tcp_packet &Head) {
  tell(event_kind::FlowLost, "its target does not hold it any more", Head.Flow,
       {});
  return !Head.Rst && sendReset(Head) ? agent_outcome::Reset
                                      : agent_outcome::Indeterminate;
}

agent_outcome forward_agent::impl::onAnswer(segment Segment, bytes_view Bytes,
                                            instant Now) {
  tcp_packet &Head = Segment.Head;
  std::swap(Head.Flow.Caller, Head.Flow.Service);
  Silent = false;
  if (Head.Syn)
    Declines.onOpened();
  Offered.settle(Head.Flow);
  const watched_flow *Watched = Load.find(Head.Flow);
  if (Head.Rst && Watched && Watched->Asking)
    noteAnswer(Head.Flow, /*Failed=*/true, Now);
  const auto Took = Load.onTarget(Head, Now);
  Hooks.SendToCaller(Head.Flow.Caller, Bytes);
  if (Took && Hooks.OnAnswer)
    Hooks.OnAnswer(Head.Flow, Bytes, *Took);
  return agent_outcome::Answered;
}

} // namespace marjoramrail
