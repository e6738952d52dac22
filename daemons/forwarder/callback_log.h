//===- callback_log.h - Times of event-loop callbacks -----------*- C++ -*-===//
///
/// \file
/// Distributions of the loop's turns by kind of work, and a line for each turn
/// that was long and each call that failed, was slow or brought much. Callers'
/// packets wait while a turn lasts; without this a balancer that is out of
/// processor time, or copies the same megabyte again and again, looks idle.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_CALLBACK_LOG_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_CALLBACK_LOG_H

#include "event_log.h"
#include "marjoramrail/platform.h"

namespace marjoramrail::daemons {

class callback_log {
public:
  callback_log(event_log &Log, metrics &Metrics);

  void take(const turn_done &Turn);
  void take(const platform_call_end &End);

  /// Hooks for the parts that do the work; they refer to this object.
  turn_hook onTurn();
  std::function<void(const platform_call_end &)> onCallEnd();

private:
  event_log &Log;
  metrics &Metrics;
  /// The names of the distributions, by kind of work.
  std::array<std::string, TurnKindNames.size()> HistogramNames;
};

/// \p Settings of a client whose calls \p Log shows.
platform_client_settings watched(platform_client_settings Settings,
                                 callback_log &Log);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_CALLBACK_LOG_H
