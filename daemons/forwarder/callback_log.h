//===- callback_log.h - Times of event-loop callbacks -----------*- C++ -*-===//
///
/// \file
/// Records the duration of event-loop callbacks by kind of work, and logs each
/// long callback and each store call that failed, was slow or returned a large
/// answer. Callers' packets wait while a callback runs. Without these records,
/// a balancer that is short of processor time, or downloads the same megabyte
/// repeatedly, looks idle.
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

  void take(const callback_timing &Timing);
  void take(const platform_call_end &End);

  /// Hooks for the parts that report callbacks and calls. They refer to this
  /// object, which must outlive them.
  callback_hook onCallback();
  std::function<void(const platform_call_end &)> onCallEnd();

private:
  event_log &Log;
  metrics &Metrics;
  /// Metric names, indexed by kind of work.
  std::array<std::string, CallbackKindNames.size()> HistogramNames;
};

/// Returns \p Settings with hooks that report the client's calls and callbacks
/// to \p Log.
platform_client_settings withCallbackLog(platform_client_settings Settings,
                                         callback_log &Log);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_CALLBACK_LOG_H
