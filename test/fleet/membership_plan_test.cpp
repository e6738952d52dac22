#include "fleet/membership_plan.h"

#include "fleet/view_delta.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// A service with hosts h1 to hN that send heartbeats.
struct plan_fixture {
  explicit plan_fixture(int Hosts) {
    service_spec Spec;
    Spec.Name = "ledger";
    Spec.Number = service_id{1};
    Input.Spec = Spec;
    Input.Term = 1;
    Input.Now = instant(100s);
    for (int I = 1; I <= Hosts; ++I)
      addHeartbeat(I, 1);
    step();
  }

  static std::string name(int Host) { return "h" + std::to_string(Host); }

  void addHeartbeat(int Host, std::uint32_t Incarnation) {
    host_evidence &Evidence = Input.Evidence[name(Host)];
    Evidence.Heartbeat.Service = "ledger";
    Evidence.Heartbeat.Host = name(Host);
    Evidence.Heartbeat.Agent = {static_cast<std::uint32_t>(Host), 4000};
    Evidence.Heartbeat.Incarnation = Incarnation;
  }

  void markDead(int Host) {
    Input.Evidence[name(Host)].Dead = true;
    Input.Evidence[name(Host)].DeadIncarnation = 1;
  }

  /// Plans, treats the plan as written and advances the clock by a second.
  membership_plan step() {
    Input.Current = Now ? &*Now : nullptr;
    membership_plan Plan = planMembership(Input);
    Now = Plan.Next;
    if (Plan.NewGeneration)
      Input.LastGeneration = Input.Now;
    Input.Now += 1s;
    return Plan;
  }

  std::size_t count(target_state State) const {
    return std::count_if(
        Now->View.Targets.begin(), Now->View.Targets.end(),
        [&](const target &Target) { return Target.State == State; });
  }

  plan_input Input;
  std::optional<membership> Now;
};

} // namespace

TEST_CASE("hosts that join together form one generation") {
  const plan_fixture Plan(7);

  REQUIRE(Plan.Now->View.Generations.size() == 1);
  CHECK(Plan.Now->View.Generations[0].Members.size() == 7);
}

TEST_CASE("an unchanged plan writes nothing") {
  plan_fixture Plan(7);
  CHECK_FALSE(Plan.step().Changed);
}

TEST_CASE("a raised term is written without a new version of the view") {
  plan_fixture Plan(7);
  const std::uint64_t Version = Plan.Now->View.Version;
  Plan.Input.Term = 2;

  const membership_plan Next = Plan.step();

  CHECK(Next.Changed);
  CHECK(Next.Next.Term == 2);
  CHECK(Next.Next.View.Version == Version);
}

TEST_CASE("a new version is above all versions that any node has seen") {
  // The platform was reset to a state before version 40 was written. Nodes that
  // hold version 40 would ignore another version 40 for ever.
  plan_fixture Plan(7);
  Plan.Input.KnownVersion = 40;
  Plan.addHeartbeat(8, 1);

  CHECK(Plan.step().Next.View.Version == 41);
}

TEST_CASE("at most a third of the targets leave per step") {
  // Many hosts are wrongly considered dead, or a zone fails: the other targets
  // have to take their flows.
  plan_fixture Plan(9);
  for (int I = 1; I <= 6; ++I)
    Plan.markDead(I);

  CHECK(Plan.step().HeldBack.contains(held_back::Paced));
  CHECK(Plan.count(target_state::Down) == 3);
  Plan.step();
  CHECK(Plan.count(target_state::Down) == 5);
  Plan.step();
  CHECK(Plan.count(target_state::Down) == 6);
}

TEST_CASE("when all targets seem dead the last one stays") {
  plan_fixture Plan(3);
  for (int I = 1; I <= 3; ++I)
    Plan.markDead(I);
  for (int I = 0; I < 5; ++I)
    Plan.step();

  CHECK(Plan.count(target_state::Ready) == 1);
  CHECK(Plan.step().HeldBack.contains(held_back::AllDead));
}

