#include "directory/routes_lag.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

using change = routes_lag::change;

TEST_CASE("a configuration that is confirmed in time is current") {
  routes_lag Lag;
  for (const instant Now : {instant(1s), instant(3s), instant(9s)})
    CHECK(Lag.update({routes_step::Confirm, Now - 1s}, Now) == change::None);
  CHECK_FALSE(Lag.lateFor());
}

TEST_CASE("a configuration that nobody confirms is reported once") {
  // Guards against a silent watch that looks like a time without changes.
  routes_lag Lag;
  const routes_position Position{routes_step::Confirm, instant(1s)};
  CHECK(Lag.update(Position, instant(3s)) == change::None);
  CHECK(Lag.update(Position, instant(4s)) == change::Late);
  CHECK(Lag.update(Position, instant(5s)) == change::None);
  CHECK(Lag.lateFor() == 4s);
}

TEST_CASE("the end of a delay is reported with its length") {
  routes_lag Lag;
  const routes_position Position{routes_step::Copy, instant(1s)};
  Lag.update(Position, instant(4s));
  Lag.update(Position, instant(6s));

  CHECK(Lag.update({routes_step::Settle, instant(6s)}, instant(7s)) ==
        change::Current);
  CHECK(Lag.longest() == 5s);
  CHECK_FALSE(Lag.lateFor());
}

TEST_CASE("each delay has a length of its own") {
  routes_lag Lag;
  Lag.update({routes_step::Copy, instant(0s)}, instant(9s));
  Lag.update({routes_step::Confirm, instant(9s)}, instant(10s));
  Lag.update({routes_step::Confirm, instant(9s)}, instant(12s));

  CHECK(Lag.longest() == 3s);
}
