#include "forward/forward_agent_impl.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;

namespace {

/// Balancers that have sent nothing for longer get no reports: longer than
/// their AskAfter, so that one that asks keeps hearing.
constexpr duration ReportFor = std::chrono::seconds(2);
/// A report to the last balancer known, when none has been heard: rare enough
/// to cost nothing, often enough for an agent that comes back after a long cut.
constexpr duration CallOutPeriod = std::chrono::seconds(5);
/// A look at the store when nobody calls at all: as long as the entry of a VM
/// that is cut off stands, so that thousands of idle agents cost the store
/// little.
constexpr duration LookPeriod = std::chrono::minutes(1);

} // namespace

void forward_agent::impl::tell(event_kind What, std::string_view Why,
                               const flow_key &Flow, const endpoint &Agent) {
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
  Report.Admitting = Admitting && !TargetGone;
  const bool Declining =
      Declines.declines() &&
      !Settings.DisabledMechanisms.has(mechanism::DeclineWatch);
  Report.Answering = !Silent && !Declining;
  Report.Active = Load.active();
  Report.Slots = static_cast<std::uint16_t>(std::min(Slots, 65535U));
  Report.Flows = Load.open();
  Report.Busy = Load.busy();
  Report.Latency = Load.latency();
  Report.Failing = Failures.thousandths();
  if (WarmUntil > Now)
    Report.Warmup = WarmUntil - Now;
  return Report;
}

void forward_agent::impl::sendReport(const endpoint &Balancer, instant Now) {
  std::array<std::uint8_t, LoadReportBytes> Buffer;
  const std::size_t Size = encodeLoadReport(report(Now), Buffer);
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

void forward_agent::setTargetStopped(bool Gone, instant Now) {
  if (Gone && !Impl->TargetGone)
    Impl->resetAll(Now);
  Impl->TargetGone = Gone;
}

bool forward_agent::targetStopped() const { return Impl->TargetGone; }

/// The flows of a process that is gone are lost. Their callers are told before
/// they ask for anything on them: a request that may run only once, sent into a
/// dead flow, cannot be repeated, because nobody can say that it has not run.
void forward_agent::impl::resetAll(instant Now) {
  Load.forgetAll(Now, [&](const flow_key &Key, const watched_flow &Flow) {
    resetOpen({Key, Flow.CallerAcknowledged}, "target gone");
  });
}

void forward_agent::impl::resetOpen(const open_flow &Open,
                                    std::string_view Why) {
  tcp_packet Last;
  Last.Flow = Open.Flow;
  Last.Acknowledged = Open.Acknowledged;
  if (sendReset(Last))
    tell(event_kind::FlowReset, Why, Open.Flow, {});
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
      Impl->resetOpen(Open, "kept from before its target's restart");
}

void forward_agent::setTarget(std::uint32_t Slots, duration Warmup,
                              instant Now) {
  Impl->Declines.onReady();
  Impl->Slots = std::max(Slots, 1U);
  Impl->Load.setSlots(Impl->Slots);
  Impl->WarmUntil = Now + Warmup;
}

void forward_agent::noteAnswer(const flow_key &Flow, bool Failed, instant Now) {
  Impl->noteAnswer(Flow, Failed, Now);
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
  if (const auto Span = decodeLoadReportRequest(Bytes)) {
    if (Span == report_span::Continued)
      Impl->Balancers[From] = Now;
    Impl->sendReport(From, Now);
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
  while (offered_packet *Late = Impl->Offered.takeLate(Now)) {
    ++Impl->Counters.TimedOut;
    if (!Impl->Silent) {
      Impl->Silent = true;
      Impl->tell(event_kind::TargetSilent, "no answer in time", Late->Head.Flow,
                 {});
      Impl->Hooks.TargetUnresponsive();
    }
    routed_packet Routed = Late->Routed;
    Routed.Packet = Late->Bytes;
    Impl->passOnUnsure(Routed, Late->Head);
  }
  return Impl->Offered.nextLate();
}

void forward_agent::tick(instant Now) {
  Impl->Load.tick(Now);
  Impl->Declines.tick(Now);
  Impl->Failures.tick(Now);
  Impl->tellFailures({});
  std::erase_if(Impl->Balancers, [&](const auto &Item) {
    return Now - Item.second > ReportFor;
  });
  if (!Impl->Balancers.empty())
    Impl->LastBalancer = {Impl->Balancers.begin()->first, Now};
  else
    Impl->callOut(Now);
  Impl->lookForCallers(Now);
  reportNow(Now);
  Impl->reportOnce(Now);
}

void forward_agent::impl::reportOnce(instant Now) {
  for (const endpoint &Balancer : std::exchange(ReportOnceTo, {}))
    if (!Balancers.contains(Balancer))
      sendReport(Balancer, Now);
}

/// The entry may have been taken out while this agent was cut off, and the last
/// balancer known be gone as well: then nobody would ever ask or tell, and a
/// target that is well would get no flow for the rest of its life.
void forward_agent::impl::lookForCallers(instant Now) {
  const bool IsCalled = !Balancers.empty() || !ReportOnceTo.empty();
  if (IsCalled || !HeardOrLookedAt) {
    HeardOrLookedAt = Now;
    return;
  }
  if (Now - *HeardOrLookedAt < LookPeriod)
    return;
  HeardOrLookedAt = Now;
  if (Hooks.NoBalancerContact)
    Hooks.NoBalancerContact();
}

/// Nobody sends or asks: calm, or this agent was cut off and taken out of the
/// list meanwhile. The last balancer known says which.
void forward_agent::impl::callOut(instant Now) {
  if (!LastBalancer || Now - LastBalancer->second < CallOutPeriod)
    return;
  LastBalancer->second = Now;
  sendReport(LastBalancer->first, Now);
}

void forward_agent::impl::reportNow(instant Now) {
  for (const auto &[Balancer, HeardAt] : Balancers)
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
                        {"active", Report.Active},
                        {"slots", Report.Slots},
                        {"flows", Report.Flows},
                        {"busy", Report.Busy},
                        {"latency_us", Report.Latency.count()}}
      .dump();
}

} // namespace marjoramrail
