//===- retry_after_estimator.h - Retry-after of refusals --------*- C++ -*-===//
///
/// \file
/// Computes the retry-after time of a refused request: the time until the queue
/// is empty and the work refused before has been done beside the first tries
/// that arrive meanwhile, plus jitter.
///
/// Load pattern: after a burst or an outage many callers come back. With a
/// fixed retry-after they all return at the same time and most are refused
/// again, so refusals come in waves one retry-after apart. Counting the work
/// already deferred gives each caller a later time, as if it were in the queue.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_RETRY_AFTER_ESTIMATOR_H
#define MARJORAMRAIL_SRC_WORK_RETRY_AFTER_ESTIMATOR_H

#include "marjoramrail/base.h"

#include <random>

namespace marjoramrail::internal {

class retry_after_estimator {
public:
  retry_after_estimator(duration Max, std::uint64_t Seed)
      : Max(Max), Random(Seed) {}

  /// Records a first try with \p ServiceSeconds seconds of work.
  void firstTry(double ServiceSeconds, instant Now);

  /// Reserves time for \p ServiceSeconds seconds of deferred work and returns
  /// the delay until it, given \p Queued seconds of waiting work and \p Slots
  /// slots that serve them.
  duration book(double ServiceSeconds, double Queued, double Slots,
                instant Now);

  /// Callers are told a time that is later than their reserved time by up to
  /// this share.
  static constexpr double Jitter = 0.25;
  /// First tries are averaged over this time so that a burst of seconds does
  /// not count as the load of the time after it.
  static constexpr double AverageSeconds = 30;
  /// Capacity left beside first tries is never assumed to be a smaller share of
  /// the slots than this.
  static constexpr double MinSpareShare = 0.2;
  static constexpr duration MinRetryAfter = std::chrono::milliseconds(20);

private:
  duration Max;
  std::mt19937_64 Random;
  /// Deferred work whose time has not come yet, in seconds of a slot.
  double DeferredWork = 0;
  instant At;
  /// Seconds of first-try work per second.
  double FirstTries = 0;
  instant FirstTryAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RETRY_AFTER_ESTIMATOR_H
