//===- load_model.h - Callers and targets around admission ------*- C++ -*-===//
///
/// \file
/// A small discrete model of one service: targets with slots and service times,
/// callers fixed to hosts by their flows, agents that decide by `admission` and
/// `relay_choice`, or naively: first in, first out, a queue bounded by length
/// only, no relay, one fixed retry-after. It tells what callers get.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_WORK_LOAD_MODEL_H
#define MARJORAMRAIL_TEST_WORK_LOAD_MODEL_H

#include "marjoramrail/work.h"

#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace load_model {

using namespace marjoramrail;

enum class agent_policy { Ours, Naive };
enum class caller_policy {
  /// Comes back at retry-after, at most Attempts times.
  HonorsRetryAfter,
  /// Asks again at once when refused or out of patience.
  RetriesAtOnce,
};

/// What happens to one host for a while.
struct host_fault {
  std::size_t Host = 0;
  double From = 0;
  double To = 0;
  /// Service times are this many times longer; 0: gives no answer at all.
  double Slowness = 1;
};

/// A planned replacement: drained, its flows opened again elsewhere by and by,
/// stopped, and back with a cold target.
struct replacement {
  std::size_t Host = 0;
  double DrainAt = 0;
  double StopAt = 0;
  double BackAt = 0;
};

struct scenario {
  std::size_t Hosts = 7;
  std::uint32_t DeclaredSlots = 4;
  std::uint32_t TrueSlots = 4;
  double ServiceSeconds = 0.02;
  double LongShare = 0;
  double LongFactor = 50;
  /// Offered load over capacity.
  double Load = 0.7;
  double BurstFrom = 0;
  double BurstTo = 0;
  double BurstFactor = 1;
  double Seconds = 60;
  /// Before this nothing is counted.
  double WarmSeconds = 12;
  std::size_t Callers = 700;
  /// The first HeavyCallers bring HeavyShare of the requests.
  std::size_t HeavyCallers = 0;
  double HeavyShare = 0;
  /// Host h has flows in proportion to 1 + Skew * h.
  double Skew = 0;
  double TimeoutSeconds = 1;
  int Attempts = 4;
  /// One way, between agents.
  double RelaySeconds = 0.003;
  double ReportSeconds = 0.25;
  /// A target that has just started takes this many times longer at first,
  /// less and less over ten seconds.
  double ColdSlowness = 1;
  caller_policy Caller = caller_policy::HonorsRetryAfter;
  agent_policy Agent = agent_policy::Ours;
  std::vector<host_fault> Faults;
  std::vector<replacement> Replacements;
  admission_settings Admission;
  relay_settings Relay;
  bool RelayOn = true;
  std::uint64_t Seed = 1;
};

struct outcome {
  std::uint64_t Offered = 0;
  /// Answered while the caller still waited.
  std::uint64_t Answered = 0;
  /// Of Answered, those that were at the first attempt.
  std::uint64_t AnsweredFirst = 0;
  std::uint64_t Refusals = 0;
  /// Attempts that ended without an answer or a refusal.
  std::uint64_t GivenUp = 0;
  /// Requests in progress cut off by a planned stop.
  std::uint64_t CutOff = 0;
  /// Refused later than the answer would have taken in a free slot.
  std::uint64_t LateRefusals = 0;
  /// Came back when told to, and were then not refused.
  std::uint64_t Returned = 0;
  std::uint64_t ReturnedRefused = 0;
  std::uint64_t Relayed = 0;
  /// Answers in time per second over what the slots can do.
  double Goodput = 0;
  double P50Ms = 0;
  double P99Ms = 0;
  double ShortP99Ms = 0;
  double LightP99Ms = 0;
  /// Answered shares of all requests of light callers.
  double LightAnswered = 0;
  double Imbalance = 0;
  /// Mean over the hosts, at the end.
  double LastLimit = 0;
};

outcome simulate(const scenario &Scenario);

} // namespace load_model

#endif // MARJORAMRAIL_TEST_WORK_LOAD_MODEL_H
