#include "forward_agent_process.h"
#include "process_pages.h"

namespace marjoramrail::daemons {

namespace {

/// Lets the final reports be sent before the process ends.
constexpr duration FinalReportTime = std::chrono::milliseconds(20);
/// Longest wait for the store to remove the entry before the process ends: half
/// of the usual grace period.
constexpr duration WithdrawTime = std::chrono::seconds(3);

} // namespace

forward_agent_process::forward_agent_process(
    event_loop &Loop, const agent_program_settings &Settings,
    const site_adapter &Adapter)
    : Loop(Loop), Settings(Settings), Adapter(Adapter),
      Log(Loop, Settings.Name), Callbacks(Log, Metrics),
      Calls(Loop, Log, Metrics), Sent(Loop, Log, Metrics),
      OnCallback(Callbacks.onCallback()), Requests(Log, Metrics, this->Adapter),
      Routed(Loop, [this](auto Batch) { onRouted(Batch); }),
      TargetPackets(Loop, [this](auto Batch) { onTargetPackets(Batch); }),
      Store(Loop, withCallCounts(
                      withCallbackLog(
                          storeSettings(Settings.Name, Settings.Store, Adapter,
                                        Settings.DisabledMechanisms),
                          Callbacks),
                      Calls)),
      Core({.Service = serviceNumber(Settings.Service),
            .Self = Settings.RoutedListen,
            .DisabledMechanisms = Settings.DisabledMechanisms,
            .Warmup = Settings.Warmup},
           Adapter.Codec, coreHooks()),
      Reports(Settings.Service, Settings.TargetReportPeriod,
              Loop.timers().now()),
      Registrar(Loop.timers(), Store.api(), directory_settings().SiteKind,
                registrarHooks()),
      Flows(makeReporter()), CallsPage(Loop, Metrics, callsPage()),
      ReadyPage(Loop, Metrics, readyPage()), MetricsPage(Loop, Metrics, {}),
      Expiry(Loop.timers(), [this](instant Now) { return expire(Now); }),
      Malformed(Metrics.counter("marjoramrail_target_reports_malformed_total")),
      Late(Metrics.counter("marjoramrail_target_reports_late_total")),
      FromOtherRuns(
          Metrics.counter("marjoramrail_target_reports_other_run_total")),
      Runs(Metrics.counter("marjoramrail_target_runs_total")),
      RunsWithEarlierStart(
          Metrics.counter("marjoramrail_target_runs_earlier_start_total")) {
  Core.setIdleFlow(Settings.FlowLife);
  showMetrics();
}

//===----------------------------------------------------------------------===//
// Hooks
//===----------------------------------------------------------------------===//

forward_agent_hooks forward_agent_process::coreHooks() {
  forward_agent_hooks Hooks;
  Hooks.SendToTarget = [this](bytes_view Bytes) {
    TargetPackets.send(Settings.Target, Bytes);
  };
  Hooks.SendToPeer = [this](const endpoint &To, bytes_view Bytes) {
    sendToPeer(isRouted(Bytes) ? message_kind::Packet
                               : message_kind::LoadReport,
               To, Bytes);
  };
  // Callers receive answers on the port number of RoutedListen.
  Hooks.SendToCaller = [this](const endpoint &Caller, bytes_view Bytes) {
    sendToPeer(message_kind::Answer,
               {Caller.Address, Settings.RoutedListen.Port}, Bytes);
  };
  Hooks.TargetUnresponsive = [this] { probeTarget(); };
  Hooks.OnRequest = [this](const flow_key &Flow, bytes_view Packet) {
    Requests.seen(Flow, Packet, Core.report(Loop.timers().now()).Active);
  };
  Hooks.OnAnswer = [this](const flow_key &Flow, bytes_view Packet,
                          duration Took) {
    const instant Now = Loop.timers().now();
    const int Status = this->Adapter.StatusOf(Packet);
    Requests.answered(Flow, Status, Took, Core.report(Now).Latency);
    return request_log::isFailure(Status);
  };
  Hooks.OnEvent = [this](const flow_event &Event) { recordFlow(Event); };
  Hooks.OnReleased = [this](std::uint8_t Priority, duration Waited) {
    Metrics.observe("marjoramrail_hold_seconds_priority_" +
                        std::to_string(reportedPriority(Priority)),
                    inSeconds(Waited));
  };
  Hooks.ObserveClock = [this](std::uint64_t Clock) { Log.observeClock(Clock); };
  addRegistrationHooks(Hooks);
  return Hooks;
}

void forward_agent_process::addRegistrationHooks(forward_agent_hooks &Hooks) {
  // A balancer with outdated replicated state may report an entry that has been
  // removed.
  Hooks.Registered = [this] {
    if (Registrar.knownMissing() ||
        this->Settings.DisabledMechanisms.has(mechanism::RegisteredNotices))
      return;
    Admission.onRegistered(Loop.timers().now());
    updateAdmission("a balancer has known this target for long");
  };
  Hooks.RegistrationFound = [this] {
    // If this process wrote the entry, it may be too new for all to know it.
    if (Registrar.hasWritten() || Registrar.knownMissing() ||
        this->Settings.DisabledMechanisms.has(mechanism::FoundRegistrations))
      return;
    Admission.onRegistered(Loop.timers().now());
    updateAdmission("a balancer that started found this target in the store");
  };
  Hooks.Unregistered = [this] { registerAgain(); };
  Hooks.NoBalancerContact = [this] { registerAgain(); };
}

/// A reset flow also loses the request that waits for an answer on it; the
/// event then names that request.
void forward_agent_process::recordFlow(const flow_event &Event) {
  const std::string Request = Event.What == event_kind::FlowReset
                                  ? Requests.takePending(Event.Flow)
                                  : "";
  Log.record(Event, Settings.Service, Request);
}

target_registrar::hooks forward_agent_process::registrarHooks() {
  target_registrar::hooks Hooks;
  Hooks.OnFound = [this](const target_entry &Entry) {
    if (Entry.Service != Settings.Service ||
        Entry.Agent != Settings.RoutedListen)
      return;
    const instant Now = Loop.timers().now();
    Admission.onStored(/*Existed=*/true, Now);
    Reports.restore(Entry.Draining, Entry.Slots, Now);
    Core.restoreSlots(Entry.Slots);
    updateAdmission("the store holds this target");
  };
  Hooks.OnFirstRead = [this](bool Existed) {
    if (Flows)
      Flows->start(/*HasPrevious=*/Existed);
  };
  // As for a new target, new flows wait until all balancers and agents know it.
  Hooks.OnMissing = [this] {
    Admission.onUnregistered();
    updateAdmission("not in the store");
  };
  Hooks.OnStored = [this](bool Existed) {
    const bool IsKnown =
        Existed || this->Settings.DisabledMechanisms.has(mechanism::SettleTime);
    Admission.onStored(IsKnown, Loop.timers().now());
    updateAdmission("the store holds this target");
  };
  Hooks.OnFailure = [this](const std::string &Reason) {
    Log.record(event_kind::StoreLost, Reason);
  };
  Hooks.RequestPeerRegistration = [this](const target_entry &Entry) {
    if (this->Settings.DisabledMechanisms.has(mechanism::PeerAnnouncements))
      return;
    const std::vector<std::uint8_t> Bytes = encodeRegistrationRequest(Entry);
    for (const endpoint &Balancer : this->Settings.Balancers)
      sendToPeer(message_kind::Registration, Balancer, Bytes);
    Routed.flush();
  };
  return Hooks;
}

std::unique_ptr<flow_reporter> forward_agent_process::makeReporter() {
  if (!Settings.KeepFlows ||
      Settings.DisabledMechanisms.has(mechanism::FlowCheckpoints))
    return nullptr;
  flow_reporter::hooks Hooks;
  Hooks.OpenFlows = [this](instant Moment) { return Core.openFlows(Moment); };
  Hooks.OnLost = [this](const flow_checkpoint &Ended) { onFlowsLost(Ended); };
  Hooks.Send = [this](const endpoint &To, bytes_view Bytes) {
    sendToPeer(message_kind::FlowReport, To, Bytes);
  };
  Hooks.OnError = [this](const std::string &Reason) {
    Log.record(event_kind::StoreLost, "kept flows: " + Reason);
  };
  return std::make_unique<flow_reporter>(
      Loop.timers(), Store.api(),
      flow_reporter::settings{Settings.entryName(), Settings.Zone,
                              Settings.FlowLife},
      std::move(Hooks));
}

void forward_agent_process::withdraw() {
  if (std::exchange(Withdrawn, true))
    return;
  if (Flows)
    Flows->leave();
  // Should the target return, its next entry is new to all balancers.
  Admission.onUnregistered();
  Registrar.withdraw();
}

status_page::hooks forward_agent_process::callsPage() {
  status_page::hooks Hooks;
  Hooks.Serve = [this](const page_request &Request) {
    return onTargetCall(Request);
  };
  return Hooks;
}

status_page::hooks forward_agent_process::readyPage() {
  status_page::hooks Hooks = readyHooks(Adapter, [this] { return !Stopping; });
  addStatusPages(Hooks, Log,
                 [this] { return Core.statusJson(Loop.timers().now()); });
  return Hooks;
}

void forward_agent_process::sendToPeer(message_kind Kind, const endpoint &To,
                                       bytes_view Bytes) {
  Sent.add(Kind, message_range::UnknownZone, Bytes.size());
  Routed.send(To, Bytes);
}

void forward_agent_process::showMetrics() {
  showProcess(Metrics, Store, Log);
  showOutcomes(Metrics, AgentOutcomeNames, Core.counters().Outcomes);
  Metrics.counterOf("marjoramrail_requests_seen", [this] {
    return static_cast<double>(Core.counters().Requests);
  });
  Metrics.counterOf("marjoramrail_requests_held", [this] {
    return static_cast<double>(Core.counters().RequestsHeld);
  });
  Metrics.counterOf("marjoramrail_hold_overflows", [this] {
    return static_cast<double>(Core.counters().HoldOverflows);
  });
  Metrics.gauge("marjoramrail_held_requests",
                [this] { return static_cast<double>(Core.held().Requests); });
  Metrics.gauge("marjoramrail_held_bytes",
                [this] { return static_cast<double>(Core.held().Bytes); });
  Metrics.counterOf("marjoramrail_packets_declined", [this] {
    return static_cast<double>(Core.counters().Declined);
  });
  Metrics.counterOf("marjoramrail_target_timeouts", [this] {
    return static_cast<double>(Core.counters().TimedOut);
  });
  showOutcomes(Metrics, FlowRefusalNames, Core.counters().Refusals,
               "marjoramrail_flows_not_offered_");
  Metrics.gauge("marjoramrail_zone_evacuated", [this] {
    return Core.report(Loop.timers().now()).Evacuated ? 1.0 : 0.0;
  });
  Metrics.gauge("marjoramrail_target_silent",
                [this] { return Core.targetSilent() ? 1.0 : 0.0; });
  Metrics.gauge("marjoramrail_target_declining",
                [this] { return Core.targetDeclining() ? 1.0 : 0.0; });
  Metrics.gauge("marjoramrail_target_flows", [this] {
    return static_cast<double>(Core.report(Loop.timers().now()).Flows);
  });
  Metrics.gauge("marjoramrail_target_active", [this] {
    return static_cast<double>(Core.report(Loop.timers().now()).Active);
  });
  Metrics.gauge("marjoramrail_admitting",
                [this] { return Core.admitting() ? 1.0 : 0.0; });
}

//===----------------------------------------------------------------------===//
// Running
//===----------------------------------------------------------------------===//

result<void> forward_agent_process::open() {
  if (auto Opened = Routed.open(Settings.RoutedListen); !Opened)
    return Opened.error();
  if (auto Opened = TargetPackets.open(Settings.TargetPacketsListen); !Opened)
    return Opened.error();
  if (auto Opened = CallsPage.open(Settings.TargetCallsListen); !Opened)
    return Opened.error();
  if (auto Opened = ReadyPage.open(Settings.ReadyListen); !Opened)
    return Opened.error();
  if (auto Opened = MetricsPage.open(Settings.MetricsListen); !Opened)
    return Opened.error();
  Loop.timers().every(forward_agent::TickPeriod, [this] {
    Core.tick(Loop.timers().now());
    TargetPackets.flush();
    Routed.flush();
  });
  Log.record(event_kind::ProcessStarted,
             startReason(Settings.DisabledMechanisms));
  Registrar.readExisting(Settings.entryName());
  return {};
}

void forward_agent_process::shutDown() {
  Stopping = true;
  Core.setAdmitting(false);
  Core.deliverHeld(Loop.timers().now());
  Core.reportNow(Loop.timers().now());
  TargetPackets.flush();
  Routed.flush();
  Log.record(event_kind::ProcessStopping, "asked to stop");
  // If the target is running, the agent will be restarted, and a short
  // interruption is best. If the VM is shut down, the target stops first: its
  // flows have ended, and only this process removes the entry from the store.
  probeTarget();
  StopBy = Loop.timers().now() + WithdrawTime;
  Loop.timers().every(FinalReportTime, [this] { endWhenDone(); });
}

void forward_agent_process::endWhenDone() {
  const instant Now = Loop.timers().now();
  const bool IsOver = Reports.hasLeft() || Core.targetStopped();
  if (IsOver)
    withdraw();
  const bool IsDone = IsOver ? Withdrawn && Registrar.settled() : !TargetProbe;
  if (IsDone || Now >= StopBy)
    Loop.stop();
}

void forward_agent_process::onRouted(std::span<const datagram> Batch) {
  const callback_timer Taking(OnCallback, callback_kind::PeerPackets,
                              Batch.size());
  const instant Now = Loop.timers().now();
  for (const datagram &Datagram : Batch)
    if (!Flows || !Flows->input(Datagram.From, Datagram.Bytes))
      Core.onRouted(Datagram.From, Datagram.Bytes, Now);
  TargetPackets.flush();
  Routed.flush();
  Expiry.arm(Core.expire(Now));
}

void forward_agent_process::onTargetPackets(std::span<const datagram> Batch) {
  const callback_timer Taking(OnCallback, callback_kind::TargetPackets,
                              Batch.size());
  const instant Now = Loop.timers().now();
  LastFromTarget = Now;
  for (const datagram &Datagram : Batch)
    if (Core.onTargetPacket(Datagram.Bytes, Now) == agent_outcome::Answered &&
        Core.targetStopped())
      onTargetRecovered("the target sent a packet");
  // An answer frees a slot, so a held request may have been delivered.
  TargetPackets.flush();
  Routed.flush();
}

void forward_agent_process::onTargetRecovered(const char *Why) {
  Log.record(event_kind::TargetRecovered, Why, toText(Settings.Target));
  Core.setTargetStopped(false, Loop.timers().now());
}

/// Handles packets that the target has not answered and held requests that are
/// due.
std::optional<instant> forward_agent_process::expire(instant Now) {
  const auto Next = Core.expire(Now);
  TargetPackets.flush();
  Routed.flush();
  return Next;
}

} // namespace marjoramrail::daemons
