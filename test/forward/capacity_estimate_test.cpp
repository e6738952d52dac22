#include "forward/capacity_estimate.h"

#include "marjoramrail/forward.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// A target of four slots that needs 100 ms for a request.
struct estimate_fixture {
  load_report Report;
  capacity_report Capacity;
  duration Age = 0ms;
  std::uint32_t Placed = 0;

  estimate_fixture() {
    Report.Slots = 4;
    Capacity.ServiceTime = 100ms;
  }

  capacity_observation seen() const { return {Report, Capacity, Age, Placed}; }
};

} // namespace

TEST_CASE_FIXTURE(estimate_fixture, "a target with a free slot has no wait") {
  Report.Active = 3;
  CHECK(estimatedWait(seen(), 1) == 0ms);
}

TEST_CASE_FIXTURE(estimate_fixture,
                  "requests beyond the slots are waited for") {
  Report.Active = 7;
  CHECK(estimatedWait(seen(), 1) == 100ms);
}

TEST_CASE_FIXTURE(estimate_fixture, "less urgent requests delay nobody") {
  Report.Active = 10;
  Capacity.Waiting = {0, 0, 2, 4};
  CHECK(requestsAhead(seen(), 1) == 4);
  CHECK(requestsAhead(seen(), 2) == 6);
  CHECK(requestsAhead(seen(), 200) == 10);
}

TEST_CASE_FIXTURE(estimate_fixture, "other balancers place as many flows") {
  Capacity.Balancers = 8;
  Placed = 2;
  CHECK(requestsAhead(seen(), 1) == 16);
}

TEST_CASE_FIXTURE(estimate_fixture, "a target works on after its report") {
  Report.Active = 8;
  Age = 100ms;
  CHECK(requestsAhead(seen(), 1) == 4);
  Age = 500ms;
  CHECK(requestsAhead(seen(), 1) == 0);
}

TEST_CASE_FIXTURE(estimate_fixture,
                  "the wait at a full target needs a known service time") {
  // A target that has answered nothing yet would otherwise look free, and all
  // others would pass their flows on to it.
  Capacity.ServiceTime = 0ms;
  Report.Active = 8;
  Age = 100ms;
  CHECK(requestsAhead(seen(), 1) == 8);
  CHECK_FALSE(estimatedWait(seen(), 1));
  Report.Active = 1;
  CHECK(estimatedWait(seen(), 1) == duration(0));
}

TEST_CASE("a burst between two reports is spread over all targets") {
  // Eight balancers place 100 flows within one report period, and three of five
  // targets were idle when they reported. If the report counted as the present
  // state, these three would get all flows.
  constexpr std::size_t Targets = 5;
  constexpr std::size_t Balancers = 8;
  constexpr std::size_t Flows = 100;
  constexpr duration Period = 200ms;
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::minstd_rand Random(Seed);
    std::array<load_report, Targets> Reports;
    capacity_report Capacity;
    Capacity.ServiceTime = 50ms;
    Capacity.Balancers = Balancers;
    for (std::size_t I = 0; I < Targets; ++I) {
      Reports[I].Slots = 4;
      Reports[I].Active = I < 3 ? 0 : 8;
    }
    std::array<std::array<std::uint32_t, Targets>, Balancers> Placed{};
    std::array<std::size_t, Targets> Taken{};
    for (std::size_t Flow = 0; Flow < Flows; ++Flow) {
      auto &Own = Placed[Flow % Balancers];
      std::vector<placement_candidate> Views(Targets);
      std::vector<std::size_t> Order;
      for (std::size_t I = 0; I < Targets; ++I) {
        const capacity_observation Seen{Reports[I], Capacity,
                                        Period * Flow / Flows, Own[I]};
        const double Ahead = requestsAhead(Seen, 1) - Own[I];
        Views[I].OwnZone = true;
        Views[I].Slots = 4;
        Views[I].Placed = Own[I];
        Views[I].Active =
            static_cast<std::uint16_t>(std::round(std::max(Ahead, 0.0)));
        Views[I].ServiceTime = Capacity.ServiceTime;
        Order.push_back(I);
      }
      std::shuffle(Order.begin(), Order.end(), Random);
      const auto Chosen = placement().choose(Views, Order);
      REQUIRE(Chosen);
      ++Own[*Chosen];
      ++Taken[*Chosen];
    }
    const std::size_t Most = *std::max_element(Taken.begin(), Taken.end());
    CHECK_MESSAGE(Most <= 2 * Flows / Targets, "seed ", Seed, ": ", Most);
  }
}
