#include "path/path_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;
using std::chrono::seconds;

TEST_CASE("a burst of new flows spreads evenly before any report counts it") {
  // All callers reconnect within a second after an outage. Agents report their
  // load to each other once a second. If they relied on outdated counts, some
  // would pass on nearly all of the burst, while others would have twice their
  // share for hours and answer late.
  for (const std::uint64_t Seed : {1, 2, 3}) {
    CAPTURE(Seed);
    world_settings Settings;
    Settings.Seed = Seed;
    path_world World(Settings);

    for (std::uint32_t I = 0; I < 280; ++I) {
      World.openFlow(I);
      if (I % 4 == 3)
        World.advanceTime(path_world::Step);
    }
    World.advanceTime(seconds(3));

    CHECK(World.outcome().Opened == 280);
    CHECK(World.imbalance() <= 1.2);
  }
}
