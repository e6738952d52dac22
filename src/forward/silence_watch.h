//===- silence_watch.h - Detects a target that does not answer --*- C++ -*-===//
///
/// \file
/// Detects a target that does not answer new flows in time. Its agent reports
/// that the target does not answer, and balancers place new flows elsewhere as
/// long as others have room. So a target that answers again gets no flow by
/// which that would show: a host that has crashed unnoticed and was started
/// again stays unused, although it reports and is admitted.
///
/// Remedy: the next new flow is a trial once the target's process is known to
/// have been started anew, and also a while after the last flow was offered.
/// Only one flow is on trial at a time; the next agent gets the others.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_SILENCE_WATCH_H
#define MARJORAMRAIL_FORWARD_SILENCE_WATCH_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Whether a target answers the new flows that it is offered.
class silence_watch {
public:
  /// Time from the last new flow that was offered to a silent target until the
  /// next one is a trial. It is doubled with each trial that fails: a trial
  /// delays its flow by the time that a target has for an answer.
  static constexpr duration MinTrialInterval = std::chrono::seconds(1);
  static constexpr duration MaxTrialInterval = std::chrono::seconds(8);

  /// The target has sent a packet. Returns true if it was silent before.
  bool onAnswered() {
    const bool WasSilent = State != state::Answering;
    State = state::Answering;
    TrialInterval = MinTrialInterval;
    return WasSilent;
  }

  /// A new flow that was offered has not been answered in time. Returns true if
  /// the target counts as silent from now on.
  bool onTimeout() {
    const bool IsNew = State == state::Answering || State == state::OnTrial;
    if (State == state::OnTrial)
      TrialInterval = std::min(2 * TrialInterval, MaxTrialInterval);
    State = state::Silent;
    return IsNew;
  }

  /// The target's process has been started anew.
  void onStarted() {
    TrialInterval = MinTrialInterval;
    if (State != state::Answering)
      State = state::TrialDue;
  }

  /// A new flow is offered to the target. Returns true if it is a trial.
  bool onOffered(instant Now) {
    OfferedAt = Now;
    if (State != state::TrialDue)
      return false;
    State = state::OnTrial;
    return true;
  }

  /// Has to be called regularly. A flow on trial may end without an answer or a
  /// timeout, for example when its caller gives up.
  void tick(instant Now) {
    if (State == state::OnTrial && Now - OfferedAt >= MinTrialInterval)
      onTimeout();
    if (State == state::Silent && Now - OfferedAt >= TrialInterval)
      State = state::TrialDue;
  }

  /// The target has not answered the last new flow that it was offered.
  bool isSilent() const { return State != state::Answering; }
  /// Balancers should place new flows elsewhere.
  bool isAvoided() const {
    return State == state::Silent || State == state::OnTrial;
  }
  /// A flow is on trial, and no other is offered to the target meanwhile.
  bool isOnTrial() const { return State == state::OnTrial; }

private:
  enum class state { Answering, Silent, TrialDue, OnTrial };

  state State = state::Answering;
  duration TrialInterval = MinTrialInterval;
  instant OfferedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_SILENCE_WATCH_H
