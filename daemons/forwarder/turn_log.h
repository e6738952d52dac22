//===- turn_log.h - What a process's loop was held up by --------*- C++ -*-===//
///
/// \file
/// Distributions of the loop's turns by kind of work, and a line for each turn
/// that was long and each call that failed, was slow or brought much. Callers'
/// packets wait while a turn lasts; without this a balancer that is out of
/// processor time, or copies the same megabyte again and again, looks idle.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_TURN_LOG_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_TURN_LOG_H

#include "event_log.h"
#include "marjoramrail/platform.h"

namespace marjoramrail::daemons {

class turn_log {
public:
  turn_log(event_log &Log, metrics &Metrics);

  void take(const callback_timing &Turn);
  void take(const platform_call_end &End);

  /// Hooks for the parts that do the work; they refer to this object.
  callback_hook onTurn();
  std::function<void(const platform_call_end &)> onCallEnd();

private:
  event_log &Log;
  metrics &Metrics;
  /// The names of the distributions, by kind of work.
  std::array<std::string, CallbackKindNames.size()> TurnNames;
};

/// \p Settings of a client whose calls \p Log shows.
platform_client_settings watched(platform_client_settings Settings,
                                 turn_log &Log);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_TURN_LOG_H
