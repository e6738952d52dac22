#include "marjoramrail/base.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using std::chrono::seconds;

TEST_CASE("timer_service fires a periodic timer once per period") {
  timer_service Timers;
  int Fired = 0;
  Timers.every(seconds(1), [&] { ++Fired; });

  Timers.advance(instant(seconds(5)));

  CHECK(Fired == 5);
}

TEST_CASE("a callback of timer_service can cancel its own timer") {
  timer_service Timers;
  int Fired = 0;
  timer_id Self{};
  Self = Timers.every(seconds(1), [&] {
    ++Fired;
    Timers.cancel(Self);
  });

  Timers.advance(instant(seconds(5)));

  CHECK(Fired == 1);
}

TEST_CASE("timer_service never moves its clock backwards") {
  timer_service Timers;
  Timers.advance(instant(seconds(5)));

  Timers.advance(instant(seconds(3)));

  CHECK(Timers.now() == instant(seconds(5)));
}

TEST_CASE("timers passed by observe() fire on the next advance()") {
  timer_service Timers;
  int Fired = 0;
  Timers.after(seconds(1), [&] { ++Fired; });

  Timers.observe(instant(seconds(2)));
  const int FiredByObserving = Fired;
  Timers.advance(instant(seconds(2)));

  CHECK(FiredByObserving == 0);
  CHECK(Fired == 1);
}
