#include "path/path_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;
using std::chrono::seconds;

/// Opens 300 flows and kills one host. The fleet needs four seconds to declare
/// it dead.
static world_outcome killOne(std::uint64_t Seed) {
  CAPTURE(Seed);
  world_settings Settings;
  Settings.Seed = Seed;
  path_world World(Settings);
  for (std::uint32_t I = 0; I < 300; ++I)
    World.openFlow(I);
  World.advanceTime(seconds(3));
  const std::size_t Owned = World.flowsOf(2);

  World.advanceTime(Seed * path_world::Step * 2);
  World.killHost(2, seconds(4));
  World.advanceTime(seconds(15));

  CHECK(Owned > 20);
  CHECK(World.outcome().BrokenByDeath == Owned);
  CHECK(World.establishedFlows() == 300 - Owned);
  return World.outcome();
}

TEST_CASE("an owner's death breaks only its own flows and resets them soon") {
  // A host's VM dies without notice, and the fleet needs seconds to declare it
  // dead. Without an early reset its callers' requests would hang until their
  // own timeouts. Other hosts' flows must not be affected.
  for (const std::uint64_t Seed : {1, 2, 3, 4, 5, 6}) {
    const world_outcome Outcome = killOne(Seed);
    CHECK(Outcome.BrokenPlanned == 0);
    CHECK(Outcome.Misrouted == 0);
    CHECK(Outcome.MaxResetDelay <= seconds(1));
  }
}

TEST_CASE("a host that pauses for a moment keeps its flows") {
  // A VM pauses while it is migrated. If it were suspected too early, two
  // thousand sessions that only had to wait would be reset.
  for (const std::uint64_t Seed : {1, 2, 3, 4}) {
    CAPTURE(Seed);
    world_settings Settings;
    Settings.Seed = Seed;
    Settings.LossPercent = 1;
    path_world World(Settings);
    for (std::uint32_t I = 0; I < 300; ++I)
      World.openFlow(I);
    World.advanceTime(seconds(3));

    for (int Time = 0; Time < 10; ++Time) {
      World.freezeHost(2, std::chrono::milliseconds(300));
      World.advanceTime(seconds(2));
    }

    CHECK(World.establishedFlows() == 300);
    CHECK(World.outcome().BrokenPlanned == 0);
  }
}
