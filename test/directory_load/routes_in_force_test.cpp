// How long an accepted configuration takes until it, or a newer one, is in
// force on the balancers of a site.

#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// The time allowed from the store's acceptance until a configuration is in
/// force on all balancers in touch, the shortest of the users' bounds.
constexpr duration InForceBound = 3s;
/// What the steps together may take of it, see docs/DECISIONS.md: the rest is
/// for what a model does not show, such as processors that are short of time.
constexpr duration Budget = 2s;
constexpr duration BudgetWithFault = 2500ms;
/// From the end of an outage on: for 4 s the users expect no bound to hold, and
/// half a second of them is left like above.
constexpr duration BudgetAfterOutage = 3500ms;

/// A site of three zones of about the same size.
struct three_zones : directory_cluster {
  unsigned Count = 0;
  std::uint64_t Version = 1;
  std::map<std::uint64_t, instant> AcceptedAt;
  /// The longest time that a configuration took until it or a newer one was in
  /// force on any balancer that is not cut off.
  duration Longest = duration::zero();

  void startAll(unsigned Balancers) {
    Count = Balancers;
    configure(Version, {"ledger"});
    const std::vector<endpoint> Seeds = {addressOf(1), addressOf(Count / 2),
                                         addressOf(Count)};
    for (unsigned Number = 1; Number <= Count; ++Number)
      start(Number, Seeds, zoneOf(Number));
    // Long watches that began before balancers knew their peers have ended.
    pass(25s);
  }

  std::string zoneOf(unsigned Number) const {
    return "zone-" + std::to_string((Number - 1) * 3 / Count);
  }

  void cutOff(unsigned Number) {
    Balancers.at(Number).Cut = true;
    Balancers.at(Number).Faults->Link.Cut = true;
  }

  /// The store no longer answers the balancer, which notices it only by
  /// time-outs.
  void cutFromStore(unsigned Number) {
    platform_link &Link = Balancers.at(Number).Faults->Link;
    Link.Cut = true;
    Link.Timeout = 1500ms;
  }

  /// The store accepts a configuration while no watch is told of any change,
  /// then drops its history and closes all watches.
  void changeUnnoticed() {
    Store.WatchesAreSilent = true;
    pass(100ms);
    change();
    pass(900ms);
    Store.WatchesAreSilent = false;
    Store.dropHistory();
    AcceptedAt[Version] = Timers.now();
  }

  /// Accepts a configuration whose service none before it had.
  void change() {
    ++Version;
    configure(Version, {"service-" + std::to_string(Version)});
    AcceptedAt[Version] = Timers.now();
  }

  void measureFor(duration Time) {
    const instant End = Timers.now() + Time;
    while (Timers.now() < End) {
      pass(10ms);
      for (const auto &[Number, Balancer] : Balancers)
        if (!Balancer.Cut)
          measure(*Balancer.Directory);
    }
  }

  /// Accepts eight configurations at random moments. \p Fault is called at some
  /// moment around that of one of them.
  void changeInSeries(std::mt19937 &Random,
                      const std::function<void()> &Fault) {
    constexpr unsigned Changes = 8;
    const unsigned At = Random() % Changes;
    const duration Before = std::chrono::milliseconds(Random() % 150);
    pass(std::chrono::milliseconds(Random() % 2000));
    for (unsigned I = 0; I < Changes; ++I) {
      const bool IsBefore = Random() % 2 == 0;
      if (I == At && IsBefore) {
        Fault();
        measureFor(Before);
      }
      change();
      if (I == At && !IsBefore) {
        measureFor(Before);
        Fault();
      }
      measureFor(std::chrono::milliseconds(150 + Random() % 950));
    }
    measureFor(InForceBound);
  }

private:
  void measure(const directory &Directory) {
    const auto Next = AcceptedAt.upper_bound(Directory.routesVersion());
    if (Next != AcceptedAt.end())
      Longest = std::max(Longest, Timers.now() - Next->second);
  }
};

} // namespace

TEST_CASE_FIXTURE(three_zones, "a configuration that is copied late does not "
                               "wait longer than elsewhere") {
  // The balancer that watches for its zone is gone, so that the other one there
  // copies from another zone. With a wait of its own that begins with the copy
  // it would serve callers by the previous configuration for a second longer.
  startAll(5);
  REQUIRE(zoneOf(3) == zoneOf(4));
  cutOff(3);
  change();
  measureFor(InForceBound);

  CHECK(Longest < SettleTime + 100ms);
}

