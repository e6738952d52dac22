//===- routes_log.h - Times of configurations -------------------*- C++ -*-===//
///
/// \file
/// Logs each configuration when it becomes known and when it comes into effect,
/// and records how long each step took, so that a late configuration can be
/// traced to the step that delayed it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_ROUTES_LOG_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_ROUTES_LOG_H

#include "event_log.h"
#include "marjoramrail/directory.h"

namespace marjoramrail::daemons {

class routes_log {
public:
  routes_log(event_log &Log, metrics &Metrics) : Log(Log), Metrics(Metrics) {}

  /// \p What: event_kind::RoutesKnown or event_kind::RoutesActivated. The
  /// line's age counts from the first balancer that knew the configuration, its
  /// duration from the arrival or from when the configuration was known here.
  void take(event_kind What, const routes_progress &Progress);

private:
  void observe(const routes_progress &Progress);

  event_log &Log;
  metrics &Metrics;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_ROUTES_LOG_H
