#include "fleet/site.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using marjoramrail::testing::process;
using marjoramrail::testing::site;
using marjoramrail::testing::small_fleet;
using marjoramrail::testing::test_agent;
using marjoramrail::testing::test_balancer;
using namespace std::chrono_literals;

TEST_CASE("hosts that send heartbeats are in every balancer's view") {
  site Site;
  CHECK(Site.settle());
}

TEST_CASE("a fleet at rest writes nothing but leases") {
  // Storing heartbeats in the platform would exhaust it long before the target
  // size.
  site Site;
  REQUIRE(Site.settle());
  Site.run(20s);
  const std::uint64_t Before = Site.Platform.Writes;

  Site.run(60s);

  // Four leases, renewed every two seconds.
  CHECK(Site.Platform.Writes - Before <= 4 * 31);
}

TEST_CASE("a crashed host is declared dead and leaves the newest generation") {
  // A target VM dies. Until the balancers know, some new flows are sent to it
  // first.
  site Site;
  REQUIRE(Site.settle());
  Site.agent("ledger-3").Dead = true;

  const auto Took = Site.runUntil(
      [&] { return Site.seenByAll("ledger-3", target_state::Down); }, 20s);

  REQUIRE(Took);
  CHECK(*Took < 8s);
  Site.run(2s);
  const membership *View = Site.Balancers[0]->Node->find("ledger");
  CHECK(View->View.Generations.front().Members.size() == 6);
  CHECK(Site.declaredDead() == 1);
}

TEST_CASE("a restarted agent comes back under its new incarnation") {
  site Site;
  REQUIRE(Site.settle());
  Site.agent("ledger-3").Dead = true;
  Site.run(500ms);
  test_agent &Fresh = Site.addAgent("ledger", "ledger-3x", "brugge");
  Fresh.Dead = true;
  Site.agent("ledger-3").Host = "gone";

  Site.addAgent("ledger", "ledger-3", "brugge", 2);
  const auto Took = Site.runUntil(
      [&] {
        const membership *View = Site.Balancers[1]->Node->find("ledger");
        for (std::size_t I = 0; I < View->Info.size(); ++I)
          if (View->Info[I].Host == "ledger-3")
            return View->View.Targets[I].Incarnation == 2 &&
                   View->View.Targets[I].State == target_state::Ready;
        return false;
      },
      10s);

  CHECK(Took);
}

TEST_CASE("an agent that is restarted after its clock went back comes back") {
  // Guards against an agent whose heartbeats are ignored for its whole life,
  // because its incarnation is the time of day of its start.
  for (const duration Downtime : {duration(500ms), duration(20s)}) {
    CAPTURE(Downtime.count());
    site Site;
    REQUIRE(Site.settle());
    test_agent &Ahead =
        Site.restartAgent(Site.agent("ledger-3"), "ledger", /*Incarnation=*/12);
    Site.run(10s);
    REQUIRE(Site.agreed("ledger", 7));
    Ahead.Dead = true;
    Site.run(Downtime);

    test_agent &Agent = Site.restartAgent(Ahead, "ledger", /*Incarnation=*/9);
    Site.run(20s);

    CHECK(Site.agreed("ledger", 7));
    CHECK(Site.seenByAll("ledger-3", target_state::Ready));
    REQUIRE(Agent.View);
    CHECK(Agent.HeartbeatSender->incarnation() > 12);
    Agent.Report.Draining = true;
    Site.run(10s);
    CHECK_FALSE(Site.seenByAll("ledger-3", target_state::Ready));
  }
}

TEST_CASE("a host that one balancer cannot reach is not declared dead") {
  // A link between one balancer and one host fails in one direction. The host
  // still serves all others; declaring it dead would break its flows.
  site Site;
  REQUIRE(Site.settle());
  Site.Cut = [&](const process &From, const process &To) {
    return &From == &Site.agent("ledger-3") && &To == Site.Balancers[0].get();
  };

  Site.run(40s);

  CHECK(Site.declaredDead() == 0);
  CHECK(Site.seenByAll("ledger-3", target_state::Ready));
}

TEST_CASE("a balancer cut off from everything declares no host dead") {
  // A balancer's own link fails, so that all hosts stop responding to it at
  // once.
  for (int Which = 0; Which < 3; ++Which) {
    site Site;
    REQUIRE(Site.settle());
    const process *Isolated = Site.Balancers[Which].get();
    Site.Cut = [&](const process &From, const process &To) {
      return &From == Isolated || &To == Isolated;
    };

    Site.run(60s);
    Site.Cut = nullptr;
    Site.run(20s);

    CHECK(Site.declaredDead() == 0);
    CHECK(Site.agreed("ledger", 7));
  }
}

