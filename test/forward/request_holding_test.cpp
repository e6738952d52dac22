#include "forward/level_site.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

using bodies_list = std::vector<std::uint32_t>;

TEST_CASE_FIXTURE(busy_target,
                  "requests beyond the slots and one wait, by priority") {
  // A target would run them in the order of their arrival, the urgent ones
  // last.
  fill();
  for (const std::uint16_t Priority : {3, 1, 2, 0}) {
    caller Caller =
        openFlow(static_cast<std::uint16_t>(20 + Priority), Priority);
    request(Caller, 100U + Priority);
  }
  CHECK(bodies() == bodies_list{1, 2, 3});
  CHECK(held() == 4);

  freeSlot();
  CHECK(bodies() == bodies_list{1, 2, 3, 100});
  freeSlot();
  freeSlot();
  answer(1, {{0x64400000U + 20, 20}, routeOf(0)});
  CHECK(bodies() == bodies_list{1, 2, 3, 100, 101, 102, 103});
  CHECK(held() == 0);
}

TEST_CASE_FIXTURE(busy_target,
                  "a held request of several packets stays unchanged") {
  // A target that gets a part of a request, or its parts in another order,
  // answers 400 or waits for the rest.
  fill();
  caller Caller = openFlow(20);
  std::vector<test_frame> Sent;
  for (std::uint32_t Body = 50; Body < 60; ++Body) {
    Sent.push_back(nextPacket(Caller, Body));
    packet(1, Sent.back());
  }
  CHECK(held() == 1);
  freeSlot();

  const auto &Requests = Hosts[1].Target.Requests;
  REQUIRE(Requests.size() == 3 + Sent.size());
  for (std::size_t I = 0; I < Sent.size(); ++I) {
    CHECK(Requests[3 + I].Body == Sent[I].Body);
    CHECK(isSamePacket(Requests[3 + I].Segment.Head, Sent[I].Segment.Head));
  }
}

TEST_CASE_FIXTURE(busy_target, "a copy of a held packet is delivered once") {
  fill();
  caller Caller = openFlow(20);
  const test_frame First = nextPacket(Caller, 50);
  const test_frame Second = nextPacket(Caller, 51);
  for (const test_frame &Frame : {First, Second, First, Second, First})
    packet(1, Frame);
  CHECK(held() == 1);
  freeSlot();

  CHECK(bodies() == bodies_list{1, 2, 3, 50, 51});
}

TEST_CASE_FIXTURE(busy_target, "packets without payload pass") {
  // A target whose acknowledgement is missing would send its SYN again.
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  const std::size_t Before = Hosts[1].Target.Bare.size();
  packet(1, bare(Caller));

  CHECK(Hosts[1].Target.Bare.size() == Before + 1);
  CHECK(held() == 1);
}

TEST_CASE_FIXTURE(busy_target, "a reset cancels what is held for its flow") {
  // Running a request that nobody waits for takes a slot from others.
  fill();
  caller Gone = openFlow(20, 0);
  caller Waiting = openFlow(21, 3);
  request(Gone, 50);
  request(Waiting, 51);
  reset(Gone);
  CHECK(held() == 1);
  CHECK(Hosts[1].Target.Bare.back().Segment.Head.Rst);
  freeSlot();

  CHECK(bodies() == bodies_list{1, 2, 3, 51});
}

TEST_CASE_FIXTURE(busy_target, "a FIN cancels what is held for its flow") {
  fill();
  caller Gone = openFlow(20, 0);
  caller Waiting = openFlow(21, 3);
  request(Gone, 50);
  request(Waiting, 51);
  end(Gone);
  CHECK(held() == 1);
  CHECK(Hosts[1].Target.Bare.back().Segment.Head.Fin);
  freeSlot();

  CHECK(bodies() == bodies_list{1, 2, 3, 51});
}

TEST_CASE_FIXTURE(busy_target, "an agent that stops delivers what it holds") {
  // The next process does not have these packets, and callers would have to
  // send them again.
  fill();
  for (std::uint16_t Port = 20; Port < 28; ++Port) {
    caller Caller = openFlow(Port);
    for (std::uint32_t Part = 0; Part < 3; ++Part)
      request(Caller, Port * 10U + Part);
  }
  CHECK(held() == 8);
  Hosts[1].Agent->deliverHeld(Now);
  pass(20ms);

  std::map<std::uint32_t, bodies_list> PartsOf;
  for (const std::uint32_t Body : bodies())
    if (Body >= 200)
      PartsOf[Body / 10].push_back(Body % 10);
  CHECK(PartsOf.size() == 8);
  for (const auto &[Port, Parts] : PartsOf)
    CHECK(Parts == bodies_list{0, 1, 2});
  CHECK(held() == 0);
  CHECK(Hosts[1].Agent->held().Bytes == 0);
}

