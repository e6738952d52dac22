//===- busy_share.h - Smoothed use of the slots and service times -*- C++ -*-=//
///
/// \file
/// What an agent has learnt of its own load: how much of its slots is in use,
/// smoothed over a second so that one report tells more than the moment it was
/// made, and how long each kind of work takes.
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
  /// Call before the use of slots changes: \p Share held since the last call.
  void held(double Share, instant Now) {
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
  /// Follows a target that turns ten times slower within some 30 answers.
  static constexpr double Weight = 1.0 / 16;

  std::array<double, WorkKinds> Mean{};
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_BUSY_SHARE_H
