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
  // The agent has acknowledged the drain, but the balancers do not know of it
  // yet.
  Hosts[1].Agent->setAdmitting(false);
  for (std::uint16_t Port = 1; Port <= 60; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[1].Target.Offered == 0);
  CHECK(Hosts[2].Target.Flows.size() + Hosts[3].Target.Flows.size() +
            Hosts[4].Target.Flows.size() ==
        60);
}

TEST_CASE_FIXTURE(small_site, "a reused address serves its new service") {
  // A VM was replaced and its address given to another service; the balancer's
  // registry still has the old entry.
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
                  "if no target accepts a flow, its caller gets a reset") {
  // All targets are full. A caller that gets a reset immediately can try again;
  // without it the caller waits for its time-out.
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

TEST_CASE_FIXTURE(small_site, "a target that hangs is skipped") {
  // A SYN offered to a frozen target is offered to the next one long before the
  // caller retransmits it.
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

TEST_CASE_FIXTURE(small_site, "a failed VM gets no more new flows") {
  Hosts[1].Cut = true;
  std::size_t Lost = 0;
  for (std::uint16_t Port = 1; Port <= 60; ++Port) {
    Received.clear();
    updateBalancers();
    packet(1, syn(flowOf(Port)));
    Lost += Received.empty();
    pass(40ms);
  }
  // Only SYNs of the first half second, before the failure is detected, are
  // lost.
  CHECK(Lost <= 8);

  Hosts[1].Cut = false;
  pass(1s);
  updateBalancers();
  for (std::uint16_t Port = 101; Port <= 160; ++Port)
    open(1, flowOf(Port));
  CHECK(Hosts[1].Target.Flows.size() > 5);
}

TEST_CASE_FIXTURE(small_site, "a copy of a SYN tries another target") {
  // The first SYN went to a VM that had just failed, and the caller retransmits
  // it before the failure is detected.
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

TEST_CASE_FIXTURE(small_site, "a flow without a route is reset") {
  setRoutes({});
  CHECK(packet(1, syn(flowOf(1))) == forward_outcome::NoRoute);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(small_site,
                  "a flow without a route is not reset on outdated knowledge") {
  // This balancer's knowledge is outdated; another balancer may have opened the
  // flow.
  setRoutes({});
  expireKnowledge();
  CHECK(packet(1, data(flowOf(1), 7)) == forward_outcome::Indeterminate);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "a VM that has failed for good is reported as lost") {
  // VMs fail every day without unregistering. Their entries would accumulate at
  // the end of every list, and no lost flow could be reset.
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

TEST_CASE_FIXTURE(small_site, "an agent that is not registered is notified") {
  // The agent was cut off, was assumed dead, and is reachable again. No
  // balancer sends packets to it, so it has to send reports by itself to learn
  // that it is unregistered.
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
  // A target becomes full between two of its reports while many callers connect
  // at once. If all of its flows went to the same next target, that one would
  // fill up too while others idle. The target has room now and then, so that it
  // does not count as one that accepts nothing.
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

TEST_CASE_FIXTURE(small_site,
                  "a new target is not notified as registered too early") {
  // A target has just been registered, and the store's answer to its agent was
  // lost. The first balancers know the entry; others may not, and would find
  // that no target owns its flows.
  addHost(5);
  Hosts[5].Agent->setAdmitting(false);
  pass(SettleTime - 200ms);
  CHECK(Hosts[5].Registered == 0);
  pass(1s);
  CHECK(Hosts[5].Registered > 0);
}

TEST_CASE_FIXTURE(small_site, "a target that all balancers know is notified") {
  // An agent is restarted while the store is unavailable and cannot read
  // whether its entry exists. Balancers that have known the entry for long
  // enough have to confirm it; otherwise the target gets no flows until the
  // store is available again.
  pass(SettleTime);
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  pass(2s);
  CHECK(Hosts[3].Registered > 0);
  CHECK(Hosts[1].Registered == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "an entry of another service does not make a target known") {
  // The address of a VM is reused by another service. Balancers have known the
  // address for long enough, but not for this service.
  pass(SettleTime);
  Hosts[3].Service = "archive";
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  pass(2s);
  CHECK(Hosts[3].Registered == 0);
}

TEST_CASE_FIXTURE(
    small_site, "a starting balancer notifies the agents it finds registered") {
  // All VMs lose power while the store is unavailable. When it recovers,
  // balancers read its registry at once, but agents retry at different times.
  // If balancers sent no notices, the first agent served by the store would get
  // every flow of the site for a second.
  Balancers.erase(1);
  startAgent(3);
  Hosts[3].Agent->setAdmitting(false);
  addBalancer(2);
  pass(40ms);
  CHECK(Hosts[3].RegistrationFound > 0);
  CHECK(Hosts[1].RegistrationFound == 0);
  CHECK(Hosts[3].Registered == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "a target registered later is not notified as found") {
  // The target was registered while this balancer ran, so other balancers may
  // not know it yet.
  addHost(5);
  Hosts[5].Agent->setAdmitting(false);
  pass(SettleTime - 200ms);
  CHECK(Hosts[5].RegistrationFound == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "an entry written by a balancer is not notified as found") {
  // Another balancer wrote the entry a moment ago on behalf of an agent that
  // the store refuses. Such an entry is as new as one that the agent wrote
  // itself.
  Hosts[3].ByPeer = true;
  Hosts[3].Agent->setAdmitting(false);
  addBalancer(2);
  pass(SettleTime - 200ms);
  CHECK(Hosts[3].RegistrationFound == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "a target that accepts nothing gets few new flows") {
  // A target's process has crashed, and its VM declines every new flow at once.
  // It has no flows and no requests in progress, so it looked like the best
  // choice of its zone. Each new flow went there first and then to the next
  // agent in the list, which filled up while others idled.
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

TEST_CASE_FIXTURE(small_site, "a target that accepts flows again gets some") {
  Hosts[1].Target.Full = true;
  for (std::uint16_t Port = 1; Port <= 100; ++Port)
    open(1, flowOf(Port));
  Hosts[1].Target.Full = false;
  pass(2400ms);
  for (std::uint16_t Port = 101; Port <= 200; ++Port)
    open(1, flowOf(Port));

  CHECK(Hosts[1].Target.Flows.size() >= 20);
}

TEST_CASE_FIXTURE(small_site, "if all targets decline, each is still tried") {
  // Every target of a service is full for a moment. Callers have to get a reset
  // at once, and the first target with room has to get flows again.
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
