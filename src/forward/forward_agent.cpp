#include "forward/forward_agent_impl.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;

namespace {

/// A balancer that has sent nothing for this long gets no more reports. Longer
/// than agent_table::ReportRequestDelay, after which balancers request a
/// report, so that a balancer that requests them gets reports without a gap.
constexpr duration ReportDuration = std::chrono::seconds(2);
/// Interval of the reports to the last known balancer while no balancer makes
/// contact. Long enough to cost almost nothing, and short enough for an agent
/// that is reachable again after a long network partition.
constexpr duration LastBalancerReportPeriod = std::chrono::seconds(5);
/// Interval of the checks of the store's registry while no balancer makes
/// contact. Equals the time for which the entry of an unreachable VM is kept,
/// so that thousands of idle agents put little load on the store.
constexpr duration RegistryCheckPeriod = std::chrono::minutes(1);

} // namespace

void forward_agent::impl::logEvent(event_kind What, std::string_view Why,
                                   const flow_key &Flow,
                                   const endpoint &Agent) {
  if (Hooks.OnEvent)
    Hooks.OnEvent({What, Why, Flow, Agent, static_cast<double>(Load.open()),
                   duration::zero()});
}

//===----------------------------------------------------------------------===//
// Reports
//===----------------------------------------------------------------------===//

load_report forward_agent::impl::report(instant Now) const {
  load_report Report;
  Report.Service = Settings.Service;
  Report.Agent = Settings.Self;
  Report.Admitting = Admitting && !TargetStopped;
  const bool Declining =
      Declines.isDeclining() &&
      !Settings.DisabledMechanisms.has(mechanism::DeclineWatch);
  const bool Exhausted = isWarmingUp(Now) && WarmupLimit.isExhausted(Now);
  Report.Answering = !Silence.isAvoided() && !Declining && !Exhausted;
  Report.Active = Load.active();
  Report.Slots = static_cast<std::uint16_t>(std::min(Slots, 65535U));
  Report.Flows = Load.open();
  Report.Busy = Load.busy();
  Report.Latency = Load.latency();
  Report.Failing = Failures.thousandths();
  if (WarmUntil > Now)
    Report.Warmup = WarmUntil - Now;
  Report.Evacuated = Policy.Evacuated;
  if (Settings.Warmup)
    Report.WarmupRate =
        Policy.RoutesVersion == 0 ? UnknownWarmupRate : Policy.WarmupRate;
  return Report;
}

load_report forward_agent::impl::reportWithCapacity(instant Now) {
  load_report Report = report(Now);
  Report.Capacity = Scheduler.capacity(Now);
  Report.Capacity->Balancers = static_cast<std::uint16_t>(
      std::clamp<std::size_t>(Balancers.size(), 1, UINT16_MAX));
  return Report;
}

void forward_agent::impl::sendReport(const endpoint &Balancer, instant Now) {
  const bool ReadsCapacity = CapacityReaders.contains(Balancer);
  std::array<std::uint8_t, LongLoadReportBytes> Buffer;
  const std::size_t Size = encodeLoadReport(
      ReadsCapacity ? reportWithCapacity(Now) : report(Now), Buffer);
  Hooks.SendToPeer(Balancer, {Buffer.data(), Size});
}

//===----------------------------------------------------------------------===//
// forward_agent
//===----------------------------------------------------------------------===//

forward_agent::forward_agent(const forward_agent_settings &Settings,
                             segment_codec Codec, forward_agent_hooks Hooks)
    : Impl(std::make_unique<impl>(Settings, std::move(Codec),
                                  std::move(Hooks))) {}

forward_agent::~forward_agent() = default;

void forward_agent::setAdmitting(bool Admitting) {
  Impl->Admitting = Admitting;
}

bool forward_agent::admitting() const { return Impl->Admitting; }

void forward_agent::setTargetStopped(bool Stopped, instant Now) {
  if (Stopped && !Impl->TargetStopped)
    Impl->resetAll(Now);
  if (!Stopped && Impl->TargetStopped)
    Impl->IsWarmupUnknown = true;
  Impl->TargetStopped = Stopped;
}

bool forward_agent::targetStopped() const { return Impl->TargetStopped; }

void forward_agent::onTargetStarted() { Impl->Silence.onStarted(); }

bool forward_agent::targetSilent() const { return Impl->Silence.isSilent(); }

bool forward_agent::targetDeclining() const {
  return Impl->Declines.isDeclining();
}

