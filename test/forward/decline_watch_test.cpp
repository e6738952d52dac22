#include "forward/decline_watch.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static instant at(duration Time) { return instant(10s) + Time; }

TEST_CASE("decline_watch believes several flows in a row") {
  decline_watch Watch;
  CHECK_FALSE(Watch.onDeclined(at(0ms)));
  CHECK_FALSE(Watch.onDeclined(at(1ms)));
  CHECK_FALSE(Watch.isDeclining());
  CHECK(Watch.onDeclined(at(2ms)));
  CHECK(Watch.isDeclining());
}

TEST_CASE("decline_watch forgets after a flow that was taken") {
  // A target whose queue is full for a moment takes one flow in two. Left out,
  // it would idle while the others get its share.
  decline_watch Watch;
  for (int Round = 0; Round < 20; ++Round) {
    Watch.onDeclined(at(0ms));
    Watch.onDeclined(at(0ms));
    Watch.onOpened();
  }
  CHECK_FALSE(Watch.isDeclining());
}

TEST_CASE("decline_watch tells the change once") {
  decline_watch Watch;
  int Transitions = 0;
  for (int Flow = 0; Flow < 50; ++Flow)
    Transitions += Watch.onDeclined(at(0ms));
  CHECK(Transitions == 1);
}

TEST_CASE(
    "decline_watch tries one flow when the target says that it is ready") {
  // A target restarts after a crash and reports. One flow decides.
  decline_watch Watch;
  for (int Flow = 0; Flow < 50; ++Flow)
    Watch.onDeclined(at(0ms));
  Watch.onReady();
  CHECK_FALSE(Watch.isDeclining());
  Watch.onDeclined(at(1s));
  CHECK(Watch.isDeclining());
}

TEST_CASE("decline_watch tries again by itself") {
  // A target that is full reports nothing new when it has room again.
  decline_watch Watch;
  for (int Flow = 0; Flow < 3; ++Flow)
    Watch.onDeclined(at(0ms));
  Watch.tick(at(decline_watch::TrialInterval - 1ms));
  CHECK(Watch.isDeclining());
  Watch.tick(at(decline_watch::TrialInterval));
  CHECK_FALSE(Watch.isDeclining());
}
