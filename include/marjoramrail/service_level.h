//===- service_level.h - How urgent a route's requests are ------*- C++ -*-===//
///
/// \file
/// What the operators' configuration says of the requests of one route: how
/// urgent they are, how soon callers want the answer and how long they wait for
/// it. Decisions under load use it to choose which request runs first and which
/// new flow is refused.
///
/// Usage:
/// \code
///   service_level Level{.Priority = 1, .LatencyAim = 300ms};
///   if (Level.Priority < Other.Priority)
///     runFirst(Request);
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SERVICE_LEVEL_H
#define MARJORAMRAIL_SERVICE_LEVEL_H

#include "marjoramrail/base.h"

#include <cstdint>

namespace marjoramrail {

struct service_level {
  /// 0 is the most urgent.
  std::uint8_t Priority = 0;
  /// A request that may have run can be sent again. Carried for callers' tools;
  /// no decision depends on it.
  bool Repeatable = false;
  /// The time within which callers want the answer; zero if none is stated.
  duration LatencyAim = duration::zero();
  /// Callers give up a request after this time; zero if none is stated.
  duration TimeLimit = duration::zero();

  bool operator==(const service_level &) const = default;
};

/// The service level of a route as one version of the configuration states it.
struct stated_level {
  service_level Level;
  /// The number of flows that one target of the service can hold; 0 if no limit
  /// is stated.
  std::uint32_t MaxFlows = 0;
  /// The version of the configuration. A process that has seen a newer one
  /// ignores this statement.
  std::uint64_t Version = 0;

  bool operator==(const stated_level &) const = default;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_SERVICE_LEVEL_H