/// The flows of a process that has ended are lost. Their callers get a reset
/// before they send their next request: a request that may run only once cannot
/// be repeated after it was sent on a lost flow, because it is unknown
/// whether it has run.
void forward_agent::impl::resetAll(instant Now) {
  Load.removeAllFlows(Now, [&](const flow_key &Key, const watched_flow &Flow) {
    resetFlow({Key, Flow.CallerAcknowledged}, "target gone");
  });
  Held.clear();
  Scheduler.clear(Now);
}

void forward_agent::impl::resetFlow(const open_flow &Open,
                                    std::string_view Why) {
  tcp_packet Last;
  Last.Flow = Open.Flow;
  Last.Acknowledged = Open.Acknowledged;
  if (sendReset(Last))
    logEvent(event_kind::FlowReset, Why, Open.Flow, {});
}

std::vector<open_flow> forward_agent::openFlows(instant Moment) const {
  std::vector<std::pair<instant, open_flow>> Found;
  Impl->Load.forEachOpen([&](const flow_key &Key, const watched_flow &Flow) {
    if (!Flow.CallerEnded && Flow.CallerAcknowledged != 0 &&
        Flow.OpenedAt <= Moment)
      Found.push_back({Flow.OpenedAt, {Key, Flow.CallerAcknowledged}});
  });
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<open_flow> Flows;
  Flows.reserve(Found.size());
  for (const auto &[OpenedAt, Open] : Found)
    Flows.push_back(Open);
  return Flows;
}

void forward_agent::resetPreviousFlows(const std::vector<open_flow> &Flows) {
  for (const open_flow &Open : Flows)
    if (!Impl->Load.find(Open.Flow))
      Impl->resetFlow(Open, "kept from before its target's restart");
}

void forward_agent::setTarget(std::uint32_t Slots, duration Warmup,
                              instant Now) {
  Impl->Declines.onReady();
  restoreSlots(Slots);
  Impl->WarmUntil = Now + Warmup;
  Impl->IsWarmupUnknown = false;
  Impl->releaseReady(Now);
}

void forward_agent::restoreSlots(std::uint32_t Slots) {
  Impl->Slots = std::max(Slots, 1U);
  Impl->Load.setSlots(Impl->Slots);
  Impl->Scheduler.setSlots(Impl->Slots);
}

void forward_agent::setIdleFlow(duration IdleFlow) {
  Impl->Load.setIdleFlow(IdleFlow);
}

static agent_outcome count(forward_agent_counters &Counters,
                           agent_outcome Outcome) {
  ++Counters.Outcomes[static_cast<std::size_t>(Outcome)];
  return Outcome;
}

agent_outcome forward_agent::onRouted(const endpoint &From, bytes_view Bytes,
                                      instant Now) {
  if (isUnregisteredNotice(Bytes)) {
    if (Impl->Hooks.Unregistered)
      Impl->Hooks.Unregistered();
    return agent_outcome::Delivered;
  }
  if (service_id Service{}; decodeRegisteredNotice(Bytes, Service)) {
    if (Impl->Hooks.Registered && Service == Impl->Settings.Service)
      Impl->Hooks.Registered();
    return agent_outcome::Delivered;
  }
  if (service_id Service{}; decodeRegistrationFoundNotice(Bytes, Service)) {
    if (Impl->Hooks.RegistrationFound && Service == Impl->Settings.Service)
      Impl->Hooks.RegistrationFound();
    return agent_outcome::Delivered;
  }
  if (const auto Request = decodeLoadReportRequest(Bytes)) {
    if (Request->Span == report_span::Continued)
      Impl->Balancers[From] = Now;
    if (Request->ReadsCapacity)
      Impl->noteCapacityReader(From);
    else
      Impl->CapacityReaders.erase(From);
    Impl->sendReport(From, Now);
    return agent_outcome::Delivered;
  }
  if (const auto Policy = decodeFlowPolicy(Bytes)) {
    Impl->applyPolicy(*Policy, Now);
    return agent_outcome::Delivered;
  }
  routed_packet Routed;
  if (decodeRouted(Bytes, Routed) != packet_fault::None)
    return count(Impl->Counters, agent_outcome::Malformed);
  return count(Impl->Counters, Impl->onRouted(Routed, Now));
}

