#include "marjoramrail/directory.h"

#include <algorithm>
#include <utility>

namespace marjoramrail {

/// Bounds the memory used for runs that are over.
static constexpr std::size_t MaxOthers = 8;

/// When a run other than \p Run last reported; the present one does not count
/// if it is over.
instant target_reports::othersHeardAt(const run &Run) const {
  instant HeardAt = StartedAt;
  if (Present && &*Present != &Run && !IsOver)
    HeardAt = std::max(HeardAt, Present->LastAt);
  for (const run &Other : Others)
    if (&Other != &Run)
      HeardAt = std::max(HeardAt, Other.LastAt);
  return HeardAt;
}

void target_reports::noteReport(run &Run, const target_report &Report,
                                instant Now) const {
  if (othersHeardAt(Run) >= Run.FirstAt)
    Run.FirstAt = Now;
  Run.Sequence = Report.Sequence;
  Run.LastAt = Now;
}

/// \p Run has reported more than once, at an interval at which a run that goes
/// on would have reported in between, and no other run has for longer than the
/// interval of reports. Several delayed reports may arrive at the same moment.
bool target_reports::isAlone(const run &Run, instant Now) const {
  return Now - Run.FirstAt >= ReportPeriod / 2 &&
         Now - othersHeardAt(Run) >= maxSilence();
}

/// The run that was heard longest ago makes room.
target_reports::run &target_reports::addOther(const run &Run) {
  if (Others.size() >= MaxOthers)
    Others.erase(std::min_element(
        Others.begin(), Others.end(),
        [](const run &A, const run &B) { return A.LastAt < B.LastAt; }));
  return Others.emplace_back(Run);
}

/// Notes a report of a run that is not the present one, and returns that run;
/// nothing if the report is not its latest. A run with the id and the start
/// time of the present one whose sequence numbers are lower is another run as
/// well: the clock may have been stepped back by the time between the two
/// starts.
target_reports::run *target_reports::noteOther(const target_report &Report,
                                               instant Now) {
  const auto Known =
      std::find_if(Others.begin(), Others.end(),
                   [&](const run &Run) { return Run.isSameRun(Report); });
  if (Known == Others.end())
    return &addOther({Report.Id, Report.Born, Report.Sequence, Now, Now});
  if (!Known->isContinuedBy(Report))
    return nullptr;
  noteReport(*Known, Report, Now);
  return &*Known;
}

/// Whether \p Report of another run can be accepted whatever its run has
/// reported before. Before the first report, only a target that is draining or
/// has left needs more: a delayed report that says "ready" would start new
/// flows to it.
bool target_reports::isAcceptedAtOnce(const target_report &Report,
                                      instant Now) const {
  if (!Present)
    return !HasReport || acceptsNewFlows() || Report.Draining;
  const bool IsSilent = IsOver || Now - Present->LastAt >= maxSilence();
  return IsSilent && Report.Born > Present->Born;
}

/// The previous run is kept: should it go on to report, it is the present one
/// after all.
void target_reports::makePresent(const run &Run, instant Now) {
  IsConfirmed = isAlone(Run, Now);
  OnlyRunAsOf = IsConfirmed ? std::optional(Now) : std::nullopt;
  PreviousOnlyRunAsOf.reset();
  const std::optional<run> Previous =
      std::exchange(Present, std::optional<run>(Run));
  Others.erase(Others.begin() + (&Run - Others.data()));
  if (Previous && !IsOver)
    addOther(*Previous);
}

/// After the process of the target has stopped, a single report may be one that
/// was sent before.
void target_reports::continuePresent(const target_report &Report, instant Now) {
  if (IsOver)
    Present->FirstAt = Now;
  noteReport(*Present, Report, Now);
  if (isAlone(*Present, Now))
    noteAlone(Now);
}

void target_reports::noteAlone(instant Now) {
  IsConfirmed = true;
  if (!OnlyRunAsOf || Now - *OnlyRunAsOf >= ReportPeriod / 2)
    PreviousOnlyRunAsOf = OnlyRunAsOf;
  OnlyRunAsOf = Now;
}

void target_reports::accept(const target_report &Report, instant Now) {
  Last = Report;
  LastAt = Now;
  HasReport = true;
  HasLeft = false;
  IsOver = false;
}

report_verdict target_reports::take(const target_report &Report, instant Now) {
  if (Report.Service != Service)
    return report_verdict::WrongService;
  if (Present && Present->isContinuedBy(Report)) {
    continuePresent(Report, Now);
    accept(Report, Now);
    return report_verdict::Accepted;
  }
  // The last report of the present run may have been a late one, and the other
  // run may have opened flows before it.
  OnlyRunAsOf = PreviousOnlyRunAsOf;
  const bool IsSameRun = Present && Present->isSameRun(Report);
  const run *Run = noteOther(Report, Now);
  if (!Run || !(isAlone(*Run, Now) || isAcceptedAtOnce(Report, Now)))
    return IsSameRun ? report_verdict::Stale : report_verdict::OtherRun;
  makePresent(*Run, Now);
  accept(Report, Now);
  return report_verdict::Accepted;
}

report_verdict target_reports::leave(const std::string &Id, instant Now) {
  if (Present && Id != Present->Id)
    return report_verdict::OtherRun;
  HasLeft = true;
  HasReport = true;
  IsOver = true;
  LastAt = Now;
  return report_verdict::Accepted;
}

void target_reports::restore(bool Draining, std::uint32_t Slots, instant Now) {
  const bool AgreesWithReport = Last.Draining || !Draining;
  if (HasLeft || IsConfirmed || (HasReport && AgreesWithReport))
    return;
  if (Present)
    addOther(*Present);
  Present.reset();
  Last.Draining = Draining;
  Last.Slots = Slots;
  HasReport = true;
  LastAt = Now;
}

duration target_reports::warmupLeft(instant Now) const {
  const duration Passed = Now - LastAt;
  return Last.WarmupLeft > Passed ? Last.WarmupLeft - Passed : duration::zero();
}

} // namespace marjoramrail
