//===- return_time.h - When a refused caller should come back ---*- C++ -*-===//
///
/// \file
/// An honest retry-after: the time until the queue and the work of those who
/// were sent away before have drained at the present rate, jittered.
///
/// Load pattern: a burst, or an outage, after which many callers come back.
/// With a fixed retry-after they all come back together and most are refused
/// again; one sees waves of refusals one retry-after apart. Counting the work
/// already sent away gives each a later place, as if it stood in the queue.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_RETURN_TIME_H
#define MARJORAMRAIL_SRC_WORK_RETURN_TIME_H

#include "marjoramrail/base.h"

#include <random>

namespace marjoramrail::internal {

class return_time {
public:
  return_time(duration Max, std::uint64_t Seed) : Max(Max), Random(Seed) {}

  /// Books \p Need seconds of work for later and says when, given \p Queued
  /// seconds of work that wait and \p Slots that serve them.
  duration book(double Need, double Queued, double Slots, instant Now);

  /// Callers come back up to this share later than the place they were given.
  static constexpr double Jitter = 0.25;
  static constexpr duration Least = std::chrono::milliseconds(20);

private:
  duration Max;
  std::mt19937_64 Random;
  /// Work sent away whose time has not come, seconds of a slot.
  double SentAway = 0;
  instant At;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RETURN_TIME_H
