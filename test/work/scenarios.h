//===- scenarios.h - Load and fault scenarios -------------------*- C++ -*-===//
///
/// \file
/// One function per scenario, used by the tests and by the bench.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_WORK_SCENARIOS_H
#define MARJORAMRAIL_TEST_WORK_SCENARIOS_H

#include "work/load_model.h"

namespace load_model {

/// Ten times the load for two seconds.
inline scenario burst() {
  scenario S;
  S.BurstFrom = 20;
  S.BurstTo = 22;
  S.BurstFactor = 10;
  S.Load = 0.5;
  S.Seconds = 70;
  return S;
}

/// Three callers send 70% of a load that exceeds the capacity.
inline scenario skewedCallers() {
  scenario S;
  S.HeavyCallers = 3;
  S.HeavyShare = 0.7;
  S.Load = 1.5;
  return S;
}

/// One of seven targets takes ten times as long.
inline scenario slowTarget() {
  scenario S;
  S.Faults = {{.Host = 2, .From = 15, .To = 60, .SlowdownFactor = 10}};
  S.Load = 0.6;
  return S;
}

/// One request in twenty takes fifty times as long.
inline scenario longAmongShort() {
  scenario S;
  S.LongShare = 0.05;
  S.Load = 0.6;
  return S;
}

/// Twice the capacity for a minute.
inline scenario saturation() {
  scenario S;
  S.Load = 2;
  S.Seconds = 72;
  return S;
}

/// No target answers for five seconds, and callers retry at once.
inline scenario retryStorm() {
  scenario S;
  S.Load = 0.8;
  S.Caller = caller_policy::RetriesAtOnce;
  S.Attempts = 10;
  for (std::size_t Host = 0; Host < S.Hosts; ++Host)
    S.Faults.push_back(
        {.Host = Host, .From = 15, .To = 20, .SlowdownFactor = 0});
  return S;
}

/// Flows are bound to hosts in proportions of one to four, so the requests in
/// them have to be relayed.
inline scenario unevenFlows() {
  scenario S;
  S.Skew = 0.5;
  S.Load = 0.65;
  return S;
}

/// The same with the two slots of the dispatch service and 5 ms between zones.
inline scenario unevenDispatch() {
  scenario S = unevenFlows();
  S.DeclaredSlots = S.TrueSlots = 2;
  S.RelaySeconds = 0.005;
  return S;
}

/// Eight slots are declared, but with more than four each answer takes longer.
inline scenario declaredTooHigh() {
  scenario S;
  S.DeclaredSlots = 8;
  S.Load = 1.2;
  return S;
}

/// Two slots are declared for a target that can run four.
inline scenario declaredTooLow() {
  scenario S;
  S.DeclaredSlots = 2;
  S.Load = 0.8;
  return S;
}

/// All hosts of the ledger service are replaced one after the other, with 2,000
/// connections each.
inline scenario rollingReplacement() {
  scenario S;
  S.Callers = 14000;
  S.ColdSlowdownFactor = 3;
  S.Load = 0.5;
  S.Seconds = 100;
  for (std::size_t Host = 0; Host < S.Hosts; ++Host) {
    const double DrainAt = 15 + 12 * double(Host);
    S.Replacements.push_back({.Host = Host,
                              .DrainAt = DrainAt,
                              .StopAt = DrainAt + 5,
                              .BackAt = DrainAt + 6});
  }
  return S;
}

/// A target becomes slow while another is replaced and a third does not
/// respond.
inline scenario twoFaults() {
  scenario S;
  S.Load = 0.5;
  S.Faults = {{.Host = 2, .From = 15, .To = 50, .SlowdownFactor = 10},
              {.Host = 4, .From = 20, .To = 25, .SlowdownFactor = 0}};
  S.Replacements = {{.Host = 5, .DrainAt = 18, .StopAt = 23, .BackAt = 24}};
  return S;
}

} // namespace load_model

#endif // MARJORAMRAIL_TEST_WORK_SCENARIOS_H