TEST_CASE("changes within a second form one generation") {
  plan_fixture Plan(3);
  Plan.Input.Now -= 500ms;
  Plan.addHeartbeat(4, 1);
  CHECK(Plan.step().HeldBack.contains(held_back::Coalesced));
  Plan.addHeartbeat(5, 1);
  CHECK(Plan.step().NewGeneration);
  CHECK(Plan.Now->View.Generations.size() == 2);
}

TEST_CASE("with all generations in use, joins wait and leaves do not") {
  plan_fixture Plan(3);
  for (int I = 4; I <= 12; ++I) {
    Plan.addHeartbeat(I, 1);
    Plan.step();
  }
  CHECK(Plan.Now->View.Generations.size() == MaxGenerations);
  Plan.markDead(1);
  CHECK(Plan.step().HeldBack.contains(held_back::GenerationsFull));
  CHECK(Plan.count(target_state::Down) == 1);

  for (int I = 2; I <= 12; ++I)
    Plan.Input.Evidence[plan_fixture::name(I)].Needs =
        Plan.Now->View.Generations.front().Number;
  Plan.step();
  CHECK(Plan.Now->View.Generations.size() == 2);
}

TEST_CASE("a generation stays until every living agent has reported") {
  // An agent that the lease holder has no report of yet may have flows of the
  // old generation. If it were dropped, their packets would be reset.
  plan_fixture Plan(3);
  Plan.addHeartbeat(4, 1);
  Plan.step();
  for (int I = 1; I <= 3; ++I)
    Plan.Input.Evidence[plan_fixture::name(I)].Needs = 2;
  Plan.step();
  CHECK(Plan.Now->View.Generations.size() == 2);

  Plan.markDead(4);
  Plan.step();
  CHECK(Plan.Now->View.Generations.back().Number >= 2);
}

TEST_CASE("a host declared dead rejoins only under a new incarnation") {
  plan_fixture Plan(3);
  Plan.markDead(1);
  Plan.step();
  Plan.Input.Evidence["h1"].Dead = false;
  Plan.step();
  CHECK(Plan.count(target_state::Down) == 1);

  Plan.addHeartbeat(1, 2);
  Plan.step();
  CHECK(Plan.count(target_state::Ready) == 3);
}

TEST_CASE("a heartbeat of a previous incarnation changes nothing") {
  // A datagram that the agent sent before its restart arrives late.
  plan_fixture Plan(3);
  Plan.addHeartbeat(1, 5);
  Plan.step();
  Plan.addHeartbeat(1, 2);
  CHECK_FALSE(Plan.step().Changed);
}

TEST_CASE("deltas give the same result as sending full views") {
  // Compares with a naive version that sends every view in full.
  std::mt19937_64 Random(5);
  plan_fixture Plan(6);
  membership Replica = *Plan.Now;
  for (int Round = 0; Round < 300; ++Round) {
    const int Host = 1 + static_cast<int>(Random() % 12);
    switch (Random() % 4) {
    case 0:
      Plan.addHeartbeat(Host, 1 + static_cast<std::uint32_t>(Random() % 5));
      break;
    case 1:
      Plan.markDead(Host);
      break;
    case 2:
      Plan.Input.Drained.insert(plan_fixture::name(Host));
      break;
    default:
      Plan.Input.Drained.clear();
      for (auto &[Name, Evidence] : Plan.Input.Evidence)
        Evidence.Needs = Plan.Now->View.Generations.front().Number;
    }
    const membership Before = *Plan.Now;
    Plan.step();
    const auto Next = applyDelta(Replica, makeDelta(Before, *Plan.Now));
    REQUIRE(Next);
    Replica = *Next;
    REQUIRE(Replica == *Plan.Now);
  }
}

TEST_CASE("a delta on another base is refused") {
  plan_fixture Plan(3);
  const membership Old = *Plan.Now;
  Plan.addHeartbeat(4, 1);
  Plan.step();
  const membership Middle = *Plan.Now;
  Plan.addHeartbeat(5, 1);
  Plan.step();

  CHECK_FALSE(applyDelta(Old, makeDelta(Middle, *Plan.Now)));
}
