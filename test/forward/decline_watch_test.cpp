#include "forward/decline_watch.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static instant at(duration Time) { return instant(10s) + Time; }

TEST_CASE("decline_watch reports several declines in a row") {
  decline_watch Watch;
  CHECK_FALSE(Watch.onDeclined(at(0ms)));
  CHECK_FALSE(Watch.onDeclined(at(1ms)));
  CHECK_FALSE(Watch.isDeclining());
  CHECK(Watch.onDeclined(at(2ms)));
  CHECK(Watch.isDeclining());
}

TEST_CASE("decline_watch starts again after an accepted flow") {
  // A target whose queue is full for a moment accepts every second flow. If it
  // counted as declining, it would be idle while the others get its share.
  decline_watch Watch;
  for (int Round = 0; Round < 20; ++Round) {
    Watch.onDeclined(at(0ms));
    Watch.onDeclined(at(0ms));
    Watch.onAccepted();
  }
  CHECK_FALSE(Watch.isDeclining());
}

TEST_CASE("decline_watch reports the transition once") {
  decline_watch Watch;
  int Transitions = 0;
  for (int Flow = 0; Flow < 50; ++Flow)
    Transitions += Watch.onDeclined(at(0ms));
  CHECK(Transitions == 1);
}

TEST_CASE(
    "decline_watch allows one trial when the target reports that it is ready") {
  // A target restarts after a crash and reports. A single flow then decides
  // whether it counts as declining.
  decline_watch Watch;
  for (int Flow = 0; Flow < 50; ++Flow)
    Watch.onDeclined(at(0ms));
  Watch.onReady();
  CHECK_FALSE(Watch.isDeclining());
  Watch.onDeclined(at(1s));
  CHECK(Watch.isDeclining());
}

TEST_CASE("decline_watch allows a trial after an interval") {
  // A target that was full sends no special report when it has free slots
  // again, so the watch must offer a flow by itself.
  decline_watch Watch;
  for (int Flow = 0; Flow < 3; ++Flow)
    Watch.onDeclined(at(0ms));
  Watch.tick(at(decline_watch::TrialInterval - 1ms));
  CHECK(Watch.isDeclining());
  Watch.tick(at(decline_watch::TrialInterval));
  CHECK_FALSE(Watch.isDeclining());
}
