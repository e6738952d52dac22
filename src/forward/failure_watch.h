//===- failure_watch.h - How often a target fails its callers ---*- C++ -*-===//
///
/// \file
/// The load: a target answers part of its requests with an error, at once. It
/// has nothing in its queue and its answers come quickly, so by load alone it
/// is the best choice of its zone, and the more it fails, the more it is given.
/// Its own health says nothing of it.
///
/// The agent sees every answer on its way to the caller and reports the share
/// of failures among the last ones; see placement.cpp for what becomes of it.
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
  /// Weight of an answer: the last twenty or so count. One failure now and then
  /// moves the share by a twentieth; a target that fails half of its requests
  /// passes a tenth within five answers.
  static constexpr double Smoothing = 0.05;
  /// A target that has answered nothing for so long is believed less and less,
  /// or it could never show that it is well again,
  static constexpr duration IdleDecayDelay = std::chrono::seconds(1);
  /// by this share with each tick, five a second: a target that failed all is
  /// tried again after three seconds, one that failed a third after two.
  static constexpr double IdleDecayPerTick = 0.8;

  void onAnswer(bool Failed, instant Now) {
    Share += Smoothing * ((Failed ? 1.0 : 0.0) - Share);
    AnsweredAt = Now;
  }

  /// Call it every forward_agent::TickPeriod.
  void tick(instant Now) {
    if (Now - AnsweredAt >= IdleDecayDelay)
      Share *= IdleDecayPerTick;
  }

  /// Failures among the last answers, 0 to 1.
  double share() const { return Share; }
  /// The same as reports carry it.
  std::uint16_t thousandths() const {
    return static_cast<std::uint16_t>(Share * 1000);
  }

  /// What the log tells: whether the target counts as failing, by this share
  /// alone. It goes at half of where it came, so that a share that stays near
  /// the limit does not fill the log. True if that has changed.
  bool review() {
    const bool Fails =
        Share > (LoggedFailing ? LogThreshold / 2 : LogThreshold);
    return std::exchange(LoggedFailing, Fails) != Fails;
  }
  bool fails() const { return LoggedFailing; }

private:
  /// Where the median of the service is zero, balancers avoid a target from
  /// here on.
  static constexpr double LogThreshold = 0.1;

  bool LoggedFailing = false;
  double Share = 0;
  instant AnsweredAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_FAILURE_WATCH_H
