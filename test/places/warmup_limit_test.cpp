#include "marjoramrail/places.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace std::chrono_literals;

static flow_key flowOf(unsigned Number) {
  return {{0x64400000 + Number, 40000}, {0x0a00ff01, 443}};
}

/// Offers flows at random moments for five seconds and returns the largest
/// number that was admitted within any second.
static std::size_t mostInOneSecond(warmup_limit &Limit, double PerSecond,
                                   unsigned Seed) {
  std::mt19937 Random(Seed);
  std::exponential_distribution<double> Gap(PerSecond);
  std::vector<instant> Admitted;
  instant Now{10s};
  for (unsigned Number = 0; Now < instant{15s}; ++Number) {
    Now += duration(static_cast<duration::rep>(Gap(Random) * 1e6));
    if (Limit.admits(flowOf(Number), Now))
      Admitted.push_back(Now);
  }
  std::size_t Most = 0;
  for (auto First = Admitted.begin(); First != Admitted.end(); ++First) {
    const auto End = std::upper_bound(First, Admitted.end(), *First + 1s);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

TEST_CASE("no second has more new flows than the limit") {
  // A zone returns and all its callers connect at once: each balancer sees an
  // idle target.
  struct row {
    double Rate, BurstFactor, BurstExtra;
    std::size_t Most;
  };
  for (const row &Row : {row{2, 1.5, 5, 8}, row{0.5, 1.5, 5, 5},
                         row{10, 1, 0, 10}, row{7, 1.2, 1, 9}})
    for (const double Load : {5.0, 50.0, 2000.0}) {
      warmup_limit Limit(
          warmup_limit::settings{Row.BurstFactor, Row.BurstExtra});
      Limit.setRate(Row.Rate);
      const std::size_t Most = mostInOneSecond(Limit, Load, 17);
      CHECK_MESSAGE(Most <= Row.Most, "rate ", Row.Rate, ", load ", Load,
                    ": expected at most ", Row.Most, ", got ", Most);
      if (Load >= 50)
        CHECK_MESSAGE(Most == Row.Most,
                      "expected the limit to be used: ", Row.Most, ", got ",
                      Most);
    }
}

TEST_CASE("a rate of 0 is no limit") {
  warmup_limit Limit(warmup_limit::settings{1.5, 5});
  Limit.setRate(0);
  for (unsigned Number = 0; Number < 1000; ++Number)
    CHECK(Limit.admits(flowOf(Number), instant{10s}));
}

TEST_CASE("before the rate is known only the extra flows are granted") {
  // The agent has just started and no balancer has told it the rate yet.
  warmup_limit Limit(warmup_limit::settings{1.5, 5});
  unsigned Admitted = 0;
  for (unsigned Number = 0; Number < 100; ++Number)
    Admitted += Limit.admits(flowOf(Number), instant{10s});

  CHECK(Admitted == 5);
}

TEST_CASE("a site that states no limit has none") {
  warmup_limit Limit(std::nullopt);
  for (unsigned Number = 0; Number < 1000; ++Number)
    CHECK(Limit.admits(flowOf(Number), instant{10s}));
}

TEST_CASE("a retransmitted first packet is not counted again") {
  warmup_limit Limit(warmup_limit::settings{1, 2});
  Limit.setRate(0.001);

  CHECK(Limit.admits(flowOf(1), instant{10s}));
  CHECK(Limit.admits(flowOf(1), instant{10s} + 200ms));
  CHECK(Limit.admits(flowOf(2), instant{10s} + 200ms));
  CHECK_FALSE(Limit.admits(flowOf(3), instant{10s} + 200ms));
}

TEST_CASE("a limit that was used up is free again after the window") {
  warmup_limit Limit(warmup_limit::settings{1, 1});
  Limit.setRate(0.001);

  CHECK(Limit.admits(flowOf(1), instant{10s}));
  CHECK(Limit.isExhausted(instant{10s} + 500ms));
  CHECK_FALSE(Limit.isExhausted(instant{10s} + 1100ms));
  CHECK(Limit.admits(flowOf(2), instant{10s} + 1100ms));
}
