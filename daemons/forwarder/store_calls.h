//===- store_calls.h - Calls to the store, by purpose -----------*- C++ -*-===//
///
/// \file
/// Counts a process's calls to the site's store by purpose. The whole site
/// shares the store's rate limits and pays for every call; the counts show
/// which part of the system makes the calls.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H

#include "event_log.h"
#include "marjoramrail/platform.h"

#include <map>

namespace marjoramrail::daemons {

/// The purpose of a call: its verb, kind and object name up to the first dot,
/// so that all objects `target.web-1`, `target.web-2` count together.
std::string purposeOf(const platform_call_end &End);

class store_calls {
public:
  /// Exports the counts to \p Metrics and logs them to \p Log after every
  /// Period in which there were calls.
  static constexpr duration Period = std::chrono::seconds(5);

  store_calls(event_loop &Loop, event_log &Log, metrics &Metrics);

  void take(const platform_call_end &End);
  /// Number of calls by purpose since the start.
  const std::map<std::string, std::uint64_t> &counts() const { return Counts; }
  /// The counts as text: "list config 1, watch config 12".
  std::string text() const;

private:
  void logCounts();

  event_log &Log;
  metrics &Metrics;
  std::map<std::string, std::uint64_t> Counts;
  bool IsLogged = true;
};

/// Returns \p Settings with a hook that counts the client's calls in \p Calls.
platform_client_settings withCallCounts(platform_client_settings Settings,
                                        store_calls &Calls);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H
