//===- target_model.h - Simulated capacity of a target ----------*- C++ -*-===//
///
/// \file
/// Simulates a target host: slots, a short queue, cold start, load shedding,
/// cancellation, deadlines, and a load report that can be late or wrong. Does
/// no I/O; time comes from a timer_service.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_TARGET_MODEL_H
#define MARJORAMRAIL_STANDINS_TARGET_MODEL_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace marjoramrail::standins {

/// Capacity and faults of the simulated target.
struct target_settings {
  std::uint32_t Slots = 4;
  /// Maximum number of requests that wait for a slot; further ones are shed.
  std::uint32_t QueueLimit = 64;
  /// For this long after the start, work takes ColdPercent of its usual time.
  duration ColdStart = duration::zero();
  std::uint32_t ColdPercent = 300;
  /// Age of the load that the target reports.
  duration LoadLag = duration::zero();
  /// Reported load in percent of the actual load; 0 always looks idle.
  std::uint32_t LoadPercent = 100;
};

/// How a request ended on the target.
enum class work_outcome { Done, Shed, DeadlinePassed };

/// One request as the target sees it.
struct target_request {
  std::uint64_t Id = 0;
  duration Work = duration::zero();
  /// Zero means no deadline.
  duration Deadline = duration::zero();
  std::function<void()> OnBegin;
  std::function<void(work_outcome)> OnEnd;
};

/// Slots in use and requests in the queue.
struct target_load {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
};

/// Runs requests in slots and queues or sheds the rest.
class target_model {
public:
  target_model(timer_service &Timers, const target_settings &Settings);

  /// Runs, queues or sheds \p Request; its hooks report which.
  void submit(target_request Request);

  /// Cancels a request and frees its slot or its place in the queue. Returns
  /// whether the request had begun.
  bool cancel(std::uint64_t Id);

  /// The load that the load endpoint reports, see LoadLag and LoadPercent.
  target_load report() const;
  target_load actual() const;

  /// Makes work take \p Percent of its usual time (1000 = 10 times slower).
  void setSlow(std::uint32_t Percent) { SlowPercent = Percent; }

private:
  struct running {
    timer_id Timer;
    std::function<void(work_outcome)> OnEnd;
  };
  struct waiting {
    target_request Request;
    instant Arrived;
  };

  void begin(target_request Request);
  void beginNext();
  duration workOf(const target_request &Request) const;
  void sample();

  timer_service &Timers;
  target_settings Settings;
  instant Started;
  std::uint32_t SlowPercent = 100;
  std::map<std::uint64_t, running> Running;
  std::deque<waiting> Waiting;
  std::deque<std::pair<instant, target_load>> History;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_TARGET_MODEL_H
