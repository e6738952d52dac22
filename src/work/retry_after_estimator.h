//===- retry_after_estimator.h - When a refused caller should come back ---*-
//C++ -*-===//
///
/// \file
/// An honest retry-after: the time until the queue has drained, and the work of
/// those who were sent away before beside the first tries that come meanwhile,
/// jittered.
///
/// Load pattern: a burst, or an outage, after which many callers come back.
/// With a fixed retry-after they all come back together and most are refused
/// again; one sees waves of refusals one retry-after apart. Counting the work
/// already sent away gives each a later place, as if it stood in the queue.
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

  /// \p Need seconds of work came as a first try.
  void firstTry(double ServiceSeconds, instant Now);

  /// Books \p Need seconds of work for later and says when, given \p Queued
  /// seconds of work that wait and \p Slots that serve them.
  duration book(double ServiceSeconds, double Queued, double Slots,
                instant Now);

  /// Callers come back up to this share later than the place they were given.
  static constexpr double Jitter = 0.25;
  /// First tries are averaged over this, so that a burst of seconds does not
  /// pass for the load of the time after it.
  static constexpr double AverageSeconds = 30;
  /// Less is never assumed to be left beside first tries.
  static constexpr double MinSpareShare = 0.2;
  static constexpr duration MinRetryAfter = std::chrono::milliseconds(20);

private:
  duration Max;
  std::mt19937_64 Random;
  /// Work sent away whose time has not come, seconds of a slot.
  double DeferredWork = 0;
  instant At;
  /// Seconds of first-try work per second.
  double FirstTries = 0;
  instant FirstTryAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RETRY_AFTER_ESTIMATOR_H
