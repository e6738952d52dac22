//===- target_model.h - Slots and faults of a target stand-in ---*- C++ -*-===//
///
/// \file
/// A target host as the brief describes it: slots, a short queue, cold start,
/// shedding, cancellation, deadlines and a load report that lags or misleads.
/// Pure: time comes from a timer_service.
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

struct target_settings {
  std::uint32_t Slots = 4;
  /// Requests that wait for a slot; more are shed.
  std::uint32_t QueueLimit = 64;
  /// Work takes longer by SlowPercent for this long after the start.
  duration ColdStart = duration::zero();
  std::uint32_t ColdPercent = 300;
  /// How old the load is that the target reports.
  duration LoadLag = duration::zero();
  /// What it reports of its true load, in percent: 0 always looks idle.
  std::uint32_t LoadPercent = 100;
};

enum class work_outcome { Done, Shed, DeadlinePassed };

/// One request as the target sees it.
struct target_request {
  std::uint64_t Id = 0;
  duration Work = duration::zero();
  /// Zero: none.
  duration Deadline = duration::zero();
  std::function<void()> OnBegin;
  std::function<void(work_outcome)> OnEnd;
};

struct target_load {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
};

class target_model {
public:
  target_model(timer_service &Timers, const target_settings &Settings);

  /// Runs, queues or sheds \p Request; its hooks tell which.
  void submit(target_request Request);

  /// The caller gave up: frees the slot or the place in the queue. Returns
  /// whether the request had begun.
  bool cancel(std::uint64_t Id);

  /// What the load endpoint says.
  target_load report() const;
  target_load actual() const;

  /// Work takes \p Percent of its usual time from now on (1000 = 10x slower).
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
