// Owner lookups that end at an agent that is down, and what a balancer does
// before the caller sends another copy of its packet.

#include "forward/forward_world.h"
#include "forward/pending_lookups.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Twelve targets in each of three zones, and a flow whose target is in the
/// zone that a new balancer's lookup comes to last.
struct sought_flow : forward_world {
  static constexpr unsigned Targets = 36;
  static constexpr unsigned NewBalancer = 10;
  flow_key Flow;
  std::uint32_t Ack = 0;

  sought_flow() {
    const char *Zones[] = {"brugge", "oostende", "zeebrugge"};
    for (unsigned Number = 1; Number <= Targets; ++Number)
      addHost(Number, "ledger", Zones[(Number - 1) / 12]);
    addBalancer(1, "zeebrugge");
    pass(1s);
    updateBalancers();
    std::uint16_t Port = 1000;
    do {
      Flow = flowOf(++Port);
      Ack = open(1, Flow);
    } while (ownerOf(Flow) <= 24);
  }

  /// Starts a balancer that has not seen any packet yet.
  void startBalancer() {
    addBalancer(NewBalancer, "brugge");
    updateBalancers();
  }

  /// The caller's packet arrives at the new balancer, with no copies
  /// afterwards.
  void send() {
    Received.clear();
    packet(NewBalancer, data(Flow, Ack));
  }

  /// Returns the agents that were offered the flow's packets, in their order.
  std::vector<unsigned> asked() const {
    std::vector<unsigned> Numbers;
    for (const flow_event &Event : Events)
      for (const auto &[Number, Host] : Hosts)
        if (Event.What == event_kind::OwnerLookupForwarded &&
            Event.Agent == agentAt(Number))
          Numbers.push_back(Number);
    return Numbers;
  }

  /// Agents that the lookup of a new balancer reaches before the owner.
  std::vector<unsigned> agentsBeforeOwner() {
    startBalancer();
    Events.clear();
    send();
    std::vector<unsigned> Before = asked();
    REQUIRE(Before.size() > 20);
    Before.pop_back();
    Balancers.erase(NewBalancer);
    pass(3s);
    updateBalancers();
    return Before;
  }

  std::uint64_t repeated() {
    return Balancers.at(NewBalancer)->counters().LookupsRepeated;
  }
};

} // namespace

TEST_CASE_FIXTURE(sought_flow, "a packet reaches its target soon although its "
                               "lookup ended at an agent that is down") {
  // Guards against packets that are kept from their target until the caller's
  // next copy, up to 1.6 s later.
  const std::vector<unsigned> Before = agentsBeforeOwner();
  for (const std::size_t Place :
       std::vector<std::size_t>{0, 5, 15, Before.size() - 1}) {
    CAPTURE(Place);
    Hosts[Before[Place]].Cut = true;
    startBalancer();
    send();
    CHECK(answers() == 0);
    pass(600ms);
    CHECK(answers() == 1);
    CHECK(resets() == 0);
    Hosts[Before[Place]].Cut = false;
    Balancers.erase(NewBalancer);
    pass(3s);
    updateBalancers();
  }
}

TEST_CASE_FIXTURE(sought_flow, "a packet reaches its target although each "
                               "lookup ends at another agent that is down") {
  // Agents are restarted one after the other, and each lookup reaches one that
  // has just been stopped.
  const std::vector<unsigned> Before = agentsBeforeOwner();
  startBalancer();
  Hosts[Before[3]].Cut = true;
  send();
  pass(200ms);
  Hosts[Before[12]].Cut = true;
  pass(200ms);
  Hosts[Before[18]].Cut = true;
  Hosts[Before[3]].Cut = false;
  pass(1s);

  CHECK(answers() == 1);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(sought_flow, "a packet reaches its target as soon as that "
                               "target's agent is up again") {
  startBalancer();
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Cut = true;
  send();
  pass(600ms);
  CHECK(answers() == 0);
  Hosts[Owner].Cut = false;
  pass(700ms);

  CHECK(answers() == 1);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(sought_flow,
                  "a lookup that finds the owner is not repeated") {
  startBalancer();
  send();
  CHECK(answers() == 1);
  pass(3s);

  CHECK(answers() == 1);
  CHECK(repeated() == 0);
}

TEST_CASE_FIXTURE(sought_flow, "a lookup that all agents have declined is not "
                               "repeated") {
  // Guards against lookups without end for the flows that a power failure has
  // ended.
  startBalancer();
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  Hosts[Owner].Agent->setAdmitting(true);
  send();
  CHECK(resets() == 1);
  pass(3s);

  CHECK(resets() == 1);
  CHECK(repeated() == 0);
}

TEST_CASE_FIXTURE(sought_flow,
                  "repeated lookups of many flows are limited while agents "
                  "are down") {
  // Guards against a storm of lookups after a power failure, when callers of
  // thousands of lost flows wait and some agents are down.
  startBalancer();
  for (unsigned Number = 6; Number <= Targets; Number += 6)
    Hosts[Number].Cut = true;
  for (std::uint16_t Port = 5000; Port < 6000; ++Port)
    packet(NewBalancer, data(flowOf(Port), 77));
  pass(2s);

  CHECK(repeated() > 0);
  CHECK(repeated() <= 64 + 2 * 40);
}

TEST_CASE("pending lookups are due in their order") {
  pending_lookups Pending;
  Pending.add({flowOf(1), {1}, instant{1s}, instant{1s}}, instant{1200ms});
  Pending.add({flowOf(2), {2}, instant{1s}, instant{1s}}, instant{1100ms});

  CHECK(Pending.nextDue() == instant{1100ms});
  CHECK_FALSE(Pending.takeDue(instant{1099ms}));
  CHECK(Pending.takeDue(instant{2s})->Flow == flowOf(2));
  CHECK(Pending.takeDue(instant{2s})->Flow == flowOf(1));
  CHECK_FALSE(Pending.takeDue(instant{2s}));
  CHECK_FALSE(Pending.nextDue());
}

TEST_CASE("a later packet of a flow takes the place of the pending one") {
  pending_lookups Pending;
  Pending.add({flowOf(1), {1}, instant{1s}, instant{1s}}, instant{1100ms});
  Pending.add({flowOf(1), {2}, instant{1050ms}, instant{1050ms}},
              instant{1150ms});

  CHECK_FALSE(Pending.takeDue(instant{1149ms}));
  CHECK(Pending.takeDue(instant{1150ms})->Packet.front() == 2);
}

TEST_CASE("lookups beyond a limit are not kept") {
  pending_lookups Pending;
  std::size_t Kept = 0;
  for (std::uint16_t Port = 0; Port < 1000; ++Port)
    Pending.add({flowOf(Port), {1}, instant{1s}, instant{1s}}, instant{2s});
  while (Pending.takeDue(instant{3s}))
    ++Kept;

  CHECK(Kept == pending_lookups::MaxLookups);
}
