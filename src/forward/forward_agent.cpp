#include "forward/decline_watch.h"
#include "forward/failure_watch.h"
#include "forward/offered_packets.h"
#include "forward/target_load.h"

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
/// The same balancer is told the owner of the same flow at most this often.
constexpr duration NoticeSpacing = std::chrono::milliseconds(100);

constexpr double Thousandths = 1000;

} // namespace

struct forward_agent::impl {
  impl(const forward_agent_settings &Settings, segment_codec Codec,
       forward_agent_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)) {}

  agent_outcome onRouted(const routed_packet &Routed, instant Now);
  agent_outcome onNewFlow(const routed_packet &Routed, const segment &Segment,
                          instant Now);
  agent_outcome onFlowPacket(const routed_packet &Routed,
                             const segment &Segment, instant Now);
  agent_outcome deliver(const routed_packet &Routed, const segment &Segment,
                        bool Waits, instant Now);
  agent_outcome passOn(routed_packet Routed, const tcp_packet &Head,
                       std::string_view Why);
  void passOnUnsure(routed_packet Routed, const tcp_packet &Head);
  agent_outcome endOfList(const routed_packet &Routed, const tcp_packet &Head,
                          std::string_view Why);
  agent_outcome askForMore(routed_packet Routed);
  agent_outcome onDeclined(const segment &Segment, bytes_view Bytes,
                           instant Now);
  bool sendReset(const tcp_packet &Packet);
  agent_outcome resetLost(const tcp_packet &Head);
  void noteDeclined(const flow_key &Flow, instant Now);
  void noteAnswer(const flow_key &Flow, bool Failed, instant Now);
  void noteGivenUp(const tcp_packet &Head, instant Now);
  void tellFailures(const flow_key &Flow);
  agent_outcome onAnswer(segment Segment, bytes_view Bytes, instant Now);
  void nameOwner(const routed_packet &Routed, const flow_key &Flow,
                 instant Now);
  void resetAll(instant Now);
  void resetOpen(const open_flow &Open, std::string_view Why);
  void callOut(instant Now);
  void sendReport(const endpoint &Balancer, instant Now);
  void reportNow(instant Now);
  load_report report(instant Now) const;
  void tell(event_kind What, std::string_view Why, const flow_key &Flow,
            const endpoint &Agent);

  forward_agent_settings Settings;
  segment_codec Codec;
  forward_agent_hooks Hooks;
  offered_packets Offered;
  target_load Load;
  std::map<endpoint, instant> Balancers;
  /// The last balancer heard, and when it was heard or called last.
  std::optional<std::pair<endpoint, instant>> LastBalancer;
  bool Admitting = false;
  bool TargetGone = false;
  /// The target has not answered the last thing put to it.
  bool Silent = false;
  decline_watch Declines;
  failure_watch Failures;
  std::uint32_t Slots = 1;
  instant WarmUntil;
  forward_agent_counters Counters;
};

void forward_agent::impl::tell(event_kind What, std::string_view Why,
                               const flow_key &Flow, const endpoint &Agent) {
  if (Hooks.OnEvent)
    Hooks.OnEvent({What, Why, Flow, Agent, static_cast<double>(Load.open()),
                   duration::zero()});
}

//===----------------------------------------------------------------------===//
// From balancers and agents
//===----------------------------------------------------------------------===//

agent_outcome forward_agent::impl::onRouted(const routed_packet &Routed,
                                            instant Now) {
  segment Segment;
  if (!Codec.Parse(Routed.Packet, Segment))
    return agent_outcome::Malformed;
  if (Routed.Balancer != endpoint())
    Balancers[Routed.Balancer] = Now;
  if (Segment.Head.opensFlow())
    return onNewFlow(Routed, Segment, Now);
  return onFlowPacket(Routed, Segment, Now);
}

agent_outcome forward_agent::impl::onNewFlow(const routed_packet &Routed,
                                             const segment &Segment,
                                             instant Now) {
  if (Hooks.Witness && Routed.Version != 0)
    Hooks.Witness(Routed.Version);
  // An address is used again by other services; the balancer's list may be of
  // before.
  if (Routed.Service != Settings.Service)
    return passOn(Routed, Segment.Head, "another service");
  if (!Admitting)
    return passOn(Routed, Segment.Head, "not admitting");
  if (TargetGone)
    return passOn(Routed, Segment.Head, "target gone");
  return deliver(Routed, Segment, /*Waits=*/true, Now);
}

