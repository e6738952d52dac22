#include "marjoramrail/directory.h"

namespace marjoramrail {

/// A report of the same run counts by its sequence, one of another run by the
/// time at which the run began.
bool target_reports::isLate(const target_report &Report) const {
  if (!Heard || OnlyRecalled)
    return false;
  if (Report.Id == Last.Id && Report.Born == Last.Born)
    return Report.Sequence <= Last.Sequence;
  return Report.Born < Last.Born;
}

report_verdict target_reports::take(const target_report &Report, instant Now) {
  if (Report.Service != Service)
    return report_verdict::WrongService;
  if (isLate(Report))
    return report_verdict::Late;
  Last = Report;
  LastAt = Now;
  Heard = true;
  Left = false;
  OnlyRecalled = false;
  return report_verdict::Taken;
}

report_verdict target_reports::leave(const std::string &Id, instant Now) {
  if (Heard && !OnlyRecalled && Id != Last.Id)
    return report_verdict::Late;
  Left = true;
  Heard = true;
  LastAt = Now;
  return report_verdict::Taken;
}

void target_reports::recall(bool Draining, std::uint32_t Slots, instant Now) {
  if (Heard)
    return;
  Last.Draining = Draining;
  Last.Slots = Slots;
  Heard = true;
  OnlyRecalled = true;
  LastAt = Now;
}

duration target_reports::warmupLeft(instant Now) const {
  const duration Passed = Now - LastAt;
  return Last.WarmupLeft > Passed ? Last.WarmupLeft - Passed : duration::zero();
}

} // namespace marjoramrail
