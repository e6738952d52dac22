//===- failure_watch.h - Failure rate of a target's answers -----*- C++ -*-===//
///
/// \file
/// Measures how often a target answers requests with an error. A target that
/// fails part of its requests at once has an empty queue and low latency, so by
/// load alone it is the best choice of its zone, and the more it fails, the
/// more flows it gets. Its own health check does not show this.
///
/// The agent sees every answer on its way to the caller and reports the share
/// of failures among recent answers; see placement.cpp for how it is used.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FAILURE_WATCH_H
#define MARJORAMRAIL_FORWARD_FAILURE_WATCH_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <utility>

namespace marjoramrail::internal {

class failure_watch {
public:
  /// Weight of one answer, so that about the last twenty count. One failure
  /// moves the share by a twentieth; a target that fails half of its requests
  /// exceeds a tenth within five answers.
  static constexpr double Smoothing = 0.05;
  /// If a target has answered nothing for this time, its failure share decays.
  /// Otherwise it would get no flows and could not show that it has recovered.
  static constexpr duration IdleDecayDelay = std::chrono::seconds(1);
  /// Factor applied with each tick, five times a second: a target that failed
  /// every request is tried again after three seconds, one that failed a third
  /// after two.
  static constexpr double IdleDecayPerTick = 0.8;

  void onAnswer(bool Failed, instant Now) {
    Share += Smoothing * ((Failed ? 1.0 : 0.0) - Share);
    AnsweredAt = Now;
  }

  /// Has to be called every forward_agent::TickPeriod.
  void tick(instant Now) {
    if (Now - AnsweredAt >= IdleDecayDelay)
      Share *= IdleDecayPerTick;
  }

  /// Share of failures among recent answers, 0 to 1.
  double share() const { return Share; }
  /// The same in thousandths, as load reports carry it.
  std::uint16_t thousandths() const {
    return static_cast<std::uint16_t>(Share * 1000);
  }

  /// Updates fails(), the failure state for the event log, which depends on
  /// this share alone. The state is cleared at half the threshold at which it
  /// is set, so that a share near the threshold does not fill the log. Returns
  /// true if the state has changed.
  bool review() {
    const bool Fails =
        Share > (LoggedFailing ? LogThreshold / 2 : LogThreshold);
    return std::exchange(LoggedFailing, Fails) != Fails;
  }
  bool fails() const { return LoggedFailing; }

private:
  /// If the median of the service is zero, balancers avoid a target above this
  /// share.
  static constexpr double LogThreshold = 0.1;

  bool LoggedFailing = false;
  double Share = 0;
  instant AnsweredAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_FAILURE_WATCH_H
