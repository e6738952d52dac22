//===- decline_watch.h - Detects a target that accepts no flows -*- C++ -*-===//
///
/// \file
/// Detects a target that accepts no new flows. A target whose process has
/// ended, or that is full, declines every new flow within a millisecond. Its
/// agent passes each flow to the next agent, so no flow is lost. But such a
/// target has few flows and no requests in progress, so it looks like the least
/// loaded of its zone, and balancers list it first for every new flow. All
/// these flows then go to the next target of the zone, regardless of its load.
/// In a run of a zone with two targets, one of which had crashed, a full queue
/// refused 682 requests while other zones were idle, and 640 of the zone's
/// 8,563 requests were late; with this detection 85 were.
///
/// Remedy: an agent whose target has declined several new flows in a row
/// reports that the target does not answer, and balancers choose among the
/// others.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_DECLINE_WATCH_H
#define MARJORAMRAIL_FORWARD_DECLINE_WATCH_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Counts the new flows that the target has declined in a row.
class decline_watch {
public:
  /// Number of new flows declined in a row after which the target counts as
  /// declining. A single one may have arrived just before a slot became free.
  static constexpr unsigned DeclineThreshold = 3;
  /// Interval after which a declining target is offered one new flow, to detect
  /// that it accepts flows again. The trial delays that flow by about a
  /// millisecond. Targets report somewhat more often than this.
  static constexpr duration TrialInterval = std::chrono::seconds(2);

  /// The target has accepted a new flow.
  void onAccepted() { ConsecutiveDeclines = 0; }

  /// The target has declined a new flow. Returns true if it counts as declining
  /// from now on.
  bool onDeclined(instant Now) {
    if (ConsecutiveDeclines == 0)
      FirstAt = Now;
    LastAt = Now;
    ++ConsecutiveDeclines;
    return ConsecutiveDeclines == DeclineThreshold;
  }

  /// The target has reported that it accepts flows: the next flow is a trial,
  /// and one more decline suffices to count the target as declining.
  void onReady() {
    ConsecutiveDeclines = std::min(ConsecutiveDeclines, DeclineThreshold - 1);
  }

  /// Makes the next flow a trial once TrialInterval has passed since the last
  /// decline. Must be called regularly.
  void tick(instant Now) {
    if (isDeclining() && Now - LastAt >= TrialInterval)
      onReady();
  }

  bool isDeclining() const { return ConsecutiveDeclines >= DeclineThreshold; }
  unsigned consecutiveDeclines() const { return ConsecutiveDeclines; }
  /// When the first flow of the current sequence was declined.
  instant firstDeclinedAt() const { return FirstAt; }

private:
  unsigned ConsecutiveDeclines = 0;
  instant FirstAt;
  instant LastAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_DECLINE_WATCH_H
