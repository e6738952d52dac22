#include "forward/time_limits.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static service_level levelOf(std::uint8_t Priority, duration Limit) {
  return {.Priority = Priority, .TimeLimit = Limit};
}

TEST_CASE("the longest limit of each priority counts") {
  // A shorter one would refuse callers that can still be served.
  time_limits Limits;
  Limits.add(levelOf(1, 300ms));
  Limits.add(levelOf(1, 2s));
  Limits.add(levelOf(2, 700ms));
  CHECK(Limits.longest(0) == 0ms);
  CHECK(Limits.longest(1) == 2s);
  CHECK(Limits.longest(2) == 700ms);
}

TEST_CASE("a limit counts as long as any route states it") {
  time_limits Limits;
  Limits.add(levelOf(1, 2s));
  Limits.add(levelOf(1, 2s));
  Limits.add(levelOf(1, 300ms));
  Limits.remove(levelOf(1, 2s));
  CHECK(Limits.longest(1) == 2s);
  Limits.remove(levelOf(1, 2s));
  CHECK(Limits.longest(1) == 300ms);
  Limits.remove(levelOf(1, 300ms));
  CHECK(Limits.longest(1) == 0ms);
}

TEST_CASE("all less urgent priorities share the last limit") {
  time_limits Limits;
  Limits.add(levelOf(3, 300ms));
  Limits.add(levelOf(255, 2s));
  CHECK(Limits.longest(3) == 2s);
}

TEST_CASE("routes without a limit and unknown limits change nothing") {
  time_limits Limits;
  Limits.add(levelOf(0, 0ms));
  Limits.remove(levelOf(0, 5s));
  CHECK(Limits.longest(0) == 0ms);
}
