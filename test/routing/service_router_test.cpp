#include "routing/sample_view.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace marjoramrail;
using namespace marjoramrail::test;

static constexpr std::uint32_t Flows = 20000;

static std::vector<host_id> hostsOf(const service_router &Router,
                                    const owner_list &List) {
  std::vector<host_id> Hosts;
  for (const std::uint16_t Position : List)
    Hosts.push_back(Router.targetAt(Position).Id);
  return Hosts;
}

/// The number of sample flows for which each host is the first choice.
static std::vector<double> firstChoices(const service_view &View) {
  const service_router Router(View);
  std::vector<double> Count(View.Targets.size());
  for (std::uint32_t I = 0; I < Flows; ++I)
    Count[Router.choices(sampleFlow(I))[0]] += 1;
  return Count;
}

TEST_CASE("choices are different hosts of the newest generation") {
  const service_router Router(sampleView(7));
  for (std::uint32_t I = 0; I < 1000; ++I) {
    const owner_list Choices = Router.choices(sampleFlow(I));
    REQUIRE(Choices.size() == ChoicesPerGeneration);
    std::vector<std::uint16_t> Sorted(Choices.begin(), Choices.end());
    std::sort(Sorted.begin(), Sorted.end());
    CHECK(std::adjacent_find(Sorted.begin(), Sorted.end()) == Sorted.end());
  }
}

TEST_CASE("two routers of one view agree whatever the order of its targets") {
  // Every balancer rebuilds the views. If the order of targets mattered, two
  // balancers would send one flow to two hosts, and the caller would see a
  // reset.
  service_view Reversed = sampleView(7);
  std::reverse(Reversed.Targets.begin(), Reversed.Targets.end());
  std::reverse(Reversed.Generations[0].Members.begin(),
               Reversed.Generations[0].Members.end());
  const service_router First(sampleView(7));
  const service_router Second(Reversed);

  for (std::uint32_t I = 0; I < 1000; ++I)
    CHECK(hostsOf(First, First.owners(sampleFlow(I))) ==
          hostsOf(Second, Second.owners(sampleFlow(I))));
}

TEST_CASE("a host's share of new flows follows its weight") {
  service_view View = sampleView(4);
  const std::vector<std::uint16_t> Shares = {10, 20, 30, 40};
  for (std::size_t I = 0; I < Shares.size(); ++I)
    View.Generations[0].Members[I].Weight = Shares[I];

  const std::vector<double> Count = firstChoices(View);

  // Five standard deviations of a binomial count.
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    const double Expected = Flows * Shares[I] / 100.0;
    CHECK(std::abs(Count[I] - Expected) < 5 * std::sqrt(Expected));
  }
}

TEST_CASE("a host of weight 0 gets no flows") {
  service_view View = sampleView(5);
  View.Generations[0].Members[2].Weight = 0;
  const service_router Router(View);

  for (std::uint32_t I = 0; I < 1000; ++I) {
    CHECK_FALSE(Router.choices(sampleFlow(I)).contains(2));
    CHECK_FALSE(Router.owners(sampleFlow(I)).contains(2));
  }
}

TEST_CASE("once a generation was dropped, owners contain every target") {
  // A flow outlives the generations that contained its owner. If no list
  // contained the owner, the flow would be reset although its owner is running.
  service_view View = sampleView(owner_list::Capacity);
  View.Targets[3].State = target_state::Down;
  View.Generations[0].Number = 2;
  const service_router Router(View);

  CHECK(Router.listsEveryTarget());
  for (std::uint32_t I = 0; I < 100; ++I) {
    const owner_list Owners = Router.owners(sampleFlow(I));
    const std::set<std::uint16_t> Named(Owners.begin(), Owners.end());
    CHECK(Named.size() == Owners.size());
    CHECK(Named.size() == owner_list::Capacity - 1);
    CHECK_FALSE(Named.contains(3));
  }
  CHECK_FALSE(
      service_router(sampleView(owner_list::Capacity + 1)).listsEveryTarget());
}

TEST_CASE("a joining host changes the owner only of flows that it takes") {
  const service_router Before(sampleView(7));
  const service_router After(sampleView(8));

  for (std::uint32_t I = 0; I < 1000; ++I) {
    const std::uint16_t Now = After.choices(sampleFlow(I))[0];
    CHECK((Now == 7 || Now == Before.choices(sampleFlow(I))[0]));
  }
}

