#include "fleet/small_fleet.h"

#include "fleet/applied_tree.h"
#include "fleet/byte_budget.h"
#include "fleet/datagrams.h"
#include "fleet/message.h"
#include "fleet/peer_table.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using marjoramrail::testing::process;
using marjoramrail::testing::small_fleet;
using marjoramrail::testing::test_balancer;
using namespace std::chrono_literals;

namespace {

/// A fleet of many balancers and a few services.
struct wide_fleet : small_fleet {
  explicit wide_fleet(int Nodes) {
    for (int I = 0; I < Nodes; ++I)
      addBalancer("balancer-" + std::to_string(I), "zone");
    for (int I = 0; I < 6; ++I)
      addService(name(I), static_cast<std::uint32_t>(I + 1), 3, {"zone"});
  }

  static std::string name(int Service) {
    return "service" + std::to_string(Service);
  }

  void change(int Service) {
    auto Spec = parseService(Platform.get("service", name(Service)).Body,
                             name(Service));
    ++Spec->Address.Port;
    Platform.put("service", name(Service), toJson(*Spec));
  }

  bool isAppliedEverywhere(int Service) {
    const std::uint64_t Version =
        Platform.get("service", name(Service)).Version;
    return std::all_of(
        Balancers.begin(), Balancers.end(), [&](const auto &Balancer) {
          const membership *Members = Balancer->Node->find(name(Service));
          return !Balancer->isRunning() ||
                 (Members != nullptr && Members->SpecVersion >= Version);
        });
  }

  bool settle() {
    return runUntil(
               [&] {
                 for (int I = 0; I < 6; ++I)
                   if (!agreed(name(I), 3))
                     return false;
                 return true;
               },
               60s)
        .has_value();
  }

  service_status status(int Service) {
    auto Status = parseServiceStatus(
        Platform.get("service-status", name(Service)).Body, name(Service));
    return Status ? *Status : service_status();
  }
};

} // namespace

TEST_CASE("a change takes effect on forty balancers within seconds") {
  wide_fleet Fleet(40);
  REQUIRE(Fleet.settle());
  Fleet.run(10s);
  Fleet.change(0);

  const auto Took =
      Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(0); }, 19s);

  REQUIRE(Took);
  CHECK(*Took < 5s);
  Fleet.run(15s);
  CHECK(Fleet.status(0).AppliedOn == 40);
  CHECK(Fleet.status(0).AcceptedVersion ==
        Fleet.Platform.get("service", "service0").Version);
}

TEST_CASE("the status names a balancer that lags") {
  // One balancer is cut off when a change is accepted. Operators must see that
  // the change has not taken effect everywhere, and which balancer is missing.
  wide_fleet Fleet(12);
  REQUIRE(Fleet.settle());
  Fleet.run(10s);
  const process *Isolated = Fleet.Balancers[7].get();
  Fleet.Cut = [&](const process &From, const process &To) {
    return &From == Isolated || &To == Isolated;
  };
  Fleet.change(0);
  // Long enough for a report, too short for the balancer to be declared dead.
  Fleet.run(4s);

  const service_status Status = Fleet.status(0);
  CHECK(Status.AppliedOn < Status.Nodes);
  const bool Everywhere =
      std::any_of(Status.Conditions.begin(), Status.Conditions.end(),
                  [](const condition &Condition) {
                    return Condition.Type == "InForce" && Condition.Holds;
                  });
  CHECK_FALSE(Everywhere);

  Fleet.Cut = nullptr;
  Fleet.run(30s);
  CHECK(Fleet.isAppliedEverywhere(0));
}

TEST_CASE("changes reach all balancers when a third of datagrams is lost") {
  wide_fleet Fleet(20);
  REQUIRE(Fleet.settle());
  Fleet.Loss = 0.33;
  for (int I = 0; I < 6; ++I) {
    Fleet.change(I);
    CHECK(Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(I); }, 19s));
  }
}

TEST_CASE("no node is declared dead when a fifth of datagrams is lost") {
  // A congested link between zones drops packets. If nodes were marked dead
  // because of it, flows would move without need while links are scarce.
  wide_fleet Fleet(20);
  REQUIRE(Fleet.settle());
  Fleet.Loss = 0.2;
  Fleet.run(180s);

  std::uint64_t Down = 0;
  for (auto &Balancer : Fleet.Balancers) {
    Down += Balancer->Node->counters().HostsDeclaredDead;
    CHECK(Balancer->Node->balancers().size() == 20);
  }
  CHECK(Down == 0);
}

TEST_CASE("a storm of changes stays within the byte budget and takes effect") {
  // A script changes every service ten times a second for half a minute.
  // Versions in between need not arrive, but the last must, and control traffic
  // must not take bandwidth from the callers.
  wide_fleet Fleet(20);
  REQUIRE(Fleet.settle());
  Fleet.run(10s);
  std::vector<std::uint64_t> Before;
  for (auto &Balancer : Fleet.Balancers)
    Before.push_back(Balancer->Node->counters().BytesSent);
  for (int I = 0; I < 300; ++I) {
    for (int Service = 0; Service < 6; ++Service)
      Fleet.change(Service);
    Fleet.run(100ms);
  }
  for (std::size_t I = 0; I < Before.size(); ++I) {
    const double Rate =
        static_cast<double>(Fleet.Balancers[I]->Node->counters().BytesSent -
                            Before[I]) /
        30;
    // The budget with its burst, plus messages that are sent regardless of it.
    CHECK(Rate < 4096 + 4 * 4096 / 30.0 + 1500);
  }
  for (int Service = 0; Service < 6; ++Service)
    CHECK(Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(Service); },
                         19s));
}

