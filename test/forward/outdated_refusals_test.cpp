// Targets that once admitted no flows, as far as a balancer has heard.

#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// A balancer whose own zone has no target, and targets in two other zones.
struct zone_without_targets : forward_world {
  std::uint16_t NextPort = 1;

  zone_without_targets() {
    addBalancer(1, "brugge");
    addHost(1, "ledger", "oostende");
    addHost(2, "ledger", "zeebrugge");
    pass(2s);
    updateBalancers();
  }

  /// All targets report that they admit no flows, and are not asked again.
  void refuseAll() {
    setAdmitting(false);
    openNext();
    pass(400ms);
    updateBalancers();
    REQUIRE(openNext() == forward_outcome::NoTarget);
    pass(3s);
    updateBalancers();
  }

  void setAdmitting(bool Admitting) {
    for (auto &[Number, Host] : Hosts)
      Host.Agent->setAdmitting(Admitting);
  }

  /// Balancers of the agents' zones tell them of an evacuation.
  void evacuateByNotice(std::uint64_t Version, bool Evacuated) {
    const flow_policy Policy{serviceNumber("ledger"), Version, Evacuated, 0, 0};
    std::array<std::uint8_t, FlowPolicyBytes> Notice{};
    encodeFlowPolicy(Policy, Notice);
    for (auto &[Number, Host] : Hosts)
      Host.Agent->onRouted(balancerAt(2), Notice, Now);
  }

  forward_outcome openNext() {
    Received.clear();
    return packet(1, syn(flowOf(NextPort++)));
  }

  std::uint64_t offered() const {
    return offeredIn("oostende") + offeredIn("zeebrugge");
  }
};

} // namespace

TEST_CASE_FIXTURE(zone_without_targets,
                  "targets of other zones get flows after they admitted none") {
  // Guards against a service that a zone refuses for good although targets of
  // other zones are ready again: nobody asked them, and idle agents send no
  // reports by themselves.
  refuseAll();
  setAdmitting(true);
  pass(2s);
  updateBalancers();
  const std::uint64_t Before = offered();

  CHECK(openNext() == forward_outcome::Placed);
  CHECK(offered() > Before);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(zone_without_targets,
                  "one of several targets that admits flows again gets them") {
  refuseAll();
  Hosts.at(2).Agent->setAdmitting(true);
  pass(2s);
  updateBalancers();
  for (int I = 0; I < 10; ++I) {
    CHECK(openNext() == forward_outcome::Placed);
    CHECK(resets() == 0);
  }

  CHECK(Hosts.at(2).Target.Offered >= 10);
}

TEST_CASE_FIXTURE(zone_without_targets,
                  "a flow is refused at once if the targets still admit none") {
  refuseAll();
  pass(2s);
  updateBalancers();
  openNext();
  CHECK(resets() == 1);
  pass(200ms);

  // Their reports are recent now: the balancer refuses without a packet to any
  // agent.
  Hops = 0;
  CHECK(openNext() == forward_outcome::NoTarget);
  CHECK(resets() == 1);
  CHECK(Hops == 0);
}

TEST_CASE_FIXTURE(zone_without_targets,
                  "a target that does not respond is not asked by a flow") {
  // Its caller would wait for an answer that does not come.
  refuseAll();
  for (auto &[Number, Host] : Hosts)
    Host.Cut = true;
  pass(2s);
  updateBalancers();
  openNext();
  pass(2s);
  updateBalancers();

  CHECK(openNext() == forward_outcome::NoTarget);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(zone_without_targets,
                  "targets of other zones get flows after "
                  "an evacuation of their zones has ended") {
  // Guards against flows that are refused by order although the order has been
  // withdrawn: the agents' last word, which nobody asked for again, said so.
  evacuateByNotice(10, /*Evacuated=*/true);
  openNext();
  pass(400ms);
  updateBalancers();
  REQUIRE(openNext() == forward_outcome::NoTarget);
  pass(3s);
  evacuateByNotice(11, /*Evacuated=*/false);
  updateBalancers();

  CHECK(openNext() == forward_outcome::Placed);
  CHECK(resets() == 0);
}