agent_outcome forward_agent::impl::onFlowPacket(const routed_packet &Routed,
                                                const segment &Segment,
                                                instant Now) {
  if (TargetGone)
    return passOn(Routed, Segment.Head, "target gone");
  const target_load::caller_packet Kind = Load.judge(Segment.Head);
  if (Kind == target_load::caller_packet::Elsewhere)
    return passOn(Routed, Segment.Head, "opened elsewhere");
  const bool IsKnown = Kind == target_load::caller_packet::Known;
  if (IsKnown) {
    nameOwner(Routed, Segment.Head.Flow, Now);
    noteGivenUp(Segment.Head, Now);
    if (Load.onCaller(Segment.Head, Now)) {
      ++Counters.Requests;
      if (Hooks.OnRequest)
        Hooks.OnRequest(Segment.Head.Flow, Routed.Packet);
    }
  }
  const agent_outcome Outcome = deliver(Routed, Segment, /*Waits=*/false, Now);
  if (!IsKnown && Silent)
    passOnUnsure(Routed, Segment.Head);
  return Outcome;
}

/// The target does not answer: it may hold the flow and be unable to say so,
/// and nobody may call the flow lost; but if another target holds it, the
/// packet must get there.
void forward_agent::impl::passOnUnsure(routed_packet Routed,
                                       const tcp_packet &Head) {
  Routed.Flags &= ~(static_cast<std::uint8_t>(routed_flag::Whole) |
                    static_cast<std::uint8_t>(routed_flag::WholeSoFar));
  passOn(Routed, Head, "target silent");
}

agent_outcome forward_agent::impl::deliver(const routed_packet &Routed,
                                           const segment &Segment, bool Waits,
                                           instant Now) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  std::copy(Routed.Packet.begin(), Routed.Packet.end(), Buffer.begin());
  const std::span<std::uint8_t> Packet(Buffer.data(), Routed.Packet.size());
  Codec.SetTag(Packet, Offered.add(Routed, Segment.Head, Waits, Now));
  Hooks.SendToTarget(Packet);
  return agent_outcome::Delivered;
}

/// The flow's packets came by way of others: the balancer is told, so that the
/// next ones come straight.
void forward_agent::impl::nameOwner(const routed_packet &Routed,
                                    const flow_key &Flow, instant Now) {
  if (Routed.Position == 0 || Routed.Balancer == endpoint())
    return;
  watched_flow *Watched = Load.find(Flow);
  if (!Watched || (Watched->NoticedBalancer == Routed.Balancer &&
                   Now - Watched->NoticedAt < NoticeSpacing))
    return;
  Watched->NoticedBalancer = Routed.Balancer;
  Watched->NoticedAt = Now;
  const owner_notice Notice{Settings.Service, 0, Flow, Settings.Self};
  std::array<std::uint8_t, OwnerNoticeBytes> Buffer;
  const std::size_t Size = encodeOwnerNotice(Notice, Buffer);
  ++Counters.Notices;
  Hooks.SendToPeer(Routed.Balancer, {Buffer.data(), Size});
}

agent_outcome forward_agent::impl::passOn(routed_packet Routed,
                                          const tcp_packet &Head,
                                          std::string_view Why) {
  do
    ++Routed.Position;
  while (Routed.Position < Routed.Count &&
         Routed.Owners[Routed.Position] == Settings.Self);
  if (Routed.Position >= Routed.Count)
    return endOfList(Routed, Head, Why);
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return agent_outcome::Malformed;
  if (Head.opensFlow())
    tell(event_kind::FlowHandedOn, Why, Head.Flow,
         Routed.Owners[Routed.Position]);
  Hooks.SendToPeer(Routed.Owners[Routed.Position], {Buffer.data(), Size});
  return agent_outcome::PassedOn;
}

/// Tells the caller of \p Packet that its flow is over.
bool forward_agent::impl::sendReset(const tcp_packet &Packet) {
  std::array<std::uint8_t, MaxPacketBytes> Buffer;
  const std::size_t Size = Codec.WriteReset(Packet, Buffer);
  if (Size == 0)
    return false;
  Hooks.SendToCaller(Packet.Flow.Caller, {Buffer.data(), Size});
  return true;
}

/// Nobody in the list takes the packet. A new flow has been offered to all that
/// admit, and was opened by none: its caller may be told. A flow that is open
/// may only be reset if the list was whole and all have said no.
agent_outcome forward_agent::impl::endOfList(const routed_packet &Routed,
                                             const tcp_packet &Head,
                                             std::string_view Why) {
  const bool IsNew = Head.opensFlow();
  if (!IsNew && Routed.has(routed_flag::Continues))
    return askForMore(Routed);
  if (Head.Rst || (!IsNew && !Routed.has(routed_flag::Whole)))
    return agent_outcome::Unsure;
  if (!sendReset(Head))
    return agent_outcome::Unsure;
  tell(IsNew ? event_kind::FlowRefused : event_kind::FlowReset, Why, Head.Flow,
       {});
  return IsNew ? agent_outcome::Refused : agent_outcome::Reset;
}

