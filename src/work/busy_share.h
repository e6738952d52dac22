//===- busy_share.h - Measured slot use and service times -------*- C++ -*-===//
///
/// \file
/// Measures an agent's own load: the share of its slots in use, smoothed over
/// one second so that a load report reflects more than a single moment, and the
/// mean service time of each kind of work.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_BUSY_SHARE_H
#define MARJORAMRAIL_SRC_WORK_BUSY_SHARE_H

#include "marjoramrail/work.h"

#include <array>
#include <cmath>

namespace marjoramrail::internal {

class busy_share {
public:
  /// Must be called before the use of slots changes. \p Share is the share of
  /// slots that was in use since the last call.
  void recordUse(double Share, instant Now) {
    const double Passed = std::chrono::duration<double>(Now - At).count();
    At = Now;
    Smoothed += (Share - Smoothed) * (1 - std::exp(-Passed / SmoothSeconds));
  }

  double value() const { return Smoothed; }

private:
  static constexpr double SmoothSeconds = 1;

  double Smoothed = 0;
  instant At;
};

/// Mean seconds in a slot, by kind.
class service_times {
public:
  explicit service_times(duration First) {
    Mean.fill(std::chrono::duration<double>(First).count());
  }

  void answered(work_kind Kind, duration Elapsed) {
    const double Seconds = std::chrono::duration<double>(Elapsed).count();
    double &Known = Mean[std::size_t(Kind)];
    Known += Weight * (Seconds - Known);
  }

  double expected(const work_request &Request) const {
    if (Request.Estimate > duration::zero())
      return std::chrono::duration<double>(Request.Estimate).count();
    return Mean[std::size_t(Request.Kind)];
  }

  double mean(work_kind Kind) const { return Mean[std::size_t(Kind)]; }

private:
  /// Follows a target that becomes ten times slower within about 30 answers.
  static constexpr double Weight = 1.0 / 16;

  std::array<double, WorkKinds> Mean{};
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_BUSY_SHARE_H
