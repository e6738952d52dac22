#include "fleet/site.h"

#include "fleet/membership_codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using marjoramrail::testing::process;
using marjoramrail::testing::site;
using marjoramrail::testing::test_agent;
using marjoramrail::testing::test_balancer;
using namespace std::chrono_literals;

namespace {

service_status statusOf(const site &Site, const std::string &Service) {
  auto Status = parseServiceStatus(
      Site.Platform.get("service-status", Service).Body, Service);
  return Status ? *Status : service_status();
}

std::string conditionOf(const service_status &Status, const std::string &Type) {
  for (const condition &Condition : Status.Conditions)
    if (Condition.Type == Type)
      return Condition.Holds ? Condition.Reason + "+" : Condition.Reason + "-";
  return "";
}

std::size_t newestMembers(const site &Site, const std::string &Service) {
  const membership *View = Site.Balancers[0]->Node->find(Service);
  return View->View.Generations.front().Members.size();
}

} // namespace

TEST_CASE("the status counts the balancers that apply a view") {
  site Site;
  REQUIRE(Site.settle());
  Site.run(10s);

  const service_status Status = statusOf(Site, "ledger");

  CHECK(Status.AppliedOn == 3);
  CHECK(Status.Nodes == 3);
  CHECK(Status.TargetsReady == 7);
  CHECK(conditionOf(Status, "InForce") == "+");
}

TEST_CASE("a draining target leaves the newest generation within 3 s") {
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  test_agent &Agent = Site.agent("ledger-3");
  Agent.Report.Draining = true;
  Agent.HeartbeatSender->sendNow();

  Site.run(3s);

  CHECK(Site.seenByAll("ledger-3", target_state::Draining));
  CHECK(newestMembers(Site, "ledger") == 6);

  Agent.Report.Draining = false;
  Site.run(5s);
  CHECK(Site.seenByAll("ledger-3", target_state::Ready));
  CHECK(newestMembers(Site, "ledger") == 7);
}

TEST_CASE("an operator's drain lasts until the operator removes it") {
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  Site.Platform.put("drain", "ledger-3",
                    toJson(drain_spec{"ledger-3", "new kernel"}));
  Site.run(3s);
  CHECK(Site.seenByAll("ledger-3", target_state::Draining));
  Site.run(20s);
  CHECK(Site.seenByAll("ledger-3", target_state::Draining));

  Site.Platform.erase("drain", "ledger-3");
  Site.run(4s);
  CHECK(Site.seenByAll("ledger-3", target_state::Ready));
}

TEST_CASE("the last serving target of a service is not drained") {
  // An operator drains every host of a service by mistake. If all were drained,
  // its callers would be refused everywhere.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  for (const char *Host : {"archive-1", "archive-2", "archive-3"})
    Site.Platform.put("drain", Host, toJson(drain_spec{Host, "oops"}));

  Site.run(10s);

  const membership *View = Site.Balancers[0]->Node->find("archive");
  CHECK(site::ready(*View) == 1);
  CHECK(conditionOf(statusOf(Site, "archive"), "HeldBack") == "last-target+");
}

TEST_CASE("past generations are kept while an agent needs them") {
  site Site;
  REQUIRE(Site.settle());
  Site.run(15s);
  REQUIRE(Site.Balancers[0]->Node->find("ledger")->View.Generations.size() ==
          1);
  Site.agent("ledger-1").NeedsOld = true;
  Site.Platform.put("drain", "ledger-3",
                    toJson(drain_spec{"ledger-3", "new kernel"}));
  Site.run(30s);
  CHECK(Site.Balancers[0]->Node->find("ledger")->View.Generations.size() == 2);

  Site.agent("ledger-1").NeedsOld = false;
  Site.run(15s);
  CHECK(Site.Balancers[0]->Node->find("ledger")->View.Generations.size() == 1);
}

TEST_CASE("the entry of a dead host is removed after ten minutes") {
  site Site;
  REQUIRE(Site.settle());
  Site.agent("ledger-3").Dead = true;
  Site.run(30s);
  CHECK(Site.seenByAll("ledger-3", target_state::Down));

  Site.run(700s);

  CHECK(Site.Balancers[0]->Node->find("ledger")->View.Targets.size() == 6);
  CHECK(Site.agreed("ledger", 6));
}

