#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct running_site : directory_cluster {
  void startAll(unsigned Count) {
    configure(1, {"ledger"});
    for (unsigned Number = 1; Number <= Count; ++Number)
      start(Number, {addressOf(1), addressOf(2)});
    pass(10s);
  }
};

} // namespace

TEST_CASE_FIXTURE(running_site,
                  "an evacuation is known to all balancers within a second") {
  for (const unsigned Count : {8U, 90U}) {
    running_site Site;
    Site.startAll(Count);
    Site.evacuate("brugge");
    Site.pass(1s);
    CHECK(Site.evacuatedOn("brugge") == Count);

    Site.endEvacuation("brugge");
    Site.pass(1s);
    CHECK(Site.evacuatedOn("brugge") == 0);
  }
}

TEST_CASE_FIXTURE(running_site, "evacuations cost calls of two watchers only") {
  startAll(90);
  std::uint64_t Watches = 0;
  for (auto &[Number, Balancer] : Balancers)
    Watches -= Balancer.Faults->Watches;
  pass(20s);
  for (auto &[Number, Balancer] : Balancers)
    Watches += Balancer.Faults->Watches;

  // As without evacuations, 12 a second, and two watchers with one every five
  // seconds.
  CHECK(Watches < 20 * 12 + 2 * 5);
}

TEST_CASE_FIXTURE(running_site,
                  "an evacuation that ends and begins again is in effect") {
  startAll(8);
  evacuate("brugge");
  pass(100ms);
  endEvacuation("brugge");
  pass(60ms);
  evacuate("brugge");
  pass(1s);

  CHECK(evacuatedOn("brugge") == 8);
}

TEST_CASE_FIXTURE(running_site, "two zones can be evacuated at once") {
  startAll(8);
  evacuate("brugge");
  evacuate("oostende");
  pass(1s);
  CHECK(evacuatedOn("brugge") == 8);
  CHECK(evacuatedOn("oostende") == 8);

  endEvacuation("brugge");
  pass(1s);
  CHECK(evacuatedOn("brugge") == 0);
  CHECK(evacuatedOn("oostende") == 8);
}

TEST_CASE_FIXTURE(running_site, "the content of an evacuation is not read") {
  // Another writer may have created the entry; its name says what to do.
  startAll(3);
  Store.put("evacuations", "brugge", "[not json");
  Store.put("evacuations", "nowhere", "17");
  pass(1s);

  CHECK(evacuatedOn("brugge") == 3);
}

TEST_CASE_FIXTURE(running_site,
                  "a balancer that starts learns evacuations from its peers") {
  startAll(8);
  evacuate("brugge");
  pass(1s);
  start(9, {addressOf(1), addressOf(2)});
  pass(500ms);

  CHECK(at(9).evacuatedZones().contains("brugge"));
}

TEST_CASE_FIXTURE(running_site,
                  "evacuations are known again after a restart of all") {
  // All processes were killed, so that no peer knows any table.
  startAll(8);
  evacuate("brugge");
  pass(1s);
  for (unsigned Number = 1; Number <= 8; ++Number)
    stop(Number);
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1), addressOf(2)});
  pass(1s);

  CHECK(evacuatedOn("brugge") == 8);
}

TEST_CASE_FIXTURE(running_site,
                  "an evacuation that ended during a restart stays ended") {
  startAll(8);
  evacuate("brugge");
  pass(1s);
  for (unsigned Number = 1; Number <= 8; ++Number)
    stop(Number);
  endEvacuation("brugge");
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1), addressOf(2)});
  pass(3s);

  CHECK(evacuatedOn("brugge") == 0);
}

TEST_CASE_FIXTURE(
    running_site,
    "a balancer that was cut off does not bring back what ended") {
  // It still has the old table, and sends it with its first messages.
  startAll(8);
  evacuate("brugge");
  pass(1s);
  Balancers.at(5).Cut = true;
  Balancers.at(5).Faults->Link.Cut = true;
  pass(1s);
  endEvacuation("brugge");
  pass(1s);
  const int Changes = EvacuationChanges[1];
  Balancers.at(5).Cut = false;
  pass(2s);

  CHECK(evacuatedOn("brugge") == 0);
  CHECK(EvacuationChanges[1] == Changes);
}

