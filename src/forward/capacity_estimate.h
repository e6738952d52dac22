//===- capacity_estimate.h - Load of a target since its report --*- C++ -*-===//
///
/// \file
/// Estimates how many requests are at a target now, from its last report.
///
/// Load pattern: a service gets a burst, and its targets report every 200 ms.
/// In that time each balancer sees only the flows that it placed itself. If all
/// of them took the last report for the present state, they would all send
/// their flows to the few targets that were idle when they reported, and these
/// would be overloaded while others become idle.
///
/// The estimate assumes that the other balancers place as many flows as this
/// one, and that the target has answered requests at its usual speed since its
/// report.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_CAPACITY_ESTIMATE_H
#define MARJORAMRAIL_FORWARD_CAPACITY_ESTIMATE_H

#include "marjoramrail/agent_messages.h"

#include <algorithm>
#include <optional>

namespace marjoramrail::internal {

/// What is known of a target, and how long ago it was reported.
struct capacity_observation {
  const load_report &Report;
  const capacity_report &Capacity;
  /// Age of the report.
  duration Age = duration::zero();
  /// Flows that this balancer has placed there since.
  std::uint32_t Placed = 0;
};

/// Estimated number of requests that run before a new one of the priority:
/// those that wait and are less urgent do not delay it.
inline double requestsAhead(const capacity_observation &Seen,
                            std::uint8_t Priority) {
  double Ahead = Seen.Report.Active;
  for (std::size_t I = reportedPriority(Priority) + 1;
       I < Seen.Capacity.Waiting.size(); ++I)
    Ahead -= Seen.Capacity.Waiting[I];
  Ahead += static_cast<double>(Seen.Placed) * Seen.Capacity.Balancers;
  const duration ServiceTime = Seen.Capacity.ServiceTime;
  if (ServiceTime > duration::zero())
    Ahead -= static_cast<double>(Seen.Age.count()) /
             static_cast<double>(ServiceTime.count()) * Seen.Report.Slots;
  return std::max(Ahead, 0.0);
}

/// Estimated time that a new request of the priority would wait for a slot;
/// nothing if it would wait and the service time is not known.
inline std::optional<duration> estimatedWait(const capacity_observation &Seen,
                                             std::uint8_t Priority) {
  const double Slots = std::max<std::uint16_t>(Seen.Report.Slots, 1);
  const double Excess = requestsAhead(Seen, Priority) + 1 - Slots;
  if (Excess <= 0)
    return duration::zero();
  if (Seen.Capacity.ServiceTime == duration::zero())
    return std::nullopt;
  return duration(static_cast<duration::rep>(
      Excess / Slots * static_cast<double>(Seen.Capacity.ServiceTime.count())));
}

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_CAPACITY_ESTIMATE_H
