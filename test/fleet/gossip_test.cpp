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
using namespace std::chrono_literals;

namespace {

/// Many balancers before a few services.
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
          return !Balancer->runs() ||
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

TEST_CASE("a change is in force on forty balancers within seconds") {
  wide_fleet Fleet(40);
  REQUIRE(Fleet.settle());
  Fleet.run(10s);
  Fleet.change(0);

  const auto Took =
      Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(0); }, 19s);

  REQUIRE(Took);
  CHECK(*Took < 5s);
  Fleet.run(15s);
  CHECK(Fleet.status(0).InForceOn == 40);
  CHECK(Fleet.status(0).AcceptedVersion ==
        Fleet.Platform.get("service", "service0").Version);
}

TEST_CASE("the status names a balancer that lags") {
  // One balancer is cut off when a change is accepted: operators must see that
  // it is not in force everywhere, and where it is missing.
  wide_fleet Fleet(12);
  REQUIRE(Fleet.settle());
  Fleet.run(10s);
  const process *Isolated = Fleet.Balancers[7].get();
  Fleet.Cut = [&](const process &From, const process &To) {
    return &From == Isolated || &To == Isolated;
  };
  Fleet.change(0);
  // Long enough for a report, too short for the balancer to be given up.
  Fleet.run(4s);

  const service_status Status = Fleet.status(0);
  CHECK(Status.InForceOn < Status.Nodes);
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

TEST_CASE("a third of all datagrams lost: changes still arrive everywhere") {
  wide_fleet Fleet(20);
  REQUIRE(Fleet.settle());
  Fleet.Loss = 0.33;
  for (int I = 0; I < 6; ++I) {
    Fleet.change(I);
    CHECK(Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(I); }, 19s));
  }
}

TEST_CASE("a fifth of all datagrams lost: nobody is taken for dead") {
  // A congested link between zones drops packets. Taking that for deaths would
  // move flows for nothing, on the day when links are scarce.
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

TEST_CASE("a storm of changes stays within the byte budget and ends in force") {
  // A script changes every service ten times a second for half a minute. The
  // versions in between need not arrive; the last must, and the links must not
  // be taken from the callers.
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
    // The budget with its burst, and what is sent whatever it says.
    CHECK(Rate < 4096 + 4 * 4096 / 30.0 + 1500);
  }
  for (int Service = 0; Service < 6; ++Service)
    CHECK(Fleet.runUntil([&] { return Fleet.isAppliedEverywhere(Service); },
                         19s));
}

TEST_CASE("balancers that were cut in two find each other again") {
  // Two regions lose each other for minutes, longer than the dead are
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

TEST_CASE("a view never goes back, whoever offers an older one") {
  // A peer that was frozen for an hour wakes up and sends what it had. Taken,
  // it would bring back targets that are long gone.
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

TEST_CASE("confirmations wait first when the byte budget runs low") {
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

TEST_CASE("a balancer counted twice does not stand for one that is missing") {
  // While nodes know different peers, one may report to two parents and another
  // to none. The sum is then right by number, and an operator would read that a
  // change is in force where it is not.
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

TEST_CASE("a node that nobody answers buries nobody") {
  // Its own link is what failed. Were it to bury its peers, it would think
  // itself alone and claim every duty.
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

TEST_CASE("a node that is called dead objects by a higher incarnation") {
  peer_table Peers({"a", "zone", {1, 1}, 7}, 1);
  Peers.take({{"a", "zone", {1, 1}, 7}, peer_state::Dead}, instant());

  CHECK(Peers.self().Incarnation == 8);
  CHECK(Peers.living().size() == 1);
}
