// Handles the reports of the agent's own target and probes whether the target's
// process is running.

#include "forward_agent_process.h"

#include <cerrno>
#include <cstring>

namespace marjoramrail::daemons {

namespace {

/// Interval of the checks whether a target that has left has stopped.
constexpr duration ProbePeriod = std::chrono::milliseconds(500);
/// The longest time between two packets of a target with an open flow: its
/// maximum retransmission back-off and some margin.
constexpr duration LongestRetransmission = std::chrono::milliseconds(1800);
/// On the same VM a connection is established or refused within this time.
constexpr duration ProbeTimeout = std::chrono::milliseconds(300);

/// What identifies a report and its run, for the log.
std::string describe(const target_report &Report) {
  return Report.Id + " born " + std::to_string(Report.Born) + " sequence " +
         std::to_string(Report.Sequence);
}

} // namespace

std::optional<page_answer>
forward_agent_process::onTargetCall(const page_request &Request) {
  const auto Call = Adapter.DecodeTargetCall(Request);
  if (!Call)
    return std::nullopt;
  switch (Call->Kind) {
  case target_call_kind::Report:
    return onReport(Call->Report);
  case target_call_kind::Leave:
    return onLeave(Call->Report.Id);
  case target_call_kind::Malformed:
    ++Malformed;
    Log.record(event_kind::ReportRefused, Call->Reason);
    return page_answer{400, "{}"};
  }
  return std::nullopt;
}

/// The answer guarantees to a draining target that it gets no new flows. This
/// holds when the answer is sent, because only this agent admits flows.
page_answer forward_agent_process::onReport(const target_report &Report) {
  const instant Now = Loop.timers().now();
  const bool WasDraining = Reports.last().Draining;
  const report_verdict Verdict = Reports.take(Report, Now);
  if (Verdict == report_verdict::WrongService) {
    Log.record(event_kind::ReportRefused, "wrong service " + Report.Service,
               Report.Id);
    return {409, "{}"};
  }
  if (Verdict == report_verdict::Stale) {
    const bool IsSameRun =
        Report.Id == Reports.last().Id && Report.Born == Reports.last().Born;
    ++(IsSameRun ? Late : FromOtherRuns);
    Log.record(event_kind::ReportRefused,
               std::string(IsSameRun ? "late: " : "another run: ") +
                   describe(Report) +
                   "; present run: " + describe(Reports.last()),
               Report.Id);
    return {200, "{}"};
  }
  if (Report.Draining != WasDraining || Report.Sequence <= 1)
    Log.record(event_kind::ReportTaken, Report.Draining ? "draining" : "ready",
               Report.Id);
  if (Core.targetStopped())
    onTargetRecovered("the target sent a report");
  if (Flows)
    Flows->onRun({Report.Id, Report.Born});
  Core.setTarget(Report.Slots, Report.WarmupLeft, Now);
  TargetPackets.flush();
  updateAdmission("the target reported");
  registerTarget();
  return {200, "{}"};
}

page_answer forward_agent_process::onLeave(const std::string &Id) {
  const report_verdict Verdict = Reports.leave(Id, Loop.timers().now());
  Log.record(Verdict == report_verdict::Accepted ? event_kind::ReportTaken
                                                 : event_kind::ReportRefused,
             "leaves", Id);
  if (Verdict == report_verdict::Accepted) {
    updateAdmission("the target left");
    withdrawWhenStopped();
  }
  return {200, "{}"};
}

/// A target reports that it leaves while its process still owns flows. If its
/// entry were removed at once, a balancer would find no owner candidate for
/// them and have them reset. So the entry stays until the target's process has
/// stopped.
///
/// A leaving target refuses connections before its flows have ended. As long as
/// it retransmits their last packets, a refused connection does not prove that
/// the process has stopped.
void forward_agent_process::withdrawWhenStopped() {
  if (!Reports.hasLeft() || Stopping)
    return;
  if (Core.targetStopped())
    return withdraw();
  if (Loop.timers().now() - LastFromTarget > LongestRetransmission)
    probeTarget();
  Loop.timers().after(ProbePeriod, [this] { withdrawWhenStopped(); });
}

/// The entry may be missing although the target is running. If so, new flows
/// wait until all balancers and agents know the target again.
void forward_agent_process::registerAgain() {
  if (Stopping || Reports.hasLeft() || !Registrar.settled())
    return;
  Registrar.recheck();
}

void forward_agent_process::registerTarget() {
  target_entry Entry;
  Entry.Name = Settings.entryName();
  Entry.Service = Settings.Service;
  Entry.Agent = Settings.RoutedListen;
  Entry.Zone = Settings.Zone;
  Entry.Slots = Reports.last().Slots;
  Entry.Draining = Reports.last().Draining;
  Withdrawn = false;
  Registrar.set(Entry);
}

void forward_agent_process::updateAdmission(const char *Why) {
  const instant Now = Loop.timers().now();
  const bool Admits = Admission.admits(Reports, Now) && !Stopping;
  if (Admits != Core.admitting()) {
    Core.setAdmitting(Admits);
    Log.record(event_kind::AdmissionChanged,
               std::string(Admits ? "admits: " : "does not admit: ") + Why);
    Core.reportNow(Now);
    Routed.flush();
  }
  const auto Settled = Admission.settledAt();
  if (!Admits && Settled && *Settled > Now)
    Loop.timers().after(*Settled - Now, [this] { updateAdmission("settled"); });
}

/// A target that does not respond is frozen, unreachable or stopped. Its flows
/// are lost only if it has stopped. A refused connection proves that: on the
/// same VM a connection is refused only if no process listens.
void forward_agent_process::probeTarget() {
  if (TargetProbe)
    return;
  tcp_stream::hooks Hooks;
  Hooks.OnConnected = [this] { endProbe(); };
  Hooks.OnClosed = [this](const std::string &Reason) {
    onProbeClosed(Reason);
    endProbe();
  };
  TargetProbe = tcp_stream::connect(Loop, Settings.Target, std::move(Hooks));
  ProbeTimer =
      Loop.timers().after(ProbeTimeout, [this] { TargetProbe.reset(); });
}

/// Deferred, because a stream must not be destroyed inside its own hook.
void forward_agent_process::endProbe() {
  Loop.timers().cancel(ProbeTimer);
  ProbeTimer =
      Loop.timers().after(duration::zero(), [this] { TargetProbe.reset(); });
}

void forward_agent_process::onProbeClosed(const std::string &Reason) {
  if (Reason != std::strerror(ECONNREFUSED) || Core.targetStopped())
    return;
  Log.record(event_kind::TargetGone, Reason, toText(Settings.Target));
  Core.setTargetStopped(true, Loop.timers().now());
  Core.reportNow(Loop.timers().now());
  Routed.flush();
}

} // namespace marjoramrail::daemons
