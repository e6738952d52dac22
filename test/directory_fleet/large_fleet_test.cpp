#include "directory/large_fleet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(large_fleet, "the first start of a large site") {
  // All balancers start together and rank themselves among the first, since
  // nobody has heard of the others. Guards against hundreds of them watching
  // the store and copying complete lists from each other.
  startSite();

  CHECK(knowingAllTargets() == Count);
  CHECK(callsOf("list") <= static_cast<int>(2 * Count + 20));
  CHECK(callsOf("write balancer") == static_cast<int>(Count));
  CHECK(callsOf("watch") < static_cast<int>(Count));
  CHECK(callsOf("write routes") <= 3);
  CHECK(Copies < 20);
}

TEST_CASE_FIXTURE(large_fleet, "few messages cross the borders of zones") {
  // Four of five random peers are in another zone. Guards against sync messages
  // that cross borders once for each balancer.
  startSite();
  resetCounts();
  const double Current = currentShareFor(10s);

  CHECK(Current > 0.98);
  CHECK(Sync.BytesBetweenZones * 10 < Sync.Bytes);
  CHECK(callsOf("watch") < 10 * 6);
}

TEST_CASE_FIXTURE(large_fleet, "a restart of all balancers needs no lists") {
  // The lists of a large site have hundreds of kilobytes. Guards against a
  // restart in which each balancer waits for the store to send it all of them.
  startSite();
  stopAll();
  startAllWithin(600ms);
  pass(200ms);

  CHECK(knowingAllTargets() == Count);
  CHECK(inForce(1) == Count);
  CHECK(callsOf("list config") == 0);
  CHECK(callsOf("list marjoramrail") == 0);
  pass(1s);
  CHECK(currentShareFor(2s) > 0.98);
  CHECK(callsOf("watch") < 60);
  CHECK(Copies == 0);
}

TEST_CASE_FIXTURE(large_fleet, "changes after the snapshot reach all") {
  // The snapshot that balancers start from is older than the last changes.
  startSite();
  stopAll();
  Store.erase("marjoramrail", "target.number-7");
  addTarget("late");
  configure(2, {"archive"});
  startAllWithin(600ms);
  pass(2500ms);

  CHECK(inForce(2) == Count);
  for (auto &[Number, Balancer] : Balancers) {
    const auto Targets = Balancer.Directory->targets();
    CHECK(std::none_of(Targets.begin(), Targets.end(), [](const auto &Target) {
      return Target.Name == "target.number-7";
    }));
    CHECK(std::any_of(Targets.begin(), Targets.end(), [](const auto &Target) {
      return Target.Name == "target.late";
    }));
  }
}

TEST_CASE_FIXTURE(large_fleet, "few balancers record a new configuration") {
  // Guards against contacts that each write the record of services because they
  // have not heard yet that the first one did.
  startSite();
  resetCounts();
  for (std::uint64_t Version = 2; Version <= 6; ++Version) {
    configure(Version, {"service-" + std::to_string(Version)});
    pass(2s);
  }

  CHECK(inForce(6) == Count);
  CHECK(callsOf("write routes") <= 2 * 5);
}

TEST_CASE_FIXTURE(large_fleet, "an outage costs calls of the contacts only") {
  // Guards against balancers that each ask a store that answers nobody.
  startSite();
  Store.Down = true;
  pass(2s);
  resetCounts();
  pass(10s);
  // The first balancers of each zone call once a second at most, and the first
  // one of all five times.
  const int Candidates = Zones * 2 * 3;
  CHECK(callsOf("") < 10 * (Candidates + 5));

  Store.Down = false;
  addTarget("late");
  pass(2s);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == Targets + 1);
  CHECK(currentShareFor(2s) > 0.98);
}

TEST_CASE_FIXTURE(large_fleet, "the contacts of zones are replaced") {
  // Only contacts exchange messages with other zones. Guards against zones that
  // hear of no change because all their contacts fail with it.
  startSite();
  for (unsigned Zone = 0; Zone < Zones; ++Zone)
    for (const unsigned Number : {1U, 2U})
      Balancers.at(Zone * PerZone + Number).Cut = true;
  configure(2, {"archive"});
  addTarget("late");
  pass(3s);

  for (auto &[Number, Balancer] : Balancers) {
    if (Balancer.Cut)
      continue;
    CHECK(Balancer.Directory->routesVersion() == 2);
    CHECK(Balancer.Directory->targets().size() == Targets + 1);
  }
}

TEST_CASE_FIXTURE(large_fleet, "a zone that was cut off is found again") {
  // Both sides have given up on all contacts of each other.
  startSite();
  for (unsigned Number = 1; Number <= PerZone; ++Number) {
    Balancers.at(Number).Cut = true;
    Balancers.at(Number).Faults->Link.Cut = true;
  }
  pass(30s);
  for (unsigned Number = 1; Number <= PerZone; ++Number)
    Balancers.at(Number).Cut = false;
  addTarget("late");
  pass(10s);

  for (unsigned Number = 1; Number <= PerZone; ++Number)
    CHECK(at(Number).targets().size() == Targets + 1);
}
