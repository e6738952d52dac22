//===- load_model.h - Simulated callers and targets -------------*- C++ -*-===//
///
/// \file
/// A small discrete-event model of one service: targets with slots and service
/// times, callers bound to hosts by their flows, and agents that decide by
/// `admission` and `relay_choice` or by a naive policy (first in, first out, a
/// queue bounded by length only, no relay, one fixed retry-after). It measures
/// what callers get.
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
  /// Returns at retry-after, at most Attempts times.
  HonorsRetryAfter,
  /// Retries at once after a refusal or a timeout.
  RetriesAtOnce,
};

/// A temporary fault of one host.
struct host_fault {
  std::size_t Host = 0;
  double From = 0;
  double To = 0;
  /// Factor by which service times are longer; 0 means that the host gives no
  /// answer.
  double SlowdownFactor = 1;
};

/// A planned replacement of a host: it drains while its flows are gradually
/// reopened elsewhere, stops, and returns with a cold target.
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
  /// Requests before this time are not counted.
  double WarmSeconds = 12;
  std::size_t Callers = 700;
  /// The first HeavyCallers callers send the share HeavyShare of the requests.
  std::size_t HeavyCallers = 0;
  double HeavyShare = 0;
  /// Host h has a number of flows proportional to 1 + Skew * h.
  double Skew = 0;
  double TimeoutSeconds = 1;
  int Attempts = 4;
  /// One-way time between agents.
  double RelaySeconds = 0.003;
  double ReportSeconds = 0.25;
  /// Factor by which a newly started target takes longer at first; it falls to
  /// 1 over ten seconds.
  double ColdSlowdownFactor = 1;
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
  /// Those of Answered that were answered at the first attempt.
  std::uint64_t AnsweredFirst = 0;
  std::uint64_t Refusals = 0;
  /// Attempts that ended without an answer or a refusal.
  std::uint64_t GivenUp = 0;
  /// Requests in progress that a planned stop cut off.
  std::uint64_t CutOff = 0;
  /// Refused after a longer time than an answer from a free slot would have
  /// taken.
  std::uint64_t LateRefusals = 0;
  /// Attempts made after the retry-after of a refusal, and the number of these
  /// that were refused again.
  std::uint64_t Returned = 0;
  std::uint64_t ReturnedRefused = 0;
  std::uint64_t Relayed = 0;
  /// Answers in time per second over the capacity of the slots.
  double Goodput = 0;
  double P50Ms = 0;
  double P99Ms = 0;
  double ShortP99Ms = 0;
  double LightP99Ms = 0;
  /// Share of light callers' requests that were answered.
  double LightAnswered = 0;
  double Imbalance = 0;
  /// Mean over the hosts at the end.
  double LastLimit = 0;
};

outcome simulate(const scenario &Scenario);

} // namespace load_model

#endif // MARJORAMRAIL_TEST_WORK_LOAD_MODEL_H
