#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct small_site : forward_world {
  small_site() {
    for (unsigned Number = 1; Number <= 4; ++Number)
      addHost(Number);
    addBalancer(1);
    pass(1s);
    updateBalancers();
  }
};

} // namespace

TEST_CASE_FIXTURE(small_site, "a draining target gets no new flow") {
  // Its agent has acknowledged; balancers have not heard yet.
  Hosts[1].Agent->setAdmitting(false);
  for (std::uint16_t Port = 1; Port <= 60; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[1].Target.Offered == 0);
  CHECK(Hosts[2].Target.Flows.size() + Hosts[3].Target.Flows.size() +
            Hosts[4].Target.Flows.size() ==
        60);
}

TEST_CASE_FIXTURE(small_site, "an address used again serves its new service") {
  // A VM was replaced and its address given to another service; the balancer's
  // list is of before.
  Hosts[2].Service = "archive";
  startAgent(2);
  Hosts[2].Agent->setAdmitting(true);
  for (std::uint16_t Port = 1; Port <= 60; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[2].Target.Offered == 0);
}

TEST_CASE_FIXTURE(small_site, "a full target's flow goes to the next") {
  Hosts[3].Target.Full = true;
  for (std::uint16_t Port = 1; Port <= 60; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[3].Target.Flows.empty());
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "if no target takes a flow, its caller hears it") {
  // Everything is full. A caller that is told at once can come back; one that
  // is kept waiting loses its time.
  for (auto &[Number, Host] : Hosts)
    Host.Target.Full = true;
  packet(1, syn(flowOf(1)));
  CHECK(resets() == 1);

  for (auto &[Number, Host] : Hosts)
    Host.Agent->setAdmitting(false);
  pass(600ms);
  updateBalancers();
  Received.clear();
  CHECK(packet(1, syn(flowOf(2))) == forward_outcome::NoTarget);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(small_site, "a target that hangs is passed by") {
  // A SYN put to a frozen target is offered to the next one long before the
  // caller sends it again.
  Hosts[1].Target.Frozen = true;
  std::size_t Opened = 0;
  for (std::uint16_t Port = 1; Port <= 30; ++Port) {
    Received.clear();
    packet(1, syn(flowOf(Port)));
    pass(100ms);
    Opened += Received.size() == 1;
  }
  CHECK(Opened == 30);
  CHECK(Hosts[1].ProbeRequested);
}

TEST_CASE_FIXTURE(small_site, "a VM that dies gets no more new flows") {
  Hosts[1].Cut = true;
  std::size_t Lost = 0;
  for (std::uint16_t Port = 1; Port <= 60; ++Port) {
    Received.clear();
    updateBalancers();
    packet(1, syn(flowOf(Port)));
    Lost += Received.empty();
    pass(40ms);
  }
  // Those of the first half second, before it was missed.
  CHECK(Lost <= 8);

  Hosts[1].Cut = false;
  pass(1s);
  updateBalancers();
  for (std::uint16_t Port = 101; Port <= 160; ++Port)
    open(1, flowOf(Port));
  CHECK(Hosts[1].Target.Flows.size() > 5);
}

TEST_CASE_FIXTURE(small_site, "a copy of a SYN tries another target") {
  // The first one went to a VM that had just died; the caller sends it again
  // before anyone has noticed.
  Hosts[1].Cut = true;
  std::size_t Lost = 0;
  for (std::uint16_t Port = 1; Port <= 20; ++Port) {
    Received.clear();
    packet(1, syn(flowOf(Port)));
    if (!Received.empty())
      continue;
    ++Lost;
    packet(1, syn(flowOf(Port), 1));
    CHECK(Received.size() == 1);
  }
  CHECK(Lost > 0);
}

TEST_CASE_FIXTURE(small_site, "no route, no flow") {
  setRoutes({});
  CHECK(packet(1, syn(flowOf(1))) == forward_outcome::NoRoute);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(small_site, "a route not heard of yet is not denied") {
  // This balancer is behind; another one may have opened the flow.
  setRoutes({});
  expireKnowledge();
  CHECK(packet(1, data(flowOf(1), 7)) == forward_outcome::Indeterminate);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site, "a VM that is gone for good is told so") {
  // Every day VMs die without a word. Their entries would pile up at the end of
  // every list, and no lost flow could be reset.
  Hosts[2].Cut = true;
  for (std::uint16_t Port = 1; Port <= 20; ++Port)
    packet(1, syn(flowOf(Port)));
  pass(FlowLife);
  CHECK(Lost.empty());

  pass(25s);
  REQUIRE_FALSE(Lost.empty());
  for (const endpoint &Agent : Lost)
    CHECK(Agent == agentAt(2));
}

TEST_CASE_FIXTURE(small_site, "an agent that the list lacks hears it") {
  // It was cut off, taken for dead, and is back. Nobody sends there, so it has
  // to call out itself.
  packet(1, syn(flowOf(1)));
  Hosts[3].InStore = false;
  for (int Second = 0; Second < 8; ++Second) {
    pass(1s);
    updateBalancers();
  }
  CHECK(Hosts[3].Unregistered > 0);
  CHECK(Hosts[1].Unregistered == 0);
}

TEST_CASE_FIXTURE(small_site, "a full target's flows spread over the others") {
  // A target fills up between two of its reports, and many callers connect at
  // once. If all of its flows went to the same next target, that one would fill
  // up too, while others idle.
  // It has room now and then, so that it is not taken for one that takes none.
  std::map<endpoint, int> Next;
  for (std::uint16_t Port = 2001; Port < 2401; ++Port) {
    forward_world::target &Target = Hosts[1].Target;
    Target.Full = (Target.Offered + Target.Declined) % 3 != 2;
    packet(1, syn(flowOf(Port)));
  }
  for (const flow_event &Event : Events)
    if (Event.What == event_kind::FlowHandedOn)
      ++Next[Event.Agent];

  REQUIRE(Next.size() == 3);
  int Total = 0;
  int Most = 0;
  for (const auto &[Agent, Count] : Next) {
    Total += Count;
    Most = std::max(Most, Count);
  }
  CHECK(Total >= 20);
  CHECK(Most * 3 <= Total * 2);
}

TEST_CASE_FIXTURE(small_site, "a new target is not called known too early") {
  // A target has just been announced, and the store's answer to its agent was
  // lost. The first balancers have heard of it; others may still be without it,
  // and would find that nobody holds its flows.
  addHost(5);
  Hosts[5].Agent->setAdmitting(false);
  pass(SettleTime - 200ms);
  CHECK(Hosts[5].Registered == 0);
  pass(1s);
  CHECK(Hosts[5].Registered > 0);
}

TEST_CASE_FIXTURE(small_site, "a target that all know hears it") {
  // An agent is restarted while the store is silent, and cannot read whether
  // its entry stands. Balancers that have known it for long tell it, or its
  // target would get no flows until the store is back.
  pass(SettleTime);
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  pass(2s);
  CHECK(Hosts[3].Registered > 0);
  CHECK(Hosts[1].Registered == 0);
}

TEST_CASE_FIXTURE(small_site, "a former entry makes no new target known") {
  // A VM's address is used again by another service. Balancers have known the
  // address for long, but not for this service.
  pass(SettleTime);
  Hosts[3].Service = "archive";
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  pass(2s);
  CHECK(Hosts[3].Registered == 0);
}

TEST_CASE_FIXTURE(small_site, "a balancer that starts tells whom it finds") {
  // All VMs lose power while the store is away. When it is back, balancers read
  // its list at once; agents are on their own, and the first one that the store
  // answers would get every flow of the site for a second.
  Balancers.erase(1);
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  addBalancer(2);
  pass(40ms);
  CHECK(Hosts[3].RegistrationFound > 0);
  CHECK(Hosts[1].RegistrationFound == 0);
  CHECK(Hosts[3].Registered == 0);
}

TEST_CASE_FIXTURE(small_site, "a target that came later was not found") {
  // It was announced while this balancer ran: others may not know it yet.
  addHost(5);
  Hosts[5].Agent->setAdmitting(false);
  pass(SettleTime - 200ms);
  CHECK(Hosts[5].RegistrationFound == 0);
}

TEST_CASE_FIXTURE(small_site, "what a balancer announced was not found") {
  // Another balancer wrote the entry a moment ago, for an agent that the store
  // refuses; it is as new as one that the agent has written.
  Hosts[3].ByPeer = true;
  Hosts[3].Agent->setAdmitting(false);
  addBalancer(2);
  pass(SettleTime - 200ms);
  CHECK(Hosts[3].RegistrationFound == 0);
}

TEST_CASE_FIXTURE(small_site, "a target that takes nothing draws no flows") {
  // A target's process has crashed, and its VM gives every new flow back at
  // once. It has no flows and nothing in progress, and looked like the best
  // choice of its zone: each new flow went there first and then to the next in
  // the list, which filled up while others idled.
  Hosts[1].Target.Full = true;
  for (std::uint16_t Port = 1; Port <= 400; ++Port) {
    open(1, flowOf(Port));
    if (Port % 20 == 0)
      pass(200ms);
  }

  CHECK(Hosts[1].Target.Declined >= 3);
  CHECK(Hosts[1].Target.Declined <= 20);
  for (const unsigned Other : {2U, 3U, 4U}) {
    CAPTURE(Other);
    CHECK(Hosts[Other].Target.Flows.size() >= 110);
    CHECK(Hosts[Other].Target.Flows.size() <= 160);
  }
}

TEST_CASE_FIXTURE(small_site, "a target that takes flows again gets some") {
  Hosts[1].Target.Full = true;
  for (std::uint16_t Port = 1; Port <= 100; ++Port)
    open(1, flowOf(Port));
  Hosts[1].Target.Full = false;
  pass(2400ms);
  for (std::uint16_t Port = 101; Port <= 200; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[1].Target.Flows.size() >= 20);
}

TEST_CASE_FIXTURE(small_site,
                  "where all targets decline, each is still asked") {
  // Every target of a service is full for a moment. Its callers are told at
  // once, and the first target that has room takes flows again.
  for (auto &[Number, Host] : Hosts)
    Host.Target.Full = true;
  for (std::uint16_t Port = 1; Port <= 50; ++Port)
    packet(1, syn(flowOf(Port)));
  CHECK(resets() == 50);
  Hosts[4].Target.Full = false;
  for (std::uint16_t Port = 101; Port <= 110; ++Port)
    open(1, flowOf(Port));
  CHECK(Hosts[4].Target.Flows.size() == 10);
}
