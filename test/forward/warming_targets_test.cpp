#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// A zone whose targets have just been started, beside a zone that has been
/// running, and six balancers that know nothing of each other.
struct returning_zone : forward_world {
  static constexpr unsigned BalancerCount = 6;
  static constexpr duration Warmup = 2s;

  explicit returning_zone(std::uint32_t FlowsPerSecond = 2) {
    for (unsigned Number = 1; Number <= 6; ++Number) {
      Hosts[Number].Warmup = warmup_limit::settings{1.5, 5};
      addHost(Number, "ledger", Number <= 3 ? "brugge" : "oostende");
    }
    for (unsigned Number = 1; Number <= BalancerCount; ++Number) {
      addBalancer(Number, "brugge");
      Balancers[Number]->setWarmupRates({{"ledger", FlowsPerSecond * 1000}}, 1);
    }
    pass(2s);
    updateBalancers();
  }

  void startTargetsOfZone() {
    for (unsigned Number = 1; Number <= 3; ++Number)
      Hosts[Number].Agent->setTarget(4, Warmup, Now);
  }

  /// Opens \p PerRound flows every 20 ms through the balancers in turn and
  /// returns the largest number that target 1 was offered within a second.
  std::uint64_t mostOffered(duration Time, unsigned PerRound) {
    std::vector<std::uint64_t> Counts;
    const instant End = Now + Time;
    while (Now < End) {
      for (unsigned I = 0; I < PerRound; ++I) {
        ++NextPort;
        open(1 + NextPort % BalancerCount, flowOf(NextPort));
      }
      Counts.push_back(Hosts[1].Target.Offered);
      pass(20ms);
    }
    std::uint64_t Most = 0;
    const std::size_t PerSecond = 1s / 20ms;
    for (std::size_t I = PerSecond; I < Counts.size(); ++I)
      Most = std::max(Most, Counts[I] - Counts[I - PerSecond]);
    return Most;
  }

  std::uint16_t NextPort = 0;
};

} // namespace

TEST_CASE("a burst on a zone that has just come back stays below the limit") {
  // Each balancer sees idle targets and prefers its own zone; without a common
  // limit all of them together would send hundreds of flows to each.
  for (const std::uint32_t Rate : {1U, 2U, 6U}) {
    returning_zone Site(Rate);
    Site.startTargetsOfZone();
    const std::uint64_t Most = Site.mostOffered(1900ms, 10);
    const auto Limit = static_cast<std::uint64_t>(Rate * 1.5 + 5);
    CHECK_MESSAGE(Most <= Limit, "rate ", Rate, ": expected at most ", Limit,
                  ", got ", Most);
    CHECK(Most > 0);
    CHECK(Site.resets() == 0);
    CHECK(Site.Hosts[4].Target.Flows.size() > 50);
  }
}

TEST_CASE_FIXTURE(returning_zone, "a target that is warm has no limit") {
  startTargetsOfZone();
  pass(Warmup + 100ms);

  CHECK(mostOffered(1500ms, 10) > 50);
}

TEST_CASE_FIXTURE(
    returning_zone,
    "after an evacuation targets count as cold until they report") {
  // They may have been restarted while the zone was empty, and their next
  // report can be a second away.
  for (auto &[Number, Balancer] : Balancers)
    Balancer->setEvacuations({10, {"brugge"}}, Now);
  pass(2s);
  updateBalancers();
  for (auto &[Number, Balancer] : Balancers)
    Balancer->setEvacuations({20, {}}, Now);
  pass(1200ms);
  updateBalancers();

  CHECK(mostOffered(1500ms, 10) <= 8);
}

TEST_CASE_FIXTURE(returning_zone,
                  "an agent that was restarted grants only the extra flows") {
  startAgent(1);
  Hosts[1].Agent->setAdmitting(true);
  Hosts[1].Agent->setTarget(4, Warmup, Now);
  std::uint64_t Offered = 0;
  for (std::uint16_t Port = 1; Port <= 100; ++Port)
    open(1, flowOf(Port));
  Offered = Hosts[1].Target.Offered;

  CHECK(Offered <= 5);
}

TEST_CASE_FIXTURE(returning_zone, "a rate of 0 limits nothing") {
  for (auto &[Number, Balancer] : Balancers)
    Balancer->setWarmupRates({}, 2);
  pass(2s);
  updateBalancers();
  startTargetsOfZone();

  CHECK(mostOffered(1500ms, 10) > 50);
}