/// The number of seeds played for a site; large sites take longer.
static unsigned seedsOf(unsigned Count) { return Count == 5 ? 20 : 8; }

TEST_CASE("closed watches are renewed while some balancers are cut off from "
          "the store") {
  // The store drops its history and closes all watches, and no watch has told
  // of the change before that. Guards against balancers that take this for an
  // outage and leave the next call to one that cannot make it.
  for (const unsigned Count : {5U, 35U})
    for (unsigned Seed = 1; Seed <= seedsOf(Count); ++Seed) {
      three_zones Site;
      std::mt19937 Random(Seed);
      Site.startAll(Count);
      Site.cutFromStore(1);
      Site.cutFromStore(Count / 2 + 1);
      Site.pass(6s + std::chrono::milliseconds(Random() % 2000));
      Site.changeUnnoticed();
      Site.measureFor(InForceBound + 2s);

      CAPTURE(Count);
      CAPTURE(Seed);
      CAPTURE(Site.Longest.count());
      CHECK(Site.Longest < BudgetWithFault);
    }
}

/// The longest time until a configuration is in force that the store accepts at
/// the end of an outage for all, while it still refuses some balancers. \p
/// Timeout: how long a refused call takes.
static duration longestAfterOutage(unsigned Count, unsigned Served,
                                   duration Timeout, unsigned Seed) {
  three_zones Site;
  std::mt19937 Random(Seed);
  Site.startAll(Count);
  std::vector<unsigned> Numbers(Count);
  std::iota(Numbers.begin(), Numbers.end(), 1);
  std::shuffle(Numbers.begin(), Numbers.end(), Random);
  for (const unsigned Number : Numbers) {
    platform_link &Link = Site.Balancers.at(Number).Faults->Link;
    Link.Timeout = Timeout;
    Link.Cut = true;
  }
  Site.pass(4s + std::chrono::milliseconds(Random() % 4000));
  for (unsigned I = 0; I < Served; ++I)
    Site.Balancers.at(Numbers[I]).Faults->Link.Cut = false;
  Site.change();
  Site.measureFor(6s);
  return Site.Longest;
}

TEST_CASE("a configuration is in force soon after an outage that lasts longer "
          "for some balancers") {
  // Guards against balancers that the store answers again and that leave their
  // next call to a balancer that it still refuses.
  for (const unsigned Count : {5U, 35U})
    for (const duration Timeout : {2ms, 1500ms})
      for (unsigned Seed = 1; Seed <= seedsOf(Count); ++Seed)
        for (const unsigned Served : {1U, Count / 2}) {
          const duration Longest =
              longestAfterOutage(Count, Served, Timeout, Seed);
          CAPTURE(Count);
          CAPTURE(Timeout.count());
          CAPTURE(Seed);
          CAPTURE(Served);
          CAPTURE(Longest.count());
          CHECK(Longest < BudgetAfterOutage);
        }
}

/// Checks that each configuration of many series is in force within \p Bound.
static void
checkSeries(duration Bound,
            const std::function<void(three_zones &, std::mt19937 &)> &Fault) {
  for (const unsigned Count : {5U, 35U})
    for (unsigned Seed = 1; Seed <= (Count == 5 ? 50U : 8U); ++Seed) {
      three_zones Site;
      std::mt19937 Random(Seed);
      Site.startAll(Count);
      Site.changeInSeries(Random, [&] { Fault(Site, Random); });

      CAPTURE(Count);
      CAPTURE(Seed);
      CAPTURE(Site.Longest.count());
      CHECK(Site.Longest < Bound);
    }
}

TEST_CASE("configurations in a row are in force within the budget") {
  // Each used to wait for the ones before it, and for its copy besides.
  checkSeries(Budget, [](three_zones &, std::mt19937 &) {});
}

TEST_CASE("configurations in a row are in force within the budget while a "
          "balancer that others copy from falls silent") {
  checkSeries(BudgetWithFault, [](three_zones &Site, std::mt19937 &Random) {
    // The first balancers of the site and of each zone.
    const unsigned Sources[] = {1, 2, Site.Count / 3 + 1,
                                Site.Count * 2 / 3 + 1};
    Site.cutOff(Sources[Random() % 4]);
  });
}

TEST_CASE("configurations in a row are in force within the budget while the "
          "store refuses half of the balancers") {
  checkSeries(BudgetWithFault, [](three_zones &Site, std::mt19937 &Random) {
    for (auto &[Number, Balancer] : Site.Balancers)
      Balancer.Faults->Link.Cut = Random() % 2 == 0;
  });
}
