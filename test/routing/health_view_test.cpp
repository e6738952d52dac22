#include "marjoramrail/routing.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using std::chrono::seconds;

static constexpr host_id First{1};
static constexpr host_id Second{2};
static constexpr host_id Third{3};
static const instant Start(seconds(100));

static void fail(health_view &View, host_id Host, std::uint32_t Times) {
  for (std::uint32_t I = 0; I < Times; ++I)
    View.outcome(Host, false, Start);
}

TEST_CASE("a target that fails its requests counts as unhealthy") {
  // The target's health endpoint reports that all is well while every amendment
  // fails. The target fails fast, so it looks idle and attracts more requests.
  health_view View;
  View.claim(First, true, Start);

  fail(View, First, health_view::FailuresToRefute - 1);
  CHECK(View.seemsHealthy(First, Start));
  fail(View, First, 1);
  CHECK_FALSE(View.seemsHealthy(First, Start));

  View.outcome(First, true, Start);
  CHECK(View.seemsHealthy(First, Start));
}

TEST_CASE("a refuted target is used again once its failures are old") {
  health_view View;
  fail(View, First, health_view::FailuresToRefute);

  CHECK(View.seemsHealthy(First, Start + health_view::OutcomeLifetime));
}

TEST_CASE("a claim to be unhealthy holds until it expires or work succeeds") {
  // The endpoint lags: the target has recovered and requests succeed, but the
  // endpoint still reports a fault of some seconds ago.
  health_view View;
  View.claim(First, false, Start);

  CHECK_FALSE(View.seemsHealthy(First, Start));
  CHECK(View.seemsHealthy(First, Start + health_view::ClaimLifetime));
  View.outcome(First, true, Start + seconds(1));
  CHECK(View.seemsHealthy(First, Start + seconds(2)));
  View.claim(First, false, Start + seconds(3));
  CHECK_FALSE(View.seemsHealthy(First, Start + seconds(4)));
}

TEST_CASE("all targets are used when most seem unhealthy at once") {
  // A fault on the path of the health probes makes every target look unhealthy.
  // Acting on it would reject all callers although the hosts work.
  health_view View;
  const std::vector<host_id> All = {First, Second, Third};
  View.claim(First, false, Start);
  CHECK(View.usable(All, Start) == std::vector<host_id>{Second, Third});

  View.claim(Second, false, Start);
  CHECK(View.usable(All, Start) == All);
}

TEST_CASE("coldStartPercent rises from its floor to 100") {
  constexpr duration Ramp = seconds(10);

  CHECK(coldStartPercent(seconds(0), Ramp) == ColdStartFloor);
  CHECK(coldStartPercent(seconds(5), Ramp) == 55);
  CHECK(coldStartPercent(seconds(10), Ramp) == 100);
  CHECK(coldStartPercent(seconds(99), Ramp) == 100);
  CHECK(coldStartPercent(seconds(-1), Ramp) == ColdStartFloor);
  CHECK(coldStartPercent(seconds(0), seconds(0)) == 100);
}
