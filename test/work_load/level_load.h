//===- level_load.h - Simulated load with service levels --------*- C++ -*-===//
///
/// \file
/// A small discrete-event model of one target and its agent. Requests of
/// several classes, each with a priority, an aim and a time limit, arrive by a
/// Poisson process. The target has a number of slots and queues what it gets
/// beyond them. The agent decides by `admission` or by a simple order for
/// comparison. Callers that give up cancel only requests that wait at the
/// agent, since the target finishes what it has been sent.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_WORK_LOAD_LEVEL_LOAD_H
#define MARJORAMRAIL_TEST_WORK_LOAD_LEVEL_LOAD_H

#include "marjoramrail/work.h"

#include <string>

namespace level_load {

using namespace marjoramrail;

enum class agent_order {
  /// `admission`.
  Adaptive,
  /// Strict by priority, the oldest or the newest request first.
  OldestFirst,
  NewestFirst,
  /// One common queue, oldest first.
  FirstCome,
  /// The newest first; the most urgent class gets WeightOfFirst slots for each
  /// slot of the others while both wait.
  Weighted,
};

struct call_class {
  std::string Name;
  std::uint8_t Priority = 0;
  /// Demand over the capacity of the true slots.
  double Load = 0.5;
  double AimSeconds = 0.1;
  double LimitSeconds = 1;
  /// Share of callers that still wait after their time limit.
  double PatientShare = 0;
};

struct scenario {
  std::vector<call_class> Classes;
  std::uint32_t TrueSlots = 4;
  std::uint32_t DeclaredSlots = 4;
  /// Mean of the exponentially distributed service times.
  double ServiceSeconds = 0.02;
  /// Share of requests that take TailFactor times as long.
  double TailShare = 0;
  double TailFactor = 7;
  /// Share of requests that the target never answers. They take no slot of the
  /// target.
  double UnansweredShare = 0;
  std::size_t Callers = 100;
  /// The first HeavyCallers callers send the share HeavyShare of the requests.
  std::size_t HeavyCallers = 0;
  double HeavyShare = 0;
  double Seconds = 40;
  /// Requests before this time are not counted.
  double WarmSeconds = 10;
  agent_order Order = agent_order::Adaptive;
  double WeightOfFirst = 7;
  admission_settings Admission;
  std::uint64_t Seed = 1;
};

/// The settings of the agent for targets that terminate their flows.
admission_settings agentSettings();

struct class_outcome {
  std::uint64_t Offered = 0;
  /// Answered by its aim, and while the caller still waited.
  std::uint64_t InAim = 0;
  std::uint64_t Answered = 0;
  std::uint64_t LightOffered = 0;
  std::uint64_t LightInAim = 0;
  /// Requests that ran although their deadline had passed.
  std::uint64_t RunAfterDeadline = 0;
  /// Requests that had neither run nor been cancelled 50 ms after their time
  /// limit.
  std::uint64_t HeldTooLong = 0;
  /// Wait at the agent of the requests that ran.
  double WaitP50Ms = 0;
  double WaitP99Ms = 0;

  double inAim() const { return double(InAim) / double(Offered); }
  double lightInAim() const {
    return double(LightInAim) / double(LightOffered);
  }
};

struct outcome {
  std::vector<class_outcome> Classes;
  /// Answers within the aim over the number that the slots can give.
  double InAimOfCapacity = 0;
  double LastLimit = 0;
};

outcome simulate(const scenario &Scenario);

} // namespace level_load

#endif // MARJORAMRAIL_TEST_WORK_LOAD_LEVEL_LOAD_H