TEST_CASE("choices contain no target that is draining or down") {
  // A draining host that still got new flows could never be stopped, and new
  // flows to a dead host would be reset.
  service_view View = sampleView(3);
  View.Targets[0].State = target_state::Draining;
  View.Targets[1].State = target_state::Down;
  const service_router Router(View);

  for (std::uint32_t I = 0; I < 100; ++I) {
    const owner_list Choices = Router.choices(sampleFlow(I));
    REQUIRE(Choices.size() == 1);
    CHECK(Choices[0] == 2);
  }
}

TEST_CASE("the first choice is followed by those in its zone") {
  // An agent that exceeds its share passes a SYN to the next choice. If that
  // were in another zone, each packet of the flow would cross a link that costs
  // more and drops packets.
  const service_router Router(sampleView(9));
  for (std::uint32_t I = 0; I < 1000; ++I) {
    const owner_list Choices = Router.choices(sampleFlow(I));
    REQUIRE(Choices.size() == ChoicesPerGeneration);
    CHECK(Choices[0] == Router.owners(sampleFlow(I))[0]);
    bool LeftZone = false;
    for (const std::uint16_t Choice : Choices) {
      const bool Same =
          Router.targetAt(Choice).Zone == Router.targetAt(Choices[0]).Zone;
      CHECK_FALSE((Same && LeftZone));
      LeftZone = LeftZone || !Same;
    }
  }
}

TEST_CASE("owners contain a draining target but none that is down") {
  service_view View = sampleView(3);
  View.Targets[0].State = target_state::Draining;
  View.Targets[1].State = target_state::Down;
  const service_router Router(View);

  for (std::uint32_t I = 0; I < 100; ++I) {
    const owner_list Owners = Router.owners(sampleFlow(I));
    CHECK(Owners.size() == 2);
    CHECK(Owners.contains(0));
    CHECK(Owners.contains(2));
  }
}

TEST_CASE("every choice of a new flow is among the owners of its packets") {
  service_view View = sampleView(9);
  View.Targets[4].State = target_state::Draining;
  const service_router Router(View);

  for (std::uint32_t I = 0; I < 1000; ++I) {
    const owner_list Owners = Router.owners(sampleFlow(I));
    for (const std::uint16_t Choice : Router.choices(sampleFlow(I)))
      CHECK(Owners.contains(Choice));
  }
}

TEST_CASE("owners hold the choices of every generation, newest first") {
  // All hosts are replaced, one set after the other, while a flow of the first
  // set stays open. If the choices of its generation were left out, its packets
  // would find no owner, and a planned change would reset the flow.
  service_view View = sampleView(0);
  View.Generations.clear();
  for (std::uint32_t G = 0; G < MaxGenerations; ++G) {
    const std::uint32_t First = G * ChoicesPerGeneration;
    for (std::uint32_t I = 0; I < ChoicesPerGeneration; ++I)
      View.Targets.push_back(sampleTarget(First + I));
    View.Generations.push_back(
        sampleGeneration(MaxGenerations - G, First, ChoicesPerGeneration));
  }
  const service_router Router(View);

  const owner_list Owners = Router.owners(sampleFlow(1));

  REQUIRE(Owners.size() == MaxGenerations * ChoicesPerGeneration);
  for (std::uint32_t G = 0; G < MaxGenerations; ++G)
    CHECK(Owners[G] / ChoicesPerGeneration == G);
}

TEST_CASE("a router handles a malformed view") {
  // The view comes from a newer or faulty writer: too many generations, members
  // that are not targets, weights above the limit.
  service_view View = sampleView(3);
  View.Generations[0].Members.push_back({host_id(99), FullWeight});
  View.Generations[0].Members[0].Weight = 65535;
  View.Generations.resize(MaxGenerations + 5, View.Generations[0]);
  const service_router Router(View);

  CHECK(Router.owners(sampleFlow(1)).size() == 3);
  CHECK(service_router(service_view()).owners(sampleFlow(1)).empty());
  CHECK(service_router(service_view()).choices(sampleFlow(1)).empty());
}

TEST_CASE("known flows keep their owners in every version of the program") {
  // During a rollout two versions of the balancer run side by side. If their
  // hashes differed, flows would break for as long.
  const service_router Router(sampleView(7));
  std::vector<std::uint16_t> First;
  for (std::uint32_t I = 0; I < 16; ++I)
    First.push_back(Router.choices(sampleFlow(I))[0]);

  const std::vector<std::uint16_t> Known = {5, 2, 0, 1, 5, 3, 2, 6,
                                            0, 4, 5, 2, 0, 2, 6, 0};
  CHECK(First == Known);
}
