//===- byte_budget.h - Byte budget for control traffic ----------*- C++ -*-===//
///
/// \file
/// Limits the bytes that a node sends for control. Without a limit, many
/// simultaneous changes would make every node send each version of each view to
/// its peers and take bandwidth from the callers. What does not fit is
/// deferred, and versions superseded meanwhile are never sent. A burst of four
/// seconds' worth lets a single change go out at once.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_BYTE_BUDGET_H
#define MARJORAMRAIL_FLEET_BYTE_BUDGET_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Order in which messages are deferred when the budget runs low.
enum class urgency {
  /// Heartbeats and reports on hosts: small and limited in number by
  /// themselves. If they were deferred for lack of budget, live nodes would be
  /// considered dead.
  Now,
  /// Views and updates about them.
  Soon,
  /// Confirmations and digests; sent only while half of the burst is left, so
  /// that they never delay a view.
  Later,
};

class byte_budget {
public:
  byte_budget(std::uint32_t BytesPerSecond, instant Now)
      : Rate(BytesPerSecond), Left(BurstSeconds * Rate), Last(Now) {}

  /// True if a message may be sent now. A message may overdraw the budget, so
  /// that one larger than the burst can be sent at all; the next one then waits
  /// accordingly longer.
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