TEST_CASE("a balancer cut off from all hosts only declares none dead") {
  // Only the switch between one balancer and the target hosts fails.
  for (int Which = 0; Which < 3; ++Which) {
    site Site;
    REQUIRE(Site.settle());
    const process *WithoutHosts = Site.Balancers[Which].get();
    Site.Cut = [&](const process &From, const process &To) {
      return (&From == WithoutHosts || &To == WithoutHosts) &&
             (From.At.Address >> 24 == 0x0b || To.At.Address >> 24 == 0x0b);
    };

    Site.run(60s);

    CHECK(Site.declaredDead() == 0);
  }
}

TEST_CASE("a host frozen for a few seconds is not declared dead") {
  site Site;
  REQUIRE(Site.settle());
  test_agent &Agent = Site.agent("ledger-3");
  Agent.Frozen = true;
  Site.run(3s);
  Agent.resume(Site.Net.now());
  Site.run(10s);

  CHECK(Site.declaredDead() == 0);
  CHECK(Agent.TimesDeclaredDead == 0);
}

TEST_CASE("a host frozen for long learns that it was declared dead") {
  // A VM is paused by its hypervisor for half a minute. Its flows have been
  // given up meanwhile; if it continued as before, callers could get answers
  // from two targets.
  site Site;
  REQUIRE(Site.settle());
  test_agent &Agent = Site.agent("ledger-3");
  Agent.Frozen = true;
  Site.run(30s);
  REQUIRE(Site.seenByAll("ledger-3", target_state::Down));

  Agent.resume(Site.Net.now());
  const auto Took = Site.runUntil(
      [&] { return Site.seenByAll("ledger-3", target_state::Ready); }, 10s);

  CHECK(Took);
  CHECK(Agent.TimesDeclaredDead == 1);
  CHECK(Agent.HeartbeatSender->incarnation() == 2);
}

TEST_CASE("a zone fails at once, with its balancer and hosts") {
  site Site;
  REQUIRE(Site.settle());
  std::size_t DeadHosts = 0;
  for (auto &Agent : Site.Agents)
    if (Agent->Zone == "brugge" && Agent->Host.starts_with("ledger")) {
      Agent->Dead = true;
      ++DeadHosts;
    }
  Site.Balancers[1]->Dead = true;

  const auto Took =
      Site.runUntil([&] { return Site.agreed("ledger", 7 - DeadHosts); }, 40s);

  CHECK(Took);
  CHECK(Site.agreed("archive", 3));
}

TEST_CASE("every balancer replaced in turn: views only grow, none is lost") {
  site Site;
  REQUIRE(Site.settle());
  for (int I = 0; I < 3; ++I) {
    Site.Balancers[I]->Node->stop();
    Site.run(100ms);
    Site.Balancers[I]->Dead = true;
    test_balancer &Fresh = Site.addBalancer(
        "balancer-" + std::to_string(I + 11), Site.Balancers[I]->Zone);
    // At the end none of the configured seeds is running; the running balancers
    // know each other.
    REQUIRE(Site.runUntil([&] { return Fresh.Node->find("ledger") != nullptr; },
                          20s));
    Site.run(15s);
    REQUIRE(Site.agreed("ledger", 7));
  }
  CHECK(Site.declaredDead() == 0);
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("messages that cannot be decoded are counted and ignored") {
  site Site;
  REQUIRE(Site.settle());
  std::mt19937_64 Random(7);
  const std::uint64_t Before = Site.Balancers[0]->Node->counters().DecodeErrors;
  for (int I = 0; I < 2000; ++I) {
    std::vector<std::uint8_t> Bytes(Random() % 100);
    for (std::uint8_t &Byte : Bytes)
      Byte = static_cast<std::uint8_t>(Random());
    if (Bytes.size() > 12 && I % 2 == 0)
      Bytes = {'M',     'F',
               1,       0,
               0,       0,
               0,       1,
               0,       0,
               0,       1,
               0x82,    static_cast<std::uint8_t>(I % 16),
               0x81,    Bytes[0],
               Bytes[1]};
    Site.Balancers[0]->Node->input({1, 1}, Bytes);
    Site.agent("ledger-1").HeartbeatSender->input({1, 1}, Bytes);
  }
  CHECK(Site.Balancers[0]->Node->counters().DecodeErrors > Before + 1000);
  Site.run(10s);
  CHECK(Site.agreed("ledger", 7));
}
