//===- time_limits.h - Longest time limit of each priority ------*- C++ -*-===//
///
/// \file
/// The longest time limit that the routes of a service state for each priority.
/// It is kept up to date route by route, because a pass over tens of thousands
/// of routes would delay packets.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_TIME_LIMITS_H
#define MARJORAMRAIL_FORWARD_TIME_LIMITS_H

#include "marjoramrail/agent_messages.h"
#include "marjoramrail/service_level.h"

#include <array>
#include <map>

namespace marjoramrail::internal {

class time_limits {
public:
  void add(const service_level &Level) {
    if (Level.TimeLimit > duration::zero())
      ++countsOf(Level)[Level.TimeLimit];
  }

  /// Undoes add().
  void remove(const service_level &Level) {
    const auto Found = countsOf(Level).find(Level.TimeLimit);
    if (Found != countsOf(Level).end() && --Found->second == 0)
      countsOf(Level).erase(Found);
  }

  /// The longest limit of a reported priority; zero if no route states one.
  duration longest(std::size_t ReportedPriority) const {
    const auto &Limits = Counts[ReportedPriority];
    return Limits.empty() ? duration::zero() : Limits.rbegin()->first;
  }

private:
  using limit_counts = std::map<duration, std::uint32_t>;

  limit_counts &countsOf(const service_level &Level) {
    return Counts[reportedPriority(Level.Priority)];
  }

  /// How many routes state each limit.
  std::array<limit_counts, ReportedPriorities> Counts;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_TIME_LIMITS_H
