#include "marjoramrail/directory.h"

namespace marjoramrail {

/// Reports of the same run are ordered by sequence number, those of different
/// runs by the start time of the run.
bool target_reports::isLate(const target_report &Report) const {
  if (!HasReport || OnlyRestored)
    return false;
  if (Report.Id == Last.Id && Report.Born == Last.Born)
    return Report.Sequence <= Last.Sequence;
  return Report.Born < Last.Born;
}

report_verdict target_reports::take(const target_report &Report, instant Now) {
  if (Report.Service != Service)
    return report_verdict::WrongService;
  if (isLate(Report))
    return report_verdict::Stale;
  Last = Report;
  LastAt = Now;
  HasReport = true;
  HasLeft = false;
  OnlyRestored = false;
  return report_verdict::Accepted;
}

report_verdict target_reports::leave(const std::string &Id, instant Now) {
  if (HasReport && !OnlyRestored && Id != Last.Id)
    return report_verdict::Stale;
  HasLeft = true;
  HasReport = true;
  LastAt = Now;
  return report_verdict::Accepted;
}

void target_reports::restore(bool Draining, std::uint32_t Slots, instant Now) {
  if (HasReport)
    return;
  Last.Draining = Draining;
  Last.Slots = Slots;
  HasReport = true;
  OnlyRestored = true;
  LastAt = Now;
}

duration target_reports::warmupLeft(instant Now) const {
  const duration Passed = Now - LastAt;
  return Last.WarmupLeft > Passed ? Last.WarmupLeft - Passed : duration::zero();
}

} // namespace marjoramrail
