//===- due_timer.h - A timer for the earliest moment ------------*- C++ -*-===//
///
/// \file
/// Calls a function when the next of several things is due. Each call returns
/// when the next one is, and what happens in between may bring it forward.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_DUE_TIMER_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_DUE_TIMER_H

#include "marjoramrail/base.h"

#include <functional>
#include <optional>

namespace marjoramrail::daemons {

class due_timer {
public:
  /// \p OnDue returns when it has to be called next, if at all.
  due_timer(timer_service &Timers,
            std::function<std::optional<instant>(instant Now)> OnDue)
      : Timers(Timers), OnDue(std::move(OnDue)) {}
  ~due_timer() { cancel(); }
  due_timer(const due_timer &) = delete;
  due_timer &operator=(const due_timer &) = delete;

  /// Calls the function at \p Due, if it is not called earlier anyway.
  void arm(std::optional<instant> Due) {
    if (!Due || (DueAt && *DueAt <= *Due))
      return;
    cancel();
    DueAt = Due;
    Timer = Timers.after(*Due - Timers.now(), [this] {
      DueAt.reset();
      arm(OnDue(Timers.now()));
    });
  }

private:
  void cancel() {
    if (DueAt)
      Timers.cancel(Timer);
    DueAt.reset();
  }

  timer_service &Timers;
  std::function<std::optional<instant>(instant Now)> OnDue;
  std::optional<instant> DueAt;
  timer_id Timer{};
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_DUE_TIMER_H
