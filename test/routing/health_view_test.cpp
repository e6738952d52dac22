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

TEST_CASE("a target that fails its requests is not believed to be healthy") {
  // Its endpoint says that all is well while every amendment on it fails. It
  // fails fast, so it looks idle and draws more of them.
  health_view View;
  View.claim(First, true, Start);

  fail(View, First, health_view::FailuresToRefute - 1);
  CHECK(View.seemsHealthy(First, Start));
  fail(View, First, 1);
  CHECK_FALSE(View.seemsHealthy(First, Start));

  View.outcome(First, true, Start);
  CHECK(View.seemsHealthy(First, Start));
}

TEST_CASE("a target that was refuted gets work again after a while") {
  health_view View;
  fail(View, First, health_view::FailuresToRefute);

  CHECK(View.seemsHealthy(First, Start + health_view::OutcomeLifetime));
}

TEST_CASE("a claim of illness holds until work or time speaks against it") {
  // The endpoint lags: the target has recovered, and requests succeed, but it
  // still reports the fault of some seconds ago.
  health_view View;
  View.claim(First, false, Start);

  CHECK_FALSE(View.seemsHealthy(First, Start));
  CHECK(View.seemsHealthy(First, Start + health_view::ClaimLifetime));
  View.outcome(First, true, Start + seconds(1));
  CHECK(View.seemsHealthy(First, Start + seconds(2)));
  View.claim(First, false, Start + seconds(3));
  CHECK_FALSE(View.seemsHealthy(First, Start + seconds(4)));
}

TEST_CASE("the view is distrusted when most targets seem ill at once") {
  // One fault on the probes' own way makes every target look ill. Believed, it
  // would turn all callers away from hosts that work.
  health_view View;
  const std::vector<host_id> All = {First, Second, Third};
  View.claim(First, false, Start);
  CHECK(View.usable(All, Start) == std::vector<host_id>{Second, Third});

  View.claim(Second, false, Start);
  CHECK(View.usable(All, Start) == All);
}

TEST_CASE("coldStartPercent grows from its floor to all") {
  constexpr duration Ramp = seconds(10);

  CHECK(coldStartPercent(seconds(0), Ramp) == ColdStartFloor);
  CHECK(coldStartPercent(seconds(5), Ramp) == 55);
  CHECK(coldStartPercent(seconds(10), Ramp) == 100);
  CHECK(coldStartPercent(seconds(99), Ramp) == 100);
  CHECK(coldStartPercent(seconds(-1), Ramp) == ColdStartFloor);
  CHECK(coldStartPercent(seconds(0), seconds(0)) == 100);
}
