#include "directory/peer_selector.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

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
  peer_selector Selector(balancer(80), 5, 80);
  for (std::uint32_t Number = 1; Number <= 90; ++Number)
    Selector.recordMessage(balancer(Number), 1 + (Number - 1) / 18, Now);
  for (int Round = 0; Round < 20; ++Round) {
    const std::vector<endpoint> Asked =
        Selector.choosePeers(Now, data_age::Old);
    REQUIRE(Asked.size() == 2);
    const auto Ahead = std::minmax(Asked[0], Asked[1]);
    CHECK(Ahead.first <= balancer(3));
    CHECK(Ahead.second >= balancer(73));
    CHECK(Ahead.second <= balancer(74));
  }
}

namespace {

/// A large zone, number 1, whose balancers have the addresses 1 to 40, beside
/// zone 2 with the addresses 101 to 140. Only the peers in Running answer.
struct large_zone {
  instant Now{10s};
  std::set<std::uint32_t> Running;

  peer_selector selectorOf(std::uint32_t Self) const {
    peer_selector Selector(balancer(Self), zoneOf(Self), Self);
    for (const std::uint32_t First : {1U, 101U})
      for (std::uint32_t Number = First; Number < First + 40; ++Number)
        Selector.add(balancer(Number), zoneOf(Number));
    return Selector;
  }

  static std::uint32_t zoneOf(std::uint32_t Number) {
    return Number < 100 ? 1 : 2;
  }

  /// Returns how often each peer is contacted in \p Rounds rounds.
  std::map<std::uint32_t, int> run(peer_selector &Selector, int Rounds,
                                   data_age Age = data_age::Current) {
    std::map<std::uint32_t, int> Contacted;
    for (int Round = 0; Round < Rounds; ++Round) {
      Now += 200ms;
      for (const endpoint &Peer : Selector.choosePeers(Now, Age)) {
        ++Contacted[Peer.Address];
        if (Running.contains(Peer.Address))
          Selector.recordMessage(Peer, zoneOf(Peer.Address), Now);
      }
    }
    return Contacted;
  }

  void runAll() {
    for (const std::uint32_t First : {1U, 101U})
      for (std::uint32_t Number = First; Number < First + 40; ++Number)
        Running.insert(Number);
  }

  static int toZone(const std::map<std::uint32_t, int> &Contacted,
                    std::uint32_t Zone) {
    int Sum = 0;
    for (const auto &[Number, Times] : Contacted)
      Sum += zoneOf(Number) == Zone ? Times : 0;
    return Sum;
  }
};

} // namespace

TEST_CASE_FIXTURE(large_zone, "only contacts of a large zone leave it") {
  runAll();
  peer_selector Member = selectorOf(30);
  run(Member, 20);
  auto Contacted = run(Member, 50);
  CHECK(toZone(Contacted, 2) == 0);
  CHECK(Contacted[1] + Contacted[2] >= 50);

  peer_selector Contact = selectorOf(101);
  run(Contact, 20);
  Contacted = run(Contact, 50);
  // The contacts of zone 1 have the lowest addresses, so they are the watchers.
  CHECK(Contacted[1] >= 20);
  CHECK(Contacted[2] >= 10);
  CHECK(toZone(Contacted, 1) == Contacted[1] + Contacted[2]);
}

TEST_CASE_FIXTURE(large_zone, "a contact that does not answer is replaced") {
  // Guards against a zone that hears of nothing for as long as its failed
  // contacts count as live.
  runAll();
  peer_selector Member = selectorOf(30);
  run(Member, 20);
  Running.erase(1);
  Running.erase(2);
  run(Member, 8);
  auto Contacted = run(Member, 10);
  CHECK(Contacted[3] + Contacted[4] >= 10);
}

TEST_CASE_FIXTURE(large_zone, "overdue data is requested from other zones") {
  runAll();
  peer_selector Member = selectorOf(30);
  run(Member, 20);
  CHECK(toZone(run(Member, 10, data_age::Old), 2) == 0);
  CHECK(toZone(run(Member, 10, data_age::Overdue), 2) >= 8);
}

TEST_CASE_FIXTURE(large_zone,
                  "a starting balancer leaves tasks to known peers") {
  // All balancers have been restarted, and this one has heard of nobody yet.
  peer_selector Selector = selectorOf(30);
  Selector.start(Now);
  CHECK_FALSE(Selector.isContact(Now));
  CHECK(Selector.rank(Now) > 2);

  // The others have not been started again.
  run(Selector, 10);
  CHECK(Selector.isContact(Now));
  CHECK(Selector.rank(Now) == 0);
}

TEST_CASE_FIXTURE(large_zone, "contacts rank before all other balancers") {
  runAll();
  for (const std::uint32_t Number : {1U, 2U, 3U, 101U, 102U, 103U}) {
    peer_selector Selector = selectorOf(Number);
    run(Selector, 40);
    const bool IsContact = Number % 100 <= 2;
    CHECK(Selector.isContact(Now) == IsContact);
    const std::size_t Expected = (Number > 100 ? 2 : 0) + Number % 100 - 1;
    CHECK((Selector.rank(Now) == Expected) == IsContact);
  }
}

TEST_CASE_FIXTURE(large_zone, "contacts go on looking for a lost zone") {
  runAll();
  peer_selector Contact = selectorOf(101);
  run(Contact, 20);
  for (std::uint32_t Number = 1; Number <= 40; ++Number)
    Running.erase(Number);
  run(Contact, 200);
  const int Tries = toZone(run(Contact, 50), 1);
  // One every few seconds.
  CHECK(Tries >= 4);
  CHECK(Tries <= 20);
}