TEST_CASE_FIXTURE(running_site,
                  "evacuations go on if the store refuses their watchers") {
  startAll(8);
  for (unsigned Number = 1; Number <= 3; ++Number)
    Balancers.at(Number).Faults->Link.Cut = true;
  pass(4s);
  evacuate("brugge");
  pass(1s);

  CHECK(evacuatedOn("brugge") == 8);
}

TEST_CASE_FIXTURE(
    running_site,
    "an evacuation is known although the store lost its history") {
  // The watch is answered with an error in place of the change.
  startAll(8);
  for (unsigned Number = 1; Number <= 8; ++Number)
    Balancers.at(Number).Faults->HistoryGone = true;
  evacuate("brugge");
  pass(1s);

  CHECK(evacuatedOn("brugge") == 8);
}

TEST_CASE_FIXTURE(running_site,
                  "an evacuation written during an outage is known after it") {
  startAll(8);
  Store.Down = true;
  pass(6s);
  evacuate("brugge");
  Store.Down = false;
  pass(2s);

  CHECK(evacuatedOn("brugge") == 8);
}

TEST_CASE("evacuations and targets are known after an outage that lasts longer "
          "for the first balancers") {
  // The store answers again, but not the balancers that watch it for all.
  // Guards against others that leave the call to them.
  for (const unsigned Count : {5U, 35U}) {
    running_site Site;
    Site.startAll(Count);
    Site.Store.Down = true;
    Site.pass(6s);
    for (unsigned Number = 1; Number <= 3; ++Number)
      Site.Balancers.at(Number).Faults->Link.Cut = true;
    Site.Store.Down = false;
    Site.evacuate("brugge");
    Site.addTarget("late");
    Site.pass(3s);

    CAPTURE(Count);
    CHECK(Site.evacuatedOn("brugge") == Count);
    for (unsigned Number = 1; Number <= Count; ++Number)
      CHECK(Site.at(Number).targets().size() == 1);
  }
}

TEST_CASE("evacuations and targets are known after watches were closed") {
  // No watch tells of the changes, then the store closes all of them. Guards
  // against balancers that take this for an outage.
  for (unsigned Phase = 0; Phase < 20; ++Phase) {
    running_site Site;
    Site.startAll(5);
    Site.Balancers.at(1).Faults->Link.Cut = true;
    Site.pass(4s + Phase * 40ms);
    Site.Store.WatchesAreSilent = true;
    Site.evacuate("brugge");
    Site.addTarget("late");
    Site.pass(1s);
    Site.Store.WatchesAreSilent = false;
    Site.Store.dropHistory();
    Site.pass(1500ms);

    CAPTURE(Phase);
    CHECK(Site.evacuatedOn("brugge") == 5);
    for (unsigned Number = 1; Number <= 5; ++Number)
      CHECK(Site.at(Number).targets().size() == 1);
  }
}

TEST_CASE("an evacuation is known in time after the connections to the store "
          "went silent") {
  // Only its end shows that a watch is on a silent connection. Guards against
  // watches of evacuations that all wait out their time before they are
  // renewed.
  constexpr duration EvacuationBound = 5s;
  for (const unsigned Count : {6U, 90U})
    for (duration Phase = 0ms; Phase < 5s; Phase += 500ms) {
      running_site Site;
      Site.startAll(Count);
      Site.pass(Phase);
      Site.Store.silenceWatches();
      Site.pass(100ms);
      Site.evacuate("brugge");
      Site.pass(EvacuationBound);

      CAPTURE(Count);
      CAPTURE(Phase.count());
      CHECK(Site.evacuatedOn("brugge") == Count);
    }
}
