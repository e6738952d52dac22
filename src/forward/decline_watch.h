//===- decline_watch.h - A target that takes no new flows -------*- C++ -*-===//
///
/// \file
/// The load: a target whose process has ended, or that is full, gives every new
/// flow back within a millisecond. Its agent passes the flow on, so nothing is
/// lost at once; but the target has few flows and none in progress, looks like
/// the idlest of its zone, and is named first for every new flow. All of them
/// then fall upon the next in its zone, whatever that one's load. In one play
/// of a zone with two targets, one of which crashed, a full queue refused 682
/// requests while other zones idled, and 640 of the zone's 8,563 were late;
/// with this watch 85 were.
///
/// So an agent whose target declines several new flows in a row says that it
/// does not answer, and balancers choose among the others.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_DECLINE_WATCH_H
#define MARJORAMRAIL_FORWARD_DECLINE_WATCH_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

class decline_watch {
public:
  /// New flows declined in a row after which a target counts as taking none: a
  /// single one may have come in the moment in which a slot was refilled.
  static constexpr unsigned DeclineThreshold = 3;
  /// A target that takes flows again is found by offering it one; it costs that
  /// flow a detour of a millisecond. Targets report somewhat more often.
  static constexpr duration TrialInterval = std::chrono::seconds(2);

  void onOpened() { ConsecutiveDeclines = 0; }

  /// Returns true if the target counts as taking no new flows from now on.
  bool onDeclined(instant Now) {
    if (ConsecutiveDeclines == 0)
      FirstAt = Now;
    LastAt = Now;
    ++ConsecutiveDeclines;
    return ConsecutiveDeclines == DeclineThreshold;
  }

  /// The target has said that it takes flows: the next one is a trial.
  void onReady() {
    ConsecutiveDeclines = std::min(ConsecutiveDeclines, DeclineThreshold - 1);
  }

  /// Call it now and then: makes the next flow a trial when it is time.
  void tick(instant Now) {
    if (isDeclining() && Now - LastAt >= TrialInterval)
      onReady();
  }

  bool isDeclining() const { return ConsecutiveDeclines >= DeclineThreshold; }
  unsigned consecutiveDeclines() const { return ConsecutiveDeclines; }
  /// When the first of the row was declined.
  instant firstDeclinedAt() const { return FirstAt; }

private:
  unsigned ConsecutiveDeclines = 0;
  instant FirstAt;
  instant LastAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_DECLINE_WATCH_H
