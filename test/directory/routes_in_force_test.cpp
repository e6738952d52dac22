// How long an accepted configuration takes until it, or a newer one, is in
// force on the balancers of a site.

#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// The time allowed from the store's acceptance until a configuration is in
/// force on all balancers in touch, the shortest of the users' bounds.
constexpr duration InForceBound = 3s;

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
    pass(10s);
  }

  std::string zoneOf(unsigned Number) const {
    return "zone-" + std::to_string((Number - 1) * 3 / Count);
  }

  void cutOff(unsigned Number) {
    Balancers.at(Number).Cut = true;
    Balancers.at(Number).Faults->Link.Cut = true;
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
