#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Two zones with three targets each, and a balancer in each zone.
struct two_zones : forward_world {
  two_zones() {
    for (unsigned Number = 1; Number <= 3; ++Number)
      addHost(Number, "ledger", "brugge");
    for (unsigned Number = 4; Number <= 6; ++Number)
      addHost(Number, "ledger", "oostende");
    addBalancer(1, "brugge");
    addBalancer(2, "oostende");
    settle();
  }

  void settle() {
    pass(2s);
    updateBalancers();
  }

  /// Opens flows through \p Through and returns how many were opened.
  std::size_t openMany(unsigned Through, std::uint16_t FirstPort,
                       std::uint16_t Count) {
    std::size_t Opened = 0;
    for (std::uint16_t I = 0; I < Count; ++I) {
      const flow_key Flow = flowOf(static_cast<std::uint16_t>(FirstPort + I));
      open(Through, Flow);
      Opened += ownerOf(Flow) != 0;
    }
    return Opened;
  }
};

} // namespace

TEST_CASE_FIXTURE(two_zones, "new flows avoid an evacuated zone") {
  evacuateOn(1, 10, {"brugge"});
  evacuateOn(2, 10, {"brugge"});

  CHECK(openMany(1, 1, 30) == 30);
  CHECK(openMany(2, 101, 30) == 30);
  CHECK(offeredIn("brugge") == 0);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(two_zones, "open flows of an evacuated zone live on") {
  const std::uint32_t Acknowledged = open(1, flowOf(1));
  REQUIRE(Hosts.at(ownerOf(flowOf(1))).Zone == "brugge");
  evacuateOn(1, 10, {"brugge"});
  evacuateOn(2, 10, {"brugge"});
  settle();
  Received.clear();
  packet(1, data(flowOf(1), Acknowledged));
  CHECK(answers() == 1);

  // The balancer of the other zone has never seen the flow.
  packet(2, data(flowOf(1), Acknowledged));
  CHECK(answers() == 2);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(two_zones,
                  "agents pass on flows of a balancer that does not know yet") {
  // Balancer 2 was restarted and has no table of evacuations; the agents were
  // told by another balancer of their zone. The flow is served by another zone
  // at once.
  addBalancer(3, "oostende");
  evacuateOn(3, 10, {"oostende"});
  settle();
  CHECK(openMany(2, 101, 30) == 30);

  CHECK(offeredIn("oostende") == 0);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(two_zones,
                  "an agent does not believe an older evacuation table") {
  // Balancer 2 was cut off when the evacuation ended and is reachable again.
  evacuateOn(1, 10, {"brugge"});
  evacuateOn(2, 10, {"brugge"});
  settle();
  evacuateOn(1, 20, {});
  settle();
  CHECK_FALSE(Hosts[1].Agent->report(Now).Evacuated);
  settle();

  CHECK_FALSE(Hosts[1].Agent->report(Now).Evacuated);
  CHECK(openMany(1, 1, 30) == 30);
  CHECK(offeredIn("brugge") > 0);
}

TEST_CASE_FIXTURE(two_zones, "a zone is used again after its evacuation") {
  evacuateOn(1, 10, {"brugge"});
  evacuateOn(2, 10, {"brugge"});
  settle();
  evacuateOn(1, 20, {});
  evacuateOn(2, 20, {});
  settle();
  openMany(1, 1, 30);

  CHECK(offeredIn("brugge") > 20);
}

TEST_CASE_FIXTURE(two_zones, "an agent that was restarted is told again") {
  evacuateOn(1, 10, {"brugge"});
  settle();
  REQUIRE(Hosts[1].Agent->report(Now).Evacuated);
  startAgent(1);
  Hosts[1].Agent->setAdmitting(true);
  settle();

  CHECK(Hosts[1].Agent->report(Now).Evacuated);
}

TEST_CASE_FIXTURE(two_zones,
                  "if all zones are evacuated, callers are refused at once") {
  // Retransmitting its first packet would not help the caller, also while the
  // balancer cannot reach the store.
  evacuateOn(1, 10, {"brugge", "oostende"});
  Received.clear();
  CHECK(packet(1, syn(flowOf(1))) == forward_outcome::NoTarget);
  CHECK(resets() == 1);

  expireKnowledge();
  Received.clear();
  CHECK(packet(1, syn(flowOf(2))) == forward_outcome::NoTarget);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(two_zones, "agents log an evacuation") {
  evacuateOn(2, 10, {"oostende"});
  settle();
  const auto Logged =
      std::count_if(Events.begin(), Events.end(), [](const flow_event &Event) {
        return Event.What == event_kind::EvacuationsChanged;
      });

  CHECK(Logged == 3);
}

TEST_CASE_FIXTURE(two_zones, "agents count the flows they pass on by reason") {
  // The caller's first packet was sent to a target of the zone just before its
  // agent learned of the evacuation.
  const flow_policy Policy{serviceNumber("ledger"), 10, true, 0, 0};
  std::array<std::uint8_t, FlowPolicyBytes> Notice{};
  encodeFlowPolicy(Policy, Notice);
  for (unsigned Number = 4; Number <= 6; ++Number)
    Hosts[Number].Agent->onRouted(balancerAt(2), Notice, Now);
  packet(2, syn(flowOf(1)));

  std::uint64_t Refused = 0;
  for (const auto &[Number, Host] : Hosts)
    Refused +=
        Host.Agent->counters()
            .Refusals[static_cast<std::size_t>(flow_refusal::ZoneEvacuated)];
  CHECK(Refused > 0);
  CHECK(offeredIn("brugge") == 1);
  CHECK(resets() == 0);
}