TEST_CASE("another balancer takes over when a lease holder dies") {
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  test_balancer *Holder = Site.holderOf("ledger");
  REQUIRE(Holder != nullptr);
  Holder->Dead = true;
  Site.agent("ledger-3").Dead = true;

  const auto Took = Site.runUntil(
      [&] { return Site.seenByAll("ledger-3", target_state::Down); }, 40s);

  CHECK(Took);
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("two of three balancers die: the third takes all shard leases") {
  // Two zones fail together. The remaining balancer cannot distinguish this
  // from a failure of its own link, so it declares no peer dead. But the leases
  // are free in the platform, and operators' changes must still take effect.
  for (int Which = 0; Which < 3; ++Which) {
    CAPTURE(Which);
    site Site;
    REQUIRE(Site.settle());
    Site.run(5s);
    for (int I = 0; I < 3; ++I)
      Site.Balancers[I]->Dead = I != Which;
    for (const char *Host : {"ledger-3", "archive-2"})
      Site.Platform.put("drain", Host, toJson(drain_spec{Host, "x"}));

    CHECK(Site.runUntil(
        [&] {
          return Site.seenByAll("ledger-3", target_state::Draining) &&
                 Site.seenByAll("archive-2", target_state::Draining);
        },
        40s));
    CHECK(Site.declaredDead() == 0);
  }
}

TEST_CASE("a holder that was frozen past its lease cannot write") {
  // The lease holder is frozen with a write about to leave. Another balancer
  // takes the lease over and changes the membership; then the first resumes
  // without knowing that time has passed.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  test_balancer *Holder = Site.holderOf("ledger");
  REQUIRE(Holder != nullptr);
  const auto TermOf = [&] {
    return internal::parseBody(Site.Platform.get("membership", "ledger").Body,
                               "ledger")
        ->Term;
  };
  const std::uint64_t Term = TermOf();
  // It learns of a drain; its write is delayed on the way for 20 s.
  Holder->Link.RequestDelay = 20s;
  Site.agent("ledger-5").Report.Draining = true;
  Site.agent("ledger-5").HeartbeatSender->sendNow();
  Site.run(1s);
  Holder->Frozen = true;
  Site.agent("ledger-5").Report.Draining = false;
  Site.run(17s);
  REQUIRE(Site.holderOf("ledger") != nullptr);
  REQUIRE(TermOf() > Term);
  const std::string Before = Site.Platform.get("membership", "ledger").Body;

  // The late write arrives.
  Site.run(5s);
  CHECK(Site.Platform.get("membership", "ledger").Body == Before);
  Holder->resume(Site.Net.now());
  Holder->Link.RequestDelay = 0s;
  Site.run(10s);

  CHECK(Holder->Node->counters().WritesFenced > 0);
  CHECK(Site.agreed("ledger", 7));
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("the platform is down for minutes: a new balancer gets all views") {
  // While the platform is down, a balancer's VM is replaced. It can learn the
  // views only from its peers, and callers' packets reach it at once.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  Site.Platform.Down = true;
  Site.run(180s);
  CHECK(Site.agreed("ledger", 7));
  Site.Balancers[2]->Dead = true;

  test_balancer &Fresh = Site.addBalancer("balancer-4", "zeebrugge");
  const auto Took = Site.runUntil(
      [&] {
        return Fresh.Node->find("ledger") != nullptr &&
               Fresh.Node->find("archive") != nullptr;
      },
      20s);
  REQUIRE(Took);
  CHECK(*Took < 6s);

  Site.agent("ledger-3").Dead = true;
  Site.run(20s);
  CHECK(Site.seenByAll("ledger-3", target_state::Ready));
  Site.Platform.Down = false;
  CHECK(Site.runUntil(
      [&] { return Site.seenByAll("ledger-3", target_state::Down); }, 40s));
}

TEST_CASE(
    "the platform is slow for minutes: leases stay, changes take effect") {
  // Each answer takes a second and a half. If holders gave up their leases for
  // that, leases would move between balancers and nothing would be written.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  const std::string Holder = Site.holderOf("ledger")->Name;
  Site.Platform.Delay = 1500ms;
  Site.run(120s);
  REQUIRE(Site.holderOf("ledger") != nullptr);
  CHECK(Site.holderOf("ledger")->Name == Holder);

  Site.Platform.put("drain", "ledger-3", toJson(drain_spec{"ledger-3", "x"}));
  CHECK(Site.runUntil(
      [&] { return Site.seenByAll("ledger-3", target_state::Draining); }, 10s));
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("an older state of the platform reverts nothing") {
  // After an outage the platform answers from a replica that is behind. If that
  // were accepted, a target drained since would get new work again.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  Site.Platform.saveOlder();
  Site.Platform.put("drain", "ledger-3", toJson(drain_spec{"ledger-3", "x"}));
  Site.run(5s);
  REQUIRE(Site.seenByAll("ledger-3", target_state::Draining));

  Site.Platform.Down = true;
  Site.run(30s);
  Site.Platform.Down = false;
  Site.Platform.ServeOlder = true;
  Site.run(60s);
  CHECK(Site.seenByAll("ledger-3", target_state::Draining));
  Site.Platform.ServeOlder = false;
  Site.run(20s);

  CHECK(Site.seenByAll("ledger-3", target_state::Draining));
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("a new holder ignores a list that is older than its lease") {
  // The lease holder dies while the replica that answers lists is behind. A new
  // holder that accepted the list would give a drained target new work.
  site Site;
  REQUIRE(Site.settle());
  Site.run(5s);
  Site.Platform.saveOlder();
  Site.Platform.put("drain", "ledger-3", toJson(drain_spec{"ledger-3", "x"}));
  Site.run(5s);
  REQUIRE(Site.seenByAll("ledger-3", target_state::Draining));

  Site.Platform.ListOlder = true;
  Site.holderOf("ledger")->Dead = true;
  bool Reverted = false;
  for (int I = 0; I < 300; ++I) {
    Site.run(100ms);
    Reverted = Reverted || Site.seenByAll("ledger-3", target_state::Ready);
  }
  CHECK_FALSE(Reverted);
  Site.Platform.ListOlder = false;
  Site.run(20s);

  CHECK(Site.seenByAll("ledger-3", target_state::Draining));
  CHECK(Site.holderOf("ledger") != nullptr);
}

TEST_CASE("answers lost after the write took effect change nothing") {
  site Site;
  Site.Platform.LoseAnswers = 10;
  CHECK(Site.settle());
  for (int I = 0; I < 5; ++I) {
    Site.Platform.LoseAnswers = 3;
    Site.Platform.put("drain", "ledger-3", toJson(drain_spec{"ledger-3", "x"}));
    Site.run(8s);
    CHECK(Site.seenByAll("ledger-3", target_state::Draining));
    Site.Platform.LoseWrites = 2;
    Site.Platform.erase("drain", "ledger-3");
    Site.run(8s);
    CHECK(Site.seenByAll("ledger-3", target_state::Ready));
  }
  CHECK(Site.versionsOnlyGrew());
}

TEST_CASE("two operators change one service: one wins on all balancers") {
  // Both read the same version and write. The platform refuses the second; the
  // fleet must apply the one that was accepted.
  site Site;
  REQUIRE(Site.settle());
  const platform_object Current = Site.Platform.get("service", "ledger");
  std::vector<platform_outcome> Outcomes;
  for (const std::uint16_t Port : {8443, 9443}) {
    auto Spec = parseService(Current.Body, "ledger");
    REQUIRE(Spec);
    Spec->Address.Port = Port;
    platform_object Next = Current;
    Next.Body = toJson(*Spec);
    Site.Platform.api().Write({Next, Current.Version},
                              [&](const platform_reply &Reply) {
                                Outcomes.push_back(Reply.Outcome);
                              });
  }
  Site.run(10s);

  REQUIRE(Outcomes.size() == 2);
  CHECK(Outcomes[0] == platform_outcome::Ok);
  CHECK(Outcomes[1] == platform_outcome::Conflict);
  for (auto &Balancer : Site.Balancers)
    CHECK(Balancer->Node->find("ledger")->View.Address.Port == 8443);
  CHECK(statusOf(Site, "ledger").AcceptedVersion > Current.Version);
}

TEST_CASE("an invalid spec leaves the last valid one in effect") {
  site Site;
  REQUIRE(Site.settle());
  Site.Platform.put("service", "ledger", "{\"address\": 5}");
  Site.run(10s);

  CHECK(Site.agreed("ledger", 7));
  const std::string Accepted =
      conditionOf(statusOf(Site, "ledger"), "Accepted");
  CHECK(Accepted.size() > 1);
  CHECK(Accepted.back() == '-');
}

TEST_CASE("after random faults the fleet converges like a full broadcast") {
  // Losses, partitions, frozen hosts, outages and lost answers occur together.
  // After they end, every balancer has what the platform holds, as if each
  // write had been sent to all of them.
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    CAPTURE(Seed);
    site Site(Seed, 5);
    std::mt19937_64 Random(Seed);
    REQUIRE(Site.settle());
    const process *Isolated = nullptr;
    Site.Cut = [&](const process &From, const process &To) {
      return &From == Isolated || &To == Isolated;
    };
    for (int Round = 0; Round < 12; ++Round) {
      Site.Loss = Random() % 3 == 0 ? 0.2 : 0;
      Site.Platform.Down = Random() % 4 == 0;
      Site.Platform.LoseAnswers = static_cast<int>(Random() % 3);
      Isolated = Random() % 2 == 0
                     ? Site.Balancers[Random() % Site.Balancers.size()].get()
                     : nullptr;
      const std::string Host = "ledger-" + std::to_string(1 + Random() % 7);
      if (Random() % 2 == 0)
        Site.Platform.put("drain", Host, toJson(drain_spec{Host, "x"}));
      else
        Site.Platform.erase("drain", Host);
      test_agent &Agent = *Site.Agents[Random() % Site.Agents.size()];
      Agent.Frozen = true;
      Site.run(std::chrono::milliseconds(Random() % 12000));
      Agent.resume(Site.Net.now());
    }
    Isolated = nullptr;
    Site.Loss = 0;
    Site.Platform.Down = false;
    for (int I = 1; I <= 7; ++I)
      Site.Platform.erase("drain", "ledger-" + std::to_string(I));

    Site.run(60s);

    CHECK(Site.agreed("ledger", 7));
    CHECK(Site.agreed("archive", 3));
    CHECK(Site.versionsOnlyGrew());
    for (auto &Balancer : Site.Balancers)
      for (const char *Service : {"ledger", "archive"}) {
        const auto Current = internal::parseBody(
            Site.Platform.get("membership", Service).Body, Service);
        // A raised term alone is not spread.
        CHECK(Balancer->Node->find(Service)->View == Current->View);
        CHECK(Balancer->Node->find(Service)->Info == Current->Info);
      }
  }
}