TEST_CASE("balancers find each other again after a partition") {
  // Two regions are partitioned for minutes, longer than dead peers are
  // remembered.
  wide_fleet Fleet(10);
  REQUIRE(Fleet.settle());
  Fleet.Cut = [&](const process &From, const process &To) {
    const auto Left = [&](const process &Process) {
      return Process.At.Address % 2 == 0;
    };
    return Left(From) != Left(To);
  };
  Fleet.run(180s);
  Fleet.Cut = nullptr;
  Fleet.change(2);

  CHECK(Fleet.runUntil(
      [&] {
        return Fleet.isAppliedEverywhere(2) &&
               std::all_of(Fleet.Balancers.begin(), Fleet.Balancers.end(),
                           [](const auto &Balancer) {
                             return Balancer->Node->balancers().size() == 10;
                           });
      },
      60s));
}

TEST_CASE("an older view is ignored, whoever sends it") {
  // A peer that was frozen for an hour resumes and sends its old view. Applying
  // it would bring back targets that were removed long ago.
  wide_fleet Fleet(3);
  REQUIRE(Fleet.settle());
  membership Old = *Fleet.Balancers[0]->Node->find("service0");
  Fleet.change(0);
  Fleet.run(5s);
  const std::uint64_t Version =
      Fleet.Balancers[0]->Node->find("service0")->View.Version;
  REQUIRE(Version > Old.View.Version);
  sendInPieces(encode(view_full{Old}), 1, [&](fleet_bytes Piece) {
    Fleet.Balancers[0]->Node->input({1, 1}, Piece);
    Fleet.Agents[0]->HeartbeatSender->input({1, 1}, Piece);
  });

  CHECK(Fleet.Balancers[0]->Node->find("service0")->View.Version == Version);
  CHECK(Fleet.Agents[0]->View->View.Version >= Version);
}

TEST_CASE("confirmations are deferred first when the byte budget runs low") {
  byte_budget Budget(1000, instant());
  CHECK(Budget.open(instant(), urgency::Later));
  Budget.spend(2500);
  CHECK_FALSE(Budget.open(instant(), urgency::Later));
  CHECK(Budget.open(instant(), urgency::Soon));
  Budget.spend(2500);
  CHECK_FALSE(Budget.open(instant(), urgency::Soon));
  CHECK(Budget.open(instant(), urgency::Now));
  CHECK(Budget.open(instant(2s), urgency::Soon));
}

TEST_CASE("a balancer counted twice does not make up for a missing one") {
  // While nodes know different peers, one may report to two parents and another
  // to none. The total then has the right count, and an operator would read
  // that a change has taken effect where it has not.
  timer_service Timers;
  peer_table Peers({"a", "zone", {1, 1}, 1}, 1);
  Peers.take({{"b", "zone", {2, 2}, 1}, peer_state::Alive}, instant());
  Peers.take({{"c", "zone", {3, 3}, 1}, peer_state::Alive}, instant());
  const view_store Views;
  applied_tree Tree(Timers, Peers, Views,
                    {.Send = [](const endpoint &, const message &) {},
                     .Holder =
                         [](const std::string &) {
                           return shard_lease_update{0, 1, "a", {1, 1}};
                         },
                     .OnChange = [](const std::string &) {}});
  const std::uint64_t Self = hashOfName("a");
  const std::uint64_t Other = hashOfName("b");

  Tree.take({}, {"root", 1, {{"ledger", 1, 3, Self ^ Other ^ Other, {}}}});
  CHECK_FALSE(Tree.summary("ledger").All);
  CHECK(Tree.summary("ledger").Nodes == 2);

  Tree.take(
      {}, {"root", 2, {{"ledger", 2, 3, Self ^ Other ^ hashOfName("c"), {}}}});
  CHECK(Tree.summary("ledger").All);
}

TEST_CASE("a node that gets no answers marks no peer dead") {
  // The node's own link has failed. If it marked its peers dead, it would
  // consider itself alone and claim every shard lease.
  peer_table Peers({"a", "zone", {1, 1}, 1}, 1);
  for (const char *Name : {"b", "c", "d", "e"})
    Peers.take({{Name, "zone", {2, 2}, 1}, peer_state::Alive}, instant());
  for (int Second = 1; Second < 60; ++Second) {
    Peers.nextToProbe(instant(std::chrono::seconds(Second)));
    Peers.tick(instant(std::chrono::seconds(Second)));
  }

  CHECK_FALSE(Peers.isLinkTrusted());
  CHECK(Peers.living().size() == 5);
}

TEST_CASE("a node that is marked dead refutes by a higher incarnation") {
  peer_table Peers({"a", "zone", {1, 1}, 7}, 1);
  Peers.take({{"a", "zone", {1, 1}, 7}, peer_state::Dead}, instant());

  CHECK(Peers.self().Incarnation == 8);
  CHECK(Peers.living().size() == 1);
}

TEST_CASE("a balancer that is restarted after its clock went back comes back") {
  // Guards against a balancer that its peers do not count as alive for its
  // whole life, because its incarnation is the time of day of its start.
  for (const duration Downtime : {duration(500ms), duration(60s)}) {
    CAPTURE(Downtime.count());
    wide_fleet Fleet(5);
    test_balancer &Ahead = Fleet.addBalancer("late", "zone", 12);
    REQUIRE(Fleet.settle());
    Ahead.Dead = true;
    Fleet.run(Downtime);
    test_balancer &Balancer =
        Fleet.startBalancer("late", "zone", Ahead.At.Address, 9);
    Fleet.run(30s);

    for (const auto &Peer : Fleet.Balancers)
      if (Peer->isRunning())
        CHECK(Peer->Node->balancers().size() == 6);
    Fleet.change(0);
    Fleet.run(5s);
    CHECK(Fleet.isAppliedEverywhere(0));
    CHECK(Balancer.Node->ready());
  }
}
