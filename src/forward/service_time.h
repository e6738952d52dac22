//===- service_time.h - Learned service time of a target --------*- C++ -*-===//
///
/// \file
/// The typical time that a target needs for a request, learned from its
/// answers.
///
/// Load pattern: targets of one service differ in speed, some are slower for a
/// while, and a few requests take many times as long as the others. With a
/// plain mean, one long request would make a target look slow for the next
/// hundred flows, so each answer counts for at most MaxRatio times the current
/// value. Answers that report a failure do not count: a target that fails at
/// once is not fast.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_SERVICE_TIME_H
#define MARJORAMRAIL_FORWARD_SERVICE_TIME_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

class service_time {
public:
  /// Averages over about twenty answers, which a busy target gives within less
  /// than a second.
  static constexpr double Smoothing = 0.05;
  static constexpr double MaxRatio = 3;

  /// \p Took is the time from the delivery of a request to the beginning of its
  /// answer.
  void onAnswer(duration Took) {
    const auto Microseconds = static_cast<double>(Took.count());
    if (Mean == 0)
      Mean = Microseconds;
    Mean += Smoothing *
            (std::clamp(Microseconds, Mean / MaxRatio, Mean * MaxRatio) - Mean);
  }

  /// Zero before the first answer.
  duration value() const { return duration(static_cast<duration::rep>(Mean)); }

private:
  /// In microseconds.
  double Mean = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_SERVICE_TIME_H
