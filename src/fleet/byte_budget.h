//===- byte_budget.h - What a node may send for control ---------*- C++ -*-===//
///
/// \file
/// Answers a storm of changes: without a bound every node would send each
/// version of each view to its peers and take the links from the callers. What
/// does not fit is put off, and by the time it is sent the versions in between
/// have been passed over. The burst of four seconds' worth lets a single change
/// go out at once.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_BYTE_BUDGET_H
#define MARJORAMRAIL_FLEET_BYTE_BUDGET_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Who waits when the budget runs low.
enum class urgency {
  /// Signs of life and reports on hosts: small, bounded by themselves, and a
  /// fleet that stops them for lack of budget would take its nodes for dead.
  Now,
  /// Views and the news of them.
  Soon,
  /// Confirmations and digests; only while half of the burst is left, so that
  /// they never hold up a view.
  Later,
};

class byte_budget {
public:
  byte_budget(std::uint32_t BytesPerSecond, instant Now)
      : Rate(BytesPerSecond), Left(BurstSeconds * Rate), Last(Now) {}

  /// True if anything may be sent now. A message may overdraw the budget, so
  /// that one larger than the burst is sent at all; then it takes as much
  /// longer until the next.
  bool open(instant Now, urgency Urgency) {
    refill(Now);
    if (Urgency == urgency::Later)
      return Left > BurstSeconds * Rate / 2;
    return Urgency == urgency::Now || Left > 0;
  }

  void spend(std::size_t Bytes) { Left -= static_cast<double>(Bytes); }

private:
  static constexpr double BurstSeconds = 4;

  void refill(instant Now) {
    const double Seconds = std::chrono::duration<double>(Now - Last).count();
    Left = std::min(BurstSeconds * Rate, Left + Rate * Seconds);
    Last = std::max(Last, Now);
  }

  double Rate;
  double Left;
  instant Last;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_BYTE_BUDGET_H
