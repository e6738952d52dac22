#include "directory/peer_selector.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static endpoint balancer(std::uint32_t Number) { return {Number, 7000}; }

static peer_selector selectorOf(std::uint32_t Self, std::uint32_t Balancers,
                                instant Now) {
  peer_selector Selector(balancer(Self), 1, Self);
  for (std::uint32_t Number = 1; Number <= Balancers; ++Number)
    Selector.recordMessage(balancer(Number), 1, Now);
  return Selector;
}

TEST_CASE("no balancer is contacted by all balancers of a large fleet") {
  // Three watchers for thousands of balancers would be fully occupied with
  // replies.
  const instant Now(10s);
  constexpr std::uint32_t Fleet = 2000;
  std::map<endpoint, int> Greeted;
  for (std::uint32_t Self = 1; Self <= Fleet; Self += 20) {
    peer_selector Selector = selectorOf(Self, Fleet, Now);
    for (const endpoint &Peer : Selector.choosePeers(Now))
      ++Greeted[Peer];
  }

  int Most = 0;
  for (const auto &[Peer, Times] : Greeted)
    Most = std::max(Most, Times);
  // 100 rounds over 20 watchers.
  CHECK(Most <= 15);
}

TEST_CASE(
    "an unresponsive peer is contacted rarely and finally counts as dead") {
  const instant Start(10s);
  peer_selector Selector = selectorOf(1, 5, Start);
  Selector.add(balancer(9));
  int Asked = 0;
  instant Now = Start;
  for (int Round = 0; Round < 400; ++Round) {
    Now += 200ms;
    for (std::uint32_t Number = 2; Number <= 5; ++Number)
      Selector.recordMessage(balancer(Number), 1, Now);
    for (const endpoint &Peer : Selector.choosePeers(Now))
      Asked += Peer == balancer(9);
  }

  CHECK(Asked >= 50);
  CHECK(Asked <= 100);
  CHECK(Selector.isDead(balancer(9), Now));
  CHECK_FALSE(Selector.isDead(balancer(2), Now));
}

TEST_CASE("the rank counts live peers with lower addresses") {
  const instant Now(10s);
  const peer_selector Selector = selectorOf(3, 5, Now);

  CHECK(Selector.live(Now) == 4);
  CHECK(Selector.rank(Now) == 2);
  CHECK(Selector.rank(Now + 10s) == 0);
}

TEST_CASE("a balancer that ranks first contacts peers of lower address") {
  // After a start a balancer has received messages from three of ninety. Until
  // it meets one of lower rank by chance, it would do the tasks of others.
  const instant Now(10s);
  peer_selector Selector(balancer(50), 1, 50);
  for (std::uint32_t Number = 1; Number <= 90; ++Number)
    Selector.add(balancer(Number), 1);
  CHECK(Selector.rank(Now) == 0);
  int Rounds = 0;
  for (;
       Selector.rankIn(1, Now) < peer_selector::WatchersPerZone && Rounds < 10;
       ++Rounds)
    for (const endpoint &Peer : Selector.choosePeers(Now))
      Selector.recordMessage(Peer, 1, Now);

  CHECK(Rounds <= 2);
}

TEST_CASE("a dead peer of lower rank is contacted only twice") {
  // VMs that were replaced stay in the store's list for a while.
  instant Now(10s);
  peer_selector Selector(balancer(50), 1, 50);
  Selector.add(balancer(1), 1);
  for (std::uint32_t Number = 60; Number <= 90; ++Number)
    Selector.recordMessage(balancer(Number), 1, Now);
  int Asked = 0;
  for (int Round = 0; Round < 10; ++Round)
    for (const endpoint &Peer : Selector.choosePeers(Now))
      Asked += Peer == balancer(1);

  // Ten rounds also contain two messages to unresponsive peers.
  CHECK(Asked >= peer_selector::MaxTriesOfLowerRank);
  CHECK(Asked <= peer_selector::MaxTriesOfLowerRank + 2);
}

TEST_CASE("a balancer with old data contacts a watcher and a zone watcher") {
  const instant Now(10s);
  peer_selector Selector(balancer(80), 2, 80);
  for (std::uint32_t Number = 1; Number <= 90; ++Number)
    Selector.recordMessage(balancer(Number), 1 + Number / 46, Now);
  for (int Round = 0; Round < 20; ++Round) {
    const std::vector<endpoint> Asked =
        Selector.choosePeers(Now, /*NeedsUpdates=*/true);
    REQUIRE(Asked.size() == 2);
    const auto Ahead = std::minmax(Asked[0], Asked[1]);
    CHECK(Ahead.first <= balancer(3));
    CHECK(Ahead.second >= balancer(46));
    CHECK(Ahead.second <= balancer(47));
  }
}