agent_outcome forward_agent::onTargetPacket(bytes_view Bytes, instant Now) {
  segment Segment;
  if (Bytes.size() > MaxPacketBytes || !Impl->Codec.Parse(Bytes, Segment))
    return count(Impl->Counters, agent_outcome::Malformed);
  return count(Impl->Counters, Segment.Declined
                                   ? Impl->onDeclined(Segment, Bytes, Now)
                                   : Impl->onAnswer(Segment, Bytes, Now));
}

std::optional<instant> forward_agent::expire(instant Now) {
  while (offered_packet *Expired = Impl->Offered.takeExpired(Now)) {
    ++Impl->Counters.TimedOut;
    if (Impl->Silence.onTimeout()) {
      Impl->logEvent(event_kind::TargetSilent, "no answer in time",
                     Expired->Head.Flow, {});
      Impl->Hooks.TargetUnresponsive();
    }
    routed_packet Routed = Expired->Routed;
    Routed.Packet = Expired->Bytes;
    Impl->passToNextIncomplete(Routed, Expired->Head);
  }
  Impl->releaseReady(Now);
  const auto Expiry = Impl->Offered.nextExpiry();
  const auto Change = Impl->Scheduler.nextChange();
  return Expiry && Change ? std::min(Expiry, Change)
                          : (Expiry ? Expiry : Change);
}

void forward_agent::tick(instant Now) {
  Impl->Load.tick(Now, [&](const flow_key &Flow) {
    Impl->Held.drop(Flow);
    Impl->Scheduler.onEnd(Flow, Now);
  });
  Impl->releaseReady(Now);
  Impl->Silence.tick(Now);
  Impl->Declines.tick(Now);
  Impl->Failures.tick(Now);
  Impl->ReportedExhausted &= Impl->WarmupLimit.isExhausted(Now);
  Impl->logFailureState({});
  std::erase_if(Impl->Balancers, [&](const auto &Item) {
    return Now - Item.second > ReportDuration;
  });
  if (!Impl->Balancers.empty())
    Impl->LastBalancer = {Impl->Balancers.begin()->first, Now};
  else
    Impl->reportToLastBalancer(Now);
  Impl->detectIsolation(Now);
  reportNow(Now);
  Impl->reportOnce(Now);
}

void forward_agent::impl::reportOnce(instant Now) {
  for (const endpoint &Balancer : std::exchange(ReportOnceTo, {}))
    if (!Balancers.contains(Balancer))
      sendReport(Balancer, Now);
}

/// The target's entry may have been removed from the store while this agent was
/// unreachable, and the last known balancer may have stopped as well. Then no
/// balancer would ever contact this agent again, and a healthy target would
/// never get flows again. So the agent has the store's registry checked.
void forward_agent::impl::detectIsolation(instant Now) {
  const bool HasContact = !Balancers.empty() || !ReportOnceTo.empty();
  if (HasContact || !LastContactOrCheckAt) {
    LastContactOrCheckAt = Now;
    return;
  }
  if (Now - *LastContactOrCheckAt < RegistryCheckPeriod)
    return;
  LastContactOrCheckAt = Now;
  if (Hooks.NoBalancerContact)
    Hooks.NoBalancerContact();
}

/// No balancer makes contact if there is no traffic, or if this agent was
/// unreachable and its target's entry has been removed from the store. The
/// answer of the last known balancer shows which of the two it is.
void forward_agent::impl::reportToLastBalancer(instant Now) {
  if (!LastBalancer || Now - LastBalancer->second < LastBalancerReportPeriod)
    return;
  LastBalancer->second = Now;
  sendReport(LastBalancer->first, Now);
}

void forward_agent::impl::reportNow(instant Now) {
  for (const auto &[Balancer, LastMessageAt] : Balancers)
    sendReport(Balancer, Now);
}

void forward_agent::reportNow(instant Now) { Impl->reportNow(Now); }

const forward_agent_counters &forward_agent::counters() const {
  return Impl->Counters;
}

load_report forward_agent::report(instant Now) const {
  return Impl->report(Now);
}

std::string forward_agent::statusJson(instant Now) const {
  const load_report Report = Impl->report(Now);
  return nlohmann::json{{"admitting", Report.Admitting},
                        {"answering", Report.Answering},
                        {"silent", targetSilent()},
                        {"declining", targetDeclining()},
                        {"active", Report.Active},
                        {"slots", Report.Slots},
                        {"flows", Report.Flows},
                        {"busy", Report.Busy},
                        {"latency_us", Report.Latency.count()},
                        {"held_requests", Impl->Scheduler.waiting()},
                        {"held_bytes", Impl->Held.bytes()}}
      .dump();
}

} // namespace marjoramrail
