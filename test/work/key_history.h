//===- key_history.h - Random histories of keyed requests -------*- C++ -*-===//
///
/// \file
/// Simulates agents with key replicas and claims over a network that loses,
/// duplicates and delays messages, with crashes, pauses, changing generations
/// and views that arrive at different times. A simple checker observes every
/// run and counts violations of at-most-once execution.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_WORK_KEY_HISTORY_H
#define MARJORAMRAIL_TEST_WORK_KEY_HISTORY_H

#include "marjoramrail/work.h"

#include <map>

namespace key_history {

using namespace marjoramrail;

struct faults {
  double Loss = 0;
  double Duplicate = 0;
  /// Share of messages that take up to two seconds.
  double Late = 0;
  /// Per second, over all hosts.
  double Crashes = 0;
  double Pauses = 0;
  double Generations = 0;
};

struct history {
  std::uint64_t Seed = 1;
  std::size_t Hosts = 5;
  /// Number of hosts, among Hosts, that never ran before and join together
  /// after a quarter of the history.
  std::size_t NewHosts = 0;
  std::size_t Keys = 300;
  double Seconds = 30;
  double ClaimsPerSecond = 60;
  faults Faults;
  duration Lifetime = std::chrono::minutes(2);
};

struct history_result {
  std::uint64_t ClaimsStarted = 0;
  std::uint64_t Ran = 0;
  /// Ran again within one lifetime of its first run.
  std::uint64_t RanTwice = 0;
  /// A stored answer that differs from that of the run.
  std::uint64_t WrongAnswer = 0;
  /// Claims without a verdict although their agent kept running.
  std::uint64_t NoVerdict = 0;
  /// Replicas that still lack records at the end.
  std::uint64_t Unsettled = 0;
  std::map<key_verdict, std::uint64_t> Verdicts;
};

history_result simulate(const history &History);

} // namespace key_history

#endif // MARJORAMRAIL_TEST_WORK_KEY_HISTORY_H
