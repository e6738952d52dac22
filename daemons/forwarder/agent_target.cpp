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
  if (Report.Id.empty())
    return "none has reported";
  return Report.Id + " born " + std::to_string(Report.Born) + " sequence " +
         std::to_string(Report.Sequence);
}

/// Whether accepted reports that follow each other are of different runs.
bool isNewRun(const target_report &Report, const target_report &Previous) {
  return Report.Id != Previous.Id || Report.Born != Previous.Born ||
         Report.Sequence <= Previous.Sequence;
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
  const target_report Previous = Reports.last();
  const report_verdict Verdict = Reports.take(Report, Now);
  if (Verdict != report_verdict::Accepted) {
    notifyRun();
    return refuseReport(Report, Verdict);
  }
  if (isNewRun(Report, Previous))
    Core.onTargetStarted();
  recordAccepted(Report, Previous);
  if (Core.targetStopped())
    onTargetRecovered("the target sent a report");
  notifyRun();
  Core.setTarget(Report.Slots, Report.WarmupLeft, Now);
  TargetPackets.flush();
  updateAdmission("the target reported");
  registerTarget();
  return {200, "{}"};
}

/// A report that was refused may be of a run that has opened flows.
void forward_agent_process::notifyRun() {
  const target_report &Last = Reports.last();
  if (Flows && !Last.Id.empty() && !Reports.hasLeft())
    Flows->onRun({Last.Id, Last.Born}, Reports.onlyRunAsOf());
}

void forward_agent_process::onFlowsLost(const flow_checkpoint &Ended) {
  Log.record(event_kind::FlowsLost,
             std::to_string(Ended.Flows.size()) + " flows of " + Ended.Run.Id +
                 " born " + std::to_string(Ended.Run.Born) +
                 "; present run: " + describe(Reports.last()));
  Core.resetPreviousFlows(Ended.Flows);
  Routed.flush();
}

/// A report that has no effect is not acknowledged: the target would rely on
/// it, for example on getting no new flows while it is draining. A report that
/// says no more than a later one of the same run is.
page_answer forward_agent_process::refuseReport(const target_report &Report,
                                                report_verdict Verdict) {
  const target_report &Last = Reports.last();
  std::string Why(nameOf(ReportVerdictNames, Verdict));
  if (Verdict == report_verdict::WrongService)
    Why += " " + Report.Service;
  else
    Why += ": " + describe(Report) + "; present run: " + describe(Last);
  Log.record(event_kind::ReportRefused, Why, Report.Id);
  if (Verdict == report_verdict::WrongService)
    return {409, "{}"};
  ++(Verdict == report_verdict::Stale ? Late : FromOtherRuns);
  const bool IsKnown =
      Verdict == report_verdict::Stale && (Last.Draining || !Report.Draining);
  if (IsKnown)
    return {200, "{}"};
  return {503, "{}"};
}

void forward_agent_process::recordAccepted(const target_report &Report,
                                           const target_report &Previous) {
  const bool IsNewRun = isNewRun(Report, Previous);
  if (!IsNewRun && Report.Draining == Previous.Draining)
    return;
  std::string Why = Report.Draining ? "draining" : "ready";
  if (IsNewRun) {
    ++Runs;
    Why += ": " + describe(Report);
  }
  if (IsNewRun && !Previous.Id.empty()) {
    RunsWithEarlierStart += Report.Born <= Previous.Born ? 1 : 0;
    Why += "; replaces " + describe(Previous);
  }
  Log.record(event_kind::ReportTaken, Why, Report.Id);
}

page_answer forward_agent_process::onLeave(const std::string &Id) {
  const report_verdict Verdict = Reports.leave(Id, Loop.timers().now());
  if (Verdict != report_verdict::Accepted) {
    Log.record(event_kind::ReportRefused,
               "leaves; present run: " + describe(Reports.last()), Id);
    return {503, "{}"};
  }
  Log.record(event_kind::ReportTaken, "leaves", Id);
  updateAdmission("the target left");
  withdrawWhenStopped();
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
  Reports.onTargetStopped();
  Core.reportNow(Loop.timers().now());
  Routed.flush();
}

} // namespace marjoramrail::daemons
