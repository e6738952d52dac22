//===- store_calls.h - Calls to the store, by purpose -----------*- C++ -*-===//
///
/// \file
/// Counts what a process asks the site's store for. The store's rates are
/// shared by the whole site and every call is paid for; without the purpose
/// nobody can tell which part of the system spends them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H

#include "event_log.h"
#include "marjoramrail/platform.h"

#include <map>

namespace marjoramrail::daemons {

/// The purpose of a call: its verb and what it is about. Objects that differ
/// only in what follows the first dot of their name (`target.web-1`) count as
/// one.
std::string purposeOf(const platform_call_end &End);

class store_calls {
public:
  /// Shows the counts on \p Metrics, and in a line of \p Log every Period in
  /// which there were calls.
  static constexpr duration Period = std::chrono::seconds(5);

  store_calls(event_loop &Loop, event_log &Log, metrics &Metrics);

  void take(const platform_call_end &End);
  /// Calls by purpose since the start.
  const std::map<std::string, std::uint64_t> &counts() const { return Counts; }
  /// "list config 1, watch config 12".
  std::string text() const;

private:
  void logCounts();

  event_log &Log;
  metrics &Metrics;
  std::map<std::string, std::uint64_t> Counts;
  bool IsLogged = true;
};

/// \p Settings of a client whose calls \p Calls counts.
platform_client_settings counted(platform_client_settings Settings,
                                 store_calls &Calls);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_STORE_CALLS_H
