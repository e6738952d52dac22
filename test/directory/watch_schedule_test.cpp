#include "directory/watch_schedule.h"

#include <doctest/doctest.h>
#include <limits>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

/// A balancer that has been running for long, with current data and peers.
static watch_state ranked(std::size_t Rank, duration DataAge = 300ms) {
  watch_state State;
  State.Rank = Rank;
  State.RankInZone = Rank;
  State.Watchers = 3;
  State.LivePeers = 15;
  State.RunTime = 1min;
  State.DataAge = DataAge;
  return State;
}

TEST_CASE("the first balancer watches all the time") {
  CHECK(siteWatchWait(ranked(0)));
  CHECK(routesWatchWait(ranked(0)));
}

TEST_CASE("the first balancer's watches confirm data before it is too old") {
  // Half of SettleTime is left for passing the confirmation on.
  CHECK(*siteWatchWait(ranked(0)) < PeerStateMaxAge / 2);
}

TEST_CASE("a new first balancer confirms the data at once") {
  // The previous one has stopped; its last confirmation is old already.
  CHECK(*siteWatchWait(ranked(0, 900ms)) <= 50ms);
}

TEST_CASE("the second balancer watches for changes and rarely expires") {
  REQUIRE(siteWatchWait(ranked(1)));
  CHECK(*siteWatchWait(ranked(1)) >= 2 * *siteWatchWait(ranked(0)));
}

TEST_CASE("other balancers with current data make no calls") {
  for (const std::size_t Rank : {2U, 3U, 15U})
    CHECK_FALSE(siteWatchWait(ranked(Rank)));
}

TEST_CASE("the third balancer calls before the others do") {
  // The first two are cut off from the store. The others learn from the third
  // one's call, so that they need none.
  CHECK_FALSE(siteWatchWait(ranked(2, 900ms)));
  CHECK(siteWatchWait(ranked(2, 1100ms)));
  CHECK_FALSE(siteWatchWait(ranked(3, 1100ms)));
  CHECK(siteWatchWait(ranked(3, 1300ms)));
}

TEST_CASE("in an outage only the watchers retry at once") {
  // Every call is charged for, including refused ones.
  watch_state State = ranked(7, 5s);
  State.IsAnswering = false;
  State.SinceFailure = 1s;
  State.SinceFailedCall = 1s;
  CHECK_FALSE(siteWatchWait(State));

  State.SinceFailure = 4s;
  State.SinceFailedCall = 4s;
  CHECK(siteWatchWait(State));

  State = ranked(1, 5s);
  State.SinceFailure = 100ms;
  State.SinceFailedCall = 100ms;
  CHECK(siteWatchWait(State));
}

TEST_CASE("an answer to another call ends the wait for the first balancer") {
  // Guards against a balancer that knows that the store is back and still
  // leaves the next call for the configuration to others.
  watch_state State = ranked(7, 5s);
  State.IsAnswering = false;
  State.SinceFailure = 100ms;
  CHECK(routesWatchWait(State));

  State.SinceFailedCall = 100ms;
  CHECK_FALSE(routesWatchWait(State));
}

TEST_CASE("a balancer that the store refuses checks it now and then") {
  watch_state State = ranked(7);
  State.IsAnswering = false;
  State.SinceFailure = 500ms;
  CHECK_FALSE(siteWatchWait(State));

  State.SinceFailure = 1500ms;
  CHECK(siteWatchWait(State));
}

TEST_CASE("a balancer that has just started does not take itself for first") {
  // It has heard of no peer yet, as all balancers of a starting site.
  watch_state State = ranked(0);
  State.RunTime = 100ms;
  State.LivePeers = 0;
  CHECK_FALSE(siteWatchWait(State));
  CHECK_FALSE(evacuationsWatchWait(State));
}

TEST_CASE("a balancer without peers confirms its data alone") {
  watch_state State = ranked(0, 2s);
  State.LivePeers = 0;

  REQUIRE(siteWatchWait(State));
  CHECK(*siteWatchWait(State) < PeerStateMaxAge);
}

TEST_CASE("the first balancer of each zone watches the configuration") {
  watch_state State = ranked(9);
  State.RankInZone = 0;
  CHECK(routesWatchWait(State));

  State.RankInZone = 1;
  CHECK_FALSE(routesWatchWait(State));
}

TEST_CASE("the first balancer of a zone does not repeat refused calls") {
  // In an outage a balancer that gets its data from peers has not made a call
  // for marjoramrail's own objects, and still takes the store for available.
  watch_state State = ranked(9, 5s);
  State.RankInZone = 0;
  State.IsAnswering = false;
  State.SinceFailure = 500ms;
  State.SinceFailedCall = 500ms;
  CHECK_FALSE(routesWatchWait(State));
}

TEST_CASE("two balancers of the site watch for evacuations") {
  CHECK(evacuationsWatchWait(ranked(0)));
  CHECK(evacuationsWatchWait(ranked(1)));
  CHECK_FALSE(evacuationsWatchWait(ranked(2)));
}

TEST_CASE("contacts date a snapshot at once, the others wait") {
  // All balancers of a large site start from a snapshot of unknown age.
  watch_state State = ranked(0, 10ms);
  State.IsDated = false;
  State.RunTime = 10ms;
  State.StartupTime = 3s;
  for (const std::size_t Rank : {0U, 1U, 9U}) {
    State.Rank = Rank;
    REQUIRE(siteWatchWait(State));
    CHECK(*siteWatchWait(State) <= 50ms);
  }

  State.Rank = std::numeric_limits<std::size_t>::max();
  State.DataAge = State.RunTime = 1500ms;
  CHECK_FALSE(siteWatchWait(State));
  State.DataAge = State.RunTime = 3500ms;
  CHECK(siteWatchWait(State));
}

TEST_CASE("a balancer that relies on contacts makes no calls of its own") {
  watch_state State = ranked(std::numeric_limits<std::size_t>::max(), 5s);
  CHECK(siteWatchWait(State));
  State.ReliesOnContacts = true;
  CHECK_FALSE(siteWatchWait(State));
  CHECK_FALSE(routesWatchWait(State));
}