TEST_CASE_FIXTURE(busy_target,
                  "an agent that stops delivers flows as they arrived") {
  // The target queues what it gets, so an arbitrary order would let the last
  // caller pass the first.
  fill();
  bodies_list Sent{1, 2, 3};
  for (std::uint16_t Port = 20; Port < 60; ++Port) {
    caller Caller = openFlow(Port);
    request(Caller, Port);
    Sent.push_back(Port);
  }
  Hosts[1].Agent->deliverHeld(Now);
  pass(20ms);

  CHECK(bodies() == Sent);
}

TEST_CASE_FIXTURE(busy_target, "nothing held is delivered to the next target") {
  // The new process does not hold the flows, and a request must not run after
  // its caller has got a reset.
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  Hosts[1].Agent->setTargetStopped(true, Now);
  CHECK(held() == 0);
  CHECK(Hosts[1].Agent->held().Bytes == 0);
  CHECK(resets() == 4);
  pass(200ms);
  Hosts[1].Agent->setTargetStopped(false, Now);
  Hosts[1].Agent->setTarget(2, duration::zero(), Now);
  pass(2s);

  CHECK(bodies() == bodies_list{1, 2, 3});
}

TEST_CASE_FIXTURE(busy_target,
                  "a FIN that overtakes the answer does not free the slot") {
  // The target still runs the request.
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  finish(1, Running.back().Flow);
  CHECK(held() == 1);
  freeSlot();

  CHECK(bodies() == bodies_list{1, 2, 3, 50});
}

TEST_CASE_FIXTURE(busy_target,
                  "requests without answers block others for at most 500 ms") {
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  pass(480ms);
  CHECK(held() == 1);
  pass(20ms);

  CHECK(bodies() == bodies_list{1, 2, 3, 50});
}

TEST_CASE_FIXTURE(busy_target, "a caller's reset frees the slot it has") {
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  reset(Running.back());

  CHECK(bodies() == bodies_list{1, 2, 3, 50});
}

TEST_CASE_FIXTURE(busy_target, "a held request is delivered at its limit") {
  TimeLimit = 300ms;
  setLevelRoutes();
  fill();
  caller Caller = openFlow(20);
  request(Caller, 50);
  pass(280ms);
  CHECK(held() == 1);
  pass(20ms);

  CHECK(bodies() == bodies_list{1, 2, 3, 50});
}

TEST_CASE_FIXTURE(busy_target, "holding resets no open flow") {
  // A request on an open flow may have run, so its caller cannot repeat it.
  fill();
  std::vector<caller> Callers;
  for (std::uint16_t Port = 20; Port < 120; ++Port) {
    Callers.push_back(openFlow(Port, Port % Priorities));
    request(Callers.back(), Port);
  }
  CHECK(held() == 100);
  pass(12s);

  CHECK(resets() == 0);
  CHECK(bodies().size() == 103);
}

TEST_CASE("without levels nothing is held") {
  level_site Site;
  Site.HasLevels = false;
  Site.addTarget(1, 2);
  Site.Hosts[1].Target.AnswersWhenTold = true;
  Site.addLevelBalancer(1);
  Site.pass(1s);
  bodies_list Sent;
  for (std::uint16_t Port = 1; Port <= 20; ++Port) {
    level_site::caller Caller = Site.openFlow(Port);
    Site.request(Caller, Port);
    Sent.push_back(Port);
  }

  CHECK(Site.bodies() == Sent);
  CHECK(Site.held() == 0);
}

namespace {

/// What a target of four slots gets, and what callers get, if at most three
/// requests run at the same time.
struct light_load : level_site {
  explicit light_load(bool HasLevels) {
    this->HasLevels = HasLevels;
    addTarget(1, 4);
    Hosts[1].Target.ServiceTime = 60ms;
    addLevelBalancer(1);
    pass(1s);
    updateBalancers();
    std::minstd_rand Random(3);
    std::vector<caller> Callers;
    for (std::uint16_t Port = 1; Port <= 3; ++Port)
      Callers.push_back(openFlow(Port, Port));
    for (std::uint32_t Round = 0; Round < 300; ++Round) {
      std::shuffle(Callers.begin(), Callers.end(), Random);
      const std::size_t Count = Random() % (Callers.size() + 1);
      for (std::size_t I = 0; I < Count; ++I)
        request(Callers[I], static_cast<std::uint32_t>(Round * 10 + I));
      pass(80ms);
    }
  }
};

} // namespace

TEST_CASE("a target that is never full gets the packets as without levels") {
  const light_load With(true);
  const light_load Without(false);

  CHECK(With.bodies().size() > 300);
  CHECK(With.bodies() == Without.bodies());
  REQUIRE(With.Received.size() == Without.Received.size());
  for (std::size_t I = 0; I < With.Received.size(); ++I) {
    CHECK(With.Received[I].Body == Without.Received[I].Body);
    CHECK(isSamePacket(With.Received[I].Segment.Head,
                       Without.Received[I].Segment.Head));
  }
  CHECK(With.Hosts.at(1).Agent->counters().RequestsHeld == 0);
}
