#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(directory_cluster,
                  "many balancers stay sure with few calls") {
  // At hundreds of balancers each watch of each would be a call; the store's
  // rate is fixed. All must still be able to tell a lost flow within
  // SettleTime.
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

/// Ninety balancers in five zones, as on a site of hundreds of VMs.
struct large_site : directory_cluster {
  static constexpr unsigned Count = 90;
  static constexpr unsigned Zones = 5;

  void startAll() {
    configure(1, {"ledger"});
    for (unsigned Number = 1; Number <= Count; ++Number)
      start(Number, {addressOf(1), addressOf(2), addressOf(3)},
            "zone-" + std::to_string(Number % Zones));
  }

  /// The share of looks within \p Time at which a balancer was sure of what it
  /// knows.
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
  // Each balancer that finds its peers' news too old watches by itself. At
  // ninety that was most of what the whole site asked of the store.
  startAll();
  pass(10s);
  const std::uint64_t Before = Store.Calls;
  const double Current = currentShareFor(10s);

  CHECK(Current > 0.95);
  CHECK(Store.Calls - Before < 10 * 12);
}

TEST_CASE_FIXTURE(large_site, "first balancers that are refused are replaced") {
  // The store refuses the very balancers that watch it for all. Were they
  // waited for, every other one would find its knowledge too old and watch by
  // itself.
  startAll();
  pass(10s);
  for (unsigned Number = 1; Number <= 3; ++Number)
    Balancers.at(Number).Faults->Link.Cut = true;
  pass(3s);
  const std::uint64_t Before = Store.Calls;
  const double Current = currentShareFor(10s);

  CHECK(Current > 0.95);
  // As on a calm day, and the tries of those three.
  CHECK(Store.Calls - Before < 10 * 12 + 10 * 6 * 2);
}

TEST_CASE_FIXTURE(large_site, "an outage of the store costs few calls") {
  // Every call is paid for, also one that is refused. The first balancers try
  // on behalf of all, and the others are told when one gets through.
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

TEST_CASE_FIXTURE(large_site, "a site that starts asks little") {
  // All balancers start within 0.3 s, agents announce two hundred targets
  // meanwhile, and nobody has heard a peer yet. Each piece of news answers
  // every watch.
  startAll();
  for (int Target = 0; Target < 200; ++Target) {
    addTarget("number-" + std::to_string(Target));
    pass(10ms);
  }
  pass(3s);

  // Two lists, its own entry, and two calls more each.
  CHECK(Store.Calls < 5 * Count);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 200);
}

TEST_CASE_FIXTURE(directory_cluster, "a new target is soon known to all") {
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
  // A site of two hundred targets starts. Few balancers watch; the others must
  // not copy everything from them again and again.
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

TEST_CASE_FIXTURE(directory_cluster, "a site that starts copies nothing") {
  // All balancers start at once; each is about to get the store's own list.
  configure(1, {"ledger"});
  addTarget("one");
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1)});
  pass(3s);

  CHECK(Copies == 0);
}
