#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Three targets in each of two regions.
struct two_regions : forward_world {
  two_regions() {
    for (unsigned Number = 1; Number <= 3; ++Number)
      addHost(Number, "ledger", "brugge");
    for (unsigned Number = 4; Number <= 6; ++Number)
      addHost(Number, "ledger", "breda");
    for (const unsigned Number : {1U, 2U}) {
      addBalancer(Number, "brugge");
      Balancers[Number]->setRegions({{"brugge", "be"}, {"breda", "nl"}});
    }
    pass(2s);
    updateBalancers();
  }

  void restrictTo(const std::vector<std::string> &Regions) {
    const region_restriction Allowed(Regions);
    setRoutes({{RouteAddress, {{"ledger", 1}}, {"ledger"}, Allowed, Allowed}});
  }
};

} // namespace

TEST_CASE_FIXTURE(two_regions, "new flows stay in the regions of their route") {
  restrictTo({"nl"});
  for (std::uint16_t Port = 1; Port <= 30; ++Port)
    open(1, flowOf(Port));

  CHECK(offeredIn("brugge") == 0);
  CHECK(offeredIn("breda") == 30);
}

TEST_CASE_FIXTURE(two_regions,
                  "flows that no target declines into stay in their regions") {
  // All targets of the region are full; the flow is refused rather than passed
  // on to another region.
  restrictTo({"nl"});
  for (unsigned Number = 4; Number <= 6; ++Number)
    Hosts[Number].Target.Full = true;
  packet(1, syn(flowOf(1)));

  CHECK(offeredIn("brugge") == 0);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(two_regions, "a route without a region is refused at once") {
  restrictTo({});
  expireKnowledge();
  CHECK(packet(1, syn(flowOf(1))) == forward_outcome::NoTarget);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(two_regions, "owner lookups stay in the regions") {
  restrictTo({"nl"});
  const std::uint32_t Acknowledged = open(1, flowOf(1));
  const std::uint64_t Before = Hosts[1].Target.Declined +
                               Hosts[2].Target.Declined +
                               Hosts[3].Target.Declined;
  Received.clear();
  packet(2, data(flowOf(1), Acknowledged));

  CHECK(answers() == 1);
  CHECK(Hosts[1].Target.Declined + Hosts[2].Target.Declined +
            Hosts[3].Target.Declined ==
        Before);
}

TEST_CASE_FIXTURE(two_regions,
                  "a flow opened before a restriction is not reset") {
  // Its owner is outside the new regions, so that a lookup within them does not
  // find it.
  std::uint16_t Port = 0;
  std::uint32_t Acknowledged = 0;
  do
    Acknowledged = open(1, flowOf(++Port));
  while (Hosts.at(ownerOf(flowOf(Port))).Zone != "brugge");
  restrictTo({"nl"});
  Received.clear();
  packet(2, data(flowOf(Port), Acknowledged));
  CHECK(resets() == 0);

  // The balancer that knows the owner still sends the flow's packets there.
  packet(1, data(flowOf(Port), Acknowledged));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(two_regions,
                  "a lost flow is reset once no flow can be outside") {
  restrictTo({"nl"});
  pass(FlowLife + 1s);
  updateBalancers();
  packet(2, data(flowOf(1), 1234));

  CHECK(resets() == 1);
}
