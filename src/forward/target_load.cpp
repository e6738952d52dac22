#include "forward/target_load.h"

namespace marjoramrail::internal {

/// Weight of the newest sample. With one sample every 200 ms the average
/// follows a change within about a second.
static constexpr double BusySmoothing = 0.3;
/// Averages over about ten requests, so that a single slow answer does not
/// drive all new flows away from the target.
static constexpr double LatencySmoothing = 0.1;
static constexpr duration SweepPeriod = std::chrono::seconds(5);

/// Returns whether two sequence numbers can belong to the same flow. The ends
/// have at most 16 packets of about 1,200 bytes in flight; the window is four
/// times that. A new flow on a reused port starts at an arbitrary number.
static bool isNear(std::uint32_t A, std::uint32_t B) {
  constexpr std::uint32_t Window = 76'800;
  return A - B <= Window || B - A <= Window;
}

/// A half-open flow whose caller acknowledges something else than the target's
/// SYN may be held by another target, but it may also have been open for long
/// before this agent was started: a late copy of its SYN then makes the target
/// answer once more. Only the target can tell, so the packet is offered to it.
bool target_load::isOfKnownFlow(const tcp_packet &Packet) const {
  const auto Found = Flows.find(Packet.Flow);
  if (Found == Flows.end())
    return false;
  const watched_flow &Flow = Found->second;
  if (!Flow.SequenceKnown)
    return false;
  if (Flow.HalfOpen)
    return !Packet.Ack || Packet.Acknowledged == Flow.TargetSequence + 1;
  const std::uint32_t Last = Flow.CallerAcknowledged;
  return Last == 0 || isNear(Packet.Acknowledged, Last);
}

bool target_load::hasOpenFlow(const tcp_packet &Packet) const {
  const auto Found = Flows.find(Packet.Flow);
  if (Found == Flows.end() || Found->second.HalfOpen)
    return false;
  const std::uint32_t Last = Found->second.CallerAcknowledged;
  return Last != 0 && isNear(Packet.Acknowledged, Last);
}

bool target_load::isOpen(const flow_key &Flow) const {
  const auto Found = Flows.find(Flow);
  return Found != Flows.end() && !Found->second.HalfOpen &&
         !Found->second.CallerEnded && !Found->second.TargetEnded;
}

void target_load::integrate(instant Now) {
  const double Passed =
      std::chrono::duration<double>(Now - IntegratedAt).count();
  SlotSeconds += Passed * std::min(Active, Slots);
  IntegratedAt = Now;
}

void target_load::setRequestPending(watched_flow &Flow, bool RequestPending,
                                    instant Now) {
  if (Flow.RequestPending == RequestPending)
    return;
  integrate(Now);
  Flow.RequestPending = RequestPending;
  Active += RequestPending ? 1 : -1;
}

void target_load::markOpen(watched_flow &Flow, instant Now) {
  Flow.HalfOpen = false;
  Flow.OpenedAt = Now;
  ++Open;
}

/// A caller that gives up a request closes its flow, and the target closes it
/// too, without an answer. If such requests counted as in progress until the
/// flow is removed, a target would look full for seconds after a burst, and new
/// flows would go to other targets.
void target_load::updateClosed(watched_flow &Flow, instant Now) {
  if (Flow.Closed || !Flow.CallerEnded || !Flow.TargetEnded)
    return;
  Flow.Closed = true;
  setRequestPending(Flow, false, Now);
  --Open;
}

bool target_load::onCaller(const tcp_packet &Packet, instant Now) {
  if (Packet.opensFlow())
    return false;
  const auto Found = Flows.find(Packet.Flow);
  if (Found == Flows.end())
    return false;
  watched_flow &Flow = Found->second;
  Flow.SeenAt = Now;
  Flow.CallerAcknowledged = Packet.Acknowledged;
  if (Flow.HalfOpen)
    markOpen(Flow, Now);
  if (Packet.Rst) {
    erase(Found, Now);
    return false;
  }
  Flow.CallerEnded |= Packet.Fin;
  updateClosed(Flow, Now);
  // A caller that has closed its end may still want the answer. It sends a
  // cancelled request again, which then counts as a new one.
  const bool IsSentAgain = Flow.RequestCancelled && Packet.Payload > 0;
  if (!Flow.CallerSent.recordPacket(Packet) && !IsSentAgain)
    return false;
  if (Flow.RequestPending || Flow.Closed)
    return false;
  Flow.RequestCancelled = false;
  setRequestPending(Flow, true, Now);
  Flow.RequestedAt = Now;
  return true;
}

std::optional<duration> target_load::onTarget(const tcp_packet &Packet,
                                              bool MayAnswer, instant Now) {
  if (Packet.Rst) {
    removeFlow(Packet.Flow, Now);
    return std::nullopt;
  }
  watched_flow &Flow = Flows[Packet.Flow];
  Flow.SeenAt = Now;
  Flow.SequenceKnown = true;
  if (Packet.Syn) {
    // A different initial sequence number: a new flow under the same addresses.
    if (Flow.TargetSequence != Packet.Sequence)
      Flow.CallerSent = Flow.TargetSent = sequence_tracker();
    Flow.TargetSequence = Packet.Sequence;
    return std::nullopt;
  }
  // A flow that was opened before this agent started.
  if (Flow.HalfOpen)
    markOpen(Flow, Now);
  Flow.TargetEnded |= Packet.Fin;
  updateClosed(Flow, Now);
  if (!Flow.TargetSent.recordPacket(Packet) || !Flow.RequestPending ||
      !MayAnswer)
    return std::nullopt;
  const duration Took = Now - Flow.RequestedAt;
  const auto TookUs = static_cast<double>(Took.count());
  LatencyUs +=
      LatencyUs == 0 ? TookUs : LatencySmoothing * (TookUs - LatencyUs);
  setRequestPending(Flow, false, Now);
  return Took;
}

void target_load::erase(
    std::unordered_map<flow_key, watched_flow, flow_key_hash>::iterator Place,
    instant Now) {
  setRequestPending(Place->second, false, Now);
  if (!Place->second.HalfOpen && !Place->second.Closed)
    --Open;
  Flows.erase(Place);
}

void target_load::removeFlow(const flow_key &Flow, instant Now) {
  const auto Found = Flows.find(Flow);
  if (Found != Flows.end())
    erase(Found, Now);
}

bool target_load::isRequestPending(const flow_key &Flow) const {
  const auto Found = Flows.find(Flow);
  return Found != Flows.end() && Found->second.RequestPending;
}

void target_load::cancelRequest(const flow_key &Flow, instant Now) {
  watched_flow *Watched = find(Flow);
  if (!Watched || !Watched->RequestPending)
    return;
  setRequestPending(*Watched, false, Now);
  Watched->RequestCancelled = true;
}

void target_load::removeAllFlows(
    instant Now,
    const std::function<void(const flow_key &, const watched_flow &)> &Each) {
  integrate(Now);
  forEachOpen(Each);
  Flows.clear();
  Open = 0;
  Active = 0;
}

void target_load::forEachOpen(
    const std::function<void(const flow_key &, const watched_flow &)> &Each)
    const {
  for (const auto &[Key, Flow] : Flows)
    if (!Flow.HalfOpen && !Flow.TargetEnded)
      Each(Key, Flow);
}

watched_flow *target_load::find(const flow_key &Flow) {
  const auto Found = Flows.find(Flow);
  return Found == Flows.end() ? nullptr : &Found->second;
}

void target_load::tick(instant Now,
                       const std::function<void(const flow_key &)> &OnIdle) {
  integrate(Now);
  const double Passed = std::chrono::duration<double>(Now - TickedAt).count();
  if (Passed > 0)
    Busy +=
        BusySmoothing * (std::min(SlotSeconds / (Passed * Slots), 1.0) - Busy);
  SlotSeconds = 0;
  TickedAt = Now;
  if (Now - SweptAt < SweepPeriod)
    return;
  SweptAt = Now;
  for (auto Place = Flows.begin(); Place != Flows.end();) {
    const auto Next = std::next(Place);
    const watched_flow &Flow = Place->second;
    if (Flow.Closed || Now - Flow.SeenAt > IdleFlow) {
      if (OnIdle)
        OnIdle(Place->first);
      erase(Place, Now);
    }
    Place = Next;
  }
}

std::uint16_t target_load::active() const {
  return static_cast<std::uint16_t>(std::min(Active, 65535U));
}

std::uint16_t target_load::busy() const {
  return static_cast<std::uint16_t>(Busy * 1000);
}

duration target_load::latency() const {
  return duration(static_cast<duration::rep>(LatencyUs));
}

} // namespace marjoramrail::internal