/// The list named only a part of those who can hold the flow; the balancer that
/// wrote it knows the rest.
agent_outcome forward_agent::impl::askForMore(routed_packet Routed) {
  if (Routed.Balancer == endpoint())
    return agent_outcome::Unsure;
  Routed.Position = 0;
  Routed.Count = 1;
  Routed.Owners[0] = Settings.Self;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  if (Size == 0)
    return agent_outcome::Malformed;
  Hooks.SendToPeer(Routed.Balancer, {Buffer.data(), Size});
  return agent_outcome::PassedOn;
}

//===----------------------------------------------------------------------===//
// From the target
//===----------------------------------------------------------------------===//

agent_outcome forward_agent::impl::onDeclined(const segment &Segment,
                                              bytes_view Bytes, instant Now) {
  ++Counters.Declined;
  Silent = false;
  offered_packet *Packet = Offered.declined(Segment.Tag, Segment.Head.Flow);
  if (!Packet)
    return agent_outcome::Unsure;
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
                 Failures.share() * Thousandths,
                 duration::zero()});
}

/// An open flow is held by one target; if that one has lost it, no other needs
/// to be asked. After a target's crash this saves a walk for each of its flows,
/// and holds also where the list may not be whole.
agent_outcome forward_agent::impl::resetLost(const tcp_packet &Head) {
  tell(event_kind::FlowLost, "its target does not hold it any more", Head.Flow,
       {});
  return !Head.Rst && sendReset(Head) ? agent_outcome::Reset
                                      : agent_outcome::Unsure;
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

//===----------------------------------------------------------------------===//
// Reports
//===----------------------------------------------------------------------===//

load_report forward_agent::impl::report(instant Now) const {
  load_report Report;
  Report.Service = Settings.Service;
  Report.Agent = Settings.Self;
  Report.Admitting = Admitting && !TargetGone;
  const bool Declining =
      Declines.declines() && !Settings.Without.has(mechanism::DeclineWatch);
  Report.Answering = !Silent && !Declining;
  Report.Active = Load.active();
  Report.Slots = static_cast<std::uint16_t>(std::min(Slots, 65535U));
  Report.Flows = Load.open();
  Report.Busy = Load.busy();
  Report.Latency = Load.latency();
  Report.Failing = static_cast<std::uint16_t>(Failures.share() * Thousandths);
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

void forward_agent::setTargetGone(bool Gone, instant Now) {
  if (Gone && !Impl->TargetGone)
    Impl->resetAll(Now);
  Impl->TargetGone = Gone;
}

bool forward_agent::targetGone() const { return Impl->TargetGone; }

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

std::vector<open_flow> forward_agent::openFlows(duration Age,
                                                instant Now) const {
  std::vector<open_flow> Flows;
  Impl->Load.forEachOpen([&](const flow_key &Key, const watched_flow &Flow) {
    if (!Flow.CallerEnded && Flow.CallerAcknowledged != 0 &&
        Now - Flow.OpenedAt >= Age)
      Flows.push_back({Key, Flow.CallerAcknowledged});
  });
  return Flows;
}

void forward_agent::resetFormer(const std::vector<open_flow> &Flows) {
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
  if (isUnlistedNotice(Bytes)) {
    if (Impl->Hooks.Unlisted)
      Impl->Hooks.Unlisted();
    return agent_outcome::Delivered;
  }
  if (service_id Service{}; decodeListedNotice(Bytes, Service)) {
    if (Impl->Hooks.Listed && Service == Impl->Settings.Service)
      Impl->Hooks.Listed();
    return agent_outcome::Delivered;
  }
  if (service_id Service{}; decodeFoundNotice(Bytes, Service)) {
    if (Impl->Hooks.Found && Service == Impl->Settings.Service)
      Impl->Hooks.Found();
    return agent_outcome::Delivered;
  }
  if (std::uint32_t Agents = 0; decodeSiteSize(Bytes, Agents)) {
    if (Impl->Hooks.OnSiteSize)
      Impl->Hooks.OnSiteSize(Agents);
    return agent_outcome::Delivered;
  }
  if (isLoadQuestion(Bytes)) {
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
      Impl->Hooks.TargetSilent();
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
  reportNow(Now);
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
