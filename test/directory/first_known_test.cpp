#include "directory/first_known.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static constexpr instant Start{10s};

TEST_CASE("the earliest report of a change counts") {
  first_known Changes;
  Changes.note(8, Start);
  Changes.note(8, Start - 200ms);
  Changes.note(8, Start + 50ms);

  CHECK(Changes.since(8, Start + 1s) == Start - 200ms);
}

TEST_CASE("who knew a newer change knew the older one") {
  first_known Changes;
  Changes.note(9, Start + 400ms);
  CHECK(Changes.since(8, Start + 1s) == Start + 400ms);

  Changes.note(8, Start);
  CHECK(Changes.since(8, Start + 1s) == Start);
  CHECK(Changes.since(9, Start + 1s) == Start + 400ms);
}

TEST_CASE("a change that nobody has reported is known from now on") {
  // A change that looked older than it is would come into effect before all
  // balancers know it, and they would reset its flows.
  first_known Changes;
  Changes.note(8, Start);

  CHECK(Changes.since(9, Start + 1s) == Start + 1s);
  CHECK(Changes.since(8, Start - 1s) == Start - 1s);
}
