#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(directory_cluster,
                  "the data of many balancers stays current with few calls") {
  // With hundreds of balancers, one watch per balancer would exceed the store's
  // fixed rate of calls. The data of all balancers must still be current enough
  // to detect a lost flow within SettleTime.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 20; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  const std::uint64_t Before = Store.Calls;
  std::size_t Current = 0;
  std::size_t Checks = 0;
  for (int Round = 0; Round < 100; ++Round) {
    pass(100ms);
    for (auto &[Number, Balancer] : Balancers) {
      const auto AsOf = Balancer.Directory->knownAsOf();
      Current += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
      ++Checks;
    }
  }

  CHECK(static_cast<double>(Current) / static_cast<double>(Checks) > 0.95);
  CHECK(Store.Calls - Before < 10 * 12);
}

namespace {

/// Ninety balancers in five zones, as on a site with hundreds of VMs.
struct large_site : directory_cluster {
  static constexpr unsigned Count = 90;
  static constexpr unsigned Zones = 5;

  void startAll() {
    configure(1, {"ledger"});
    for (unsigned Number = 1; Number <= Count; ++Number)
      start(Number, {addressOf(1), addressOf(2), addressOf(3)},
            "zone-" + std::to_string(Number % Zones));
  }

  /// The share of checks within \p Time at which a balancer's data was current.
  double currentShareFor(duration Time) {
    std::size_t Current = 0;
    std::size_t Checks = 0;
    const instant End = Timers.now() + Time;
    while (Timers.now() < End) {
      pass(100ms);
      for (auto &[Number, Balancer] : Balancers) {
        const auto AsOf = Balancer.Directory->knownAsOf();
        Current += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
        ++Checks;
      }
    }
    return static_cast<double>(Current) / static_cast<double>(Checks);
  }
};

} // namespace

TEST_CASE_FIXTURE(large_site, "calls do not grow with balancers") {
  // A balancer whose data from peers is too old watches the store itself. With
  // ninety balancers that used to be most of the site's calls to the store.
  startAll();
  pass(10s);
  const std::uint64_t Before = Store.Calls;
  const double Current = currentShareFor(10s);

  CHECK(Current > 0.95);
  CHECK(Store.Calls - Before < 10 * 12);
}

TEST_CASE_FIXTURE(large_site, "watchers that the store refuses are replaced") {
  // The store refuses exactly the balancers that watch it for all. If they were
  // not replaced, the data of all others would become too old and each of them
  // would watch the store itself.
  startAll();
  pass(10s);
  for (unsigned Number = 1; Number <= 3; ++Number)
    Balancers.at(Number).Faults->Link.Cut = true;
  pass(3s);
  const std::uint64_t Before = Store.Calls;
  const double Current = currentShareFor(10s);

  CHECK(Current > 0.95);
  // As in normal operation, plus the retries of those three.
  CHECK(Store.Calls - Before < 10 * 12 + 10 * 6 * 2);
}

TEST_CASE_FIXTURE(large_site, "an outage of the store costs few calls") {
  // Every call is charged for, including refused ones. The first balancers
  // retry on behalf of all, and the others learn from them that the store has
  // recovered.
  startAll();
  pass(10s);
  Store.Down = true;
  pass(2s);
  const std::uint64_t Before = Store.Calls;
  pass(10s);
  CHECK(Store.Calls - Before < 10 * Count);

  Store.Down = false;
  addTarget("one");
  pass(2s);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 1);
  CHECK(currentShareFor(1s) > 0.95);
}

TEST_CASE_FIXTURE(large_site, "a starting site makes few calls") {
  // All balancers start within 0.3 s, agents register two hundred targets
  // meanwhile, and no balancer has received a message from a peer yet. Each
  // change ends every pending watch.
  startAll();
  for (int Target = 0; Target < 200; ++Target) {
    addTarget("number-" + std::to_string(Target));
    pass(10ms);
  }
  pass(3s);

  // Two lists, the write of its own entry, and two more calls per balancer. A
  // stale read costs less and does not count toward the store's rate.
  CHECK(Store.Calls - Store.StaleReads < 5 * Count);
  CHECK(Store.StaleReads <= Count);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 200);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a new target is known to all balancers within a second") {
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 20; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  addTarget("one");
  pass(1s);

  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 1);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "many targets at once reach all by greetings") {
  // A site of two hundred targets starts. Few balancers watch the store; the
  // others must not copy the complete list from them again and again.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  Copies = 0;
  for (int Target = 0; Target < 200; ++Target)
    addTarget("number-" + std::to_string(Target));
  pass(2s);

  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 200);
  CHECK(Copies == 0);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a starting site copies no lists from peers") {
  // All balancers start at once; each will soon receive the store's own list.
  configure(1, {"ledger"});
  addTarget("one");
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1)});
  pass(3s);

  CHECK(Copies == 0);
}
