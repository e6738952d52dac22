//===- admission_threshold.h - When new flows are refused -------*- C++ -*-===//
///
/// \file
/// Decides from which priority on a balancer refuses new flows of one service,
/// from the waits that agents report. There is no leader: each balancer decides
/// by itself from the same reports.
///
/// Load pattern: demand stays above what all targets of a service can serve. If
/// every flow is admitted, requests wait longer than their callers do, and the
/// callers learn only by their own time limit that they are not served. A flow
/// is refused at once if it is known that no target can begin its request in
/// time, the least urgent priority first.
///
/// The threshold moves by one priority at a time, and back at half of the wait,
/// so that one late report neither refuses all callers nor admits them all. If
/// a wait is no longer known, all flows are admitted: a target may be idle.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_ADMISSION_THRESHOLD_H
#define MARJORAMRAIL_FORWARD_ADMISSION_THRESHOLD_H

#include "marjoramrail/agent_messages.h"

#include <array>
#include <optional>

namespace marjoramrail::internal {

/// What is known of one priority of a service when the threshold is evaluated.
struct priority_wait {
  /// The shortest wait that any target may have; nothing if a target may exist
  /// whose wait is not known.
  std::optional<duration> Shortest;
  /// How long callers of this priority wait for an answer; zero if no route
  /// states a limit, or if no route has this priority.
  duration Limit = duration::zero();
};

using priority_waits = std::array<priority_wait, ReportedPriorities>;

class admission_threshold {
public:
  /// A wait has to exceed its limit in this many evaluations in a row.
  static constexpr unsigned EvaluationsToRefuse = 2;

  /// Has to be called every forward_balancer::TickPeriod.
  void evaluate(const priority_waits &Waits, instant Now) {
    if (!isKnown(Waits)) {
      moveTo(ReportedPriorities, Now);
      return;
    }
    if (canRelease(Waits)) {
      moveTo(nextToAdmit(Waits), Now);
      return;
    }
    if (!mustRefuse(Waits)) {
      Exceeded = 0;
      return;
    }
    if (++Exceeded >= EvaluationsToRefuse)
      moveTo(nextToRefuse(Waits), Now);
  }

  /// Whether new flows of \p Priority are refused.
  bool refuses(std::uint8_t Priority) const {
    return reportedPriority(Priority) >= RefusesFrom;
  }
  /// The most urgent priority that is refused, if any is.
  std::optional<std::size_t> refusesFrom() const {
    return RefusesFrom < ReportedPriorities ? std::optional(RefusesFrom)
                                            : std::nullopt;
  }
  /// When the threshold last changed.
  instant changedAt() const { return ChangedAt; }

private:
  static bool isExceeded(const priority_wait &Wait) {
    return Wait.Shortest && Wait.Limit > duration::zero() &&
           *Wait.Shortest > Wait.Limit;
  }

  /// The least urgent admitted priority that has routes, if any.
  std::optional<std::size_t> leastUrgent(const priority_waits &Waits) const {
    for (std::size_t I = RefusesFrom; I > 0; --I)
      if (Waits[I - 1].Limit > duration::zero())
        return I - 1;
    return std::nullopt;
  }

  bool mustRefuse(const priority_waits &Waits) const {
    const auto Last = leastUrgent(Waits);
    return Last && isExceeded(Waits[*Last]);
  }

  std::size_t nextToRefuse(const priority_waits &Waits) const {
    return leastUrgent(Waits).value_or(RefusesFrom);
  }

  /// Whether the wait of the most urgent refused priority is known.
  /// True if nothing is refused.
  bool isKnown(const priority_waits &Waits) const {
    return RefusesFrom >= ReportedPriorities ||
           Waits[RefusesFrom].Shortest.has_value();
  }

  /// Whether the most urgent refused priority can be admitted again.
  bool canRelease(const priority_waits &Waits) const {
    if (RefusesFrom >= ReportedPriorities)
      return false;
    const priority_wait &Wait = Waits[RefusesFrom];
    return Wait.Limit == duration::zero() || *Wait.Shortest <= Wait.Limit / 2;
  }

  /// Returns the next priority with routes after RefusesFrom. RefusesFrom and
  /// the priorities between them are admitted.
  std::size_t nextToAdmit(const priority_waits &Waits) const {
    std::size_t Next = RefusesFrom + 1;
    while (Next < ReportedPriorities && Waits[Next].Limit == duration::zero())
      ++Next;
    return Next;
  }

  void moveTo(std::size_t Next, instant Now) {
    RefusesFrom = Next;
    Exceeded = 0;
    ChangedAt = Now;
  }

  std::size_t RefusesFrom = ReportedPriorities;
  unsigned Exceeded = 0;
  instant ChangedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_ADMISSION_THRESHOLD_H
