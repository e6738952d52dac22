#include "forward/failure_watch.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// A target that answers a hundred requests a second.
struct answering_target {
  failure_watch Watch;
  instant Now{10s};
  std::minstd_rand Random{11};

  void answer(double FailingShare) {
    Now += 10ms;
    Watch.onAnswer(std::bernoulli_distribution(FailingShare)(Random), Now);
    if (++Answers % 20 == 0)
      Watch.tick(Now);
  }

  int Answers = 0;
};

/// The share above which placement treats a target as failing if the others
/// fail nothing.
constexpr double Failing = 0.1;

} // namespace

TEST_CASE_FIXTURE(answering_target,
                  "failure_watch detects failures within a few answers") {
  // From now on four requests in ten fail; this must not affect callers for
  // seconds.
  int Needed = 0;
  while (Watch.share() <= Failing) {
    answer(0.4);
    REQUIRE(++Needed <= 30);
  }
}

TEST_CASE_FIXTURE(answering_target, "failure_watch ignores rare failures") {
  // One request in a hundred fails, which is normal and must not exclude a
  // target.
  int TimesFailing = 0;
  for (int Answer = 0; Answer < 10'000; ++Answer) {
    answer(0.01);
    TimesFailing += Watch.share() > Failing;
  }
  CHECK(TimesFailing < 100);
}

TEST_CASE_FIXTURE(answering_target, "failure_watch does not flap") {
  // Half of the requests fail; a few successful ones in a row must not bring
  // the target back every second.
  for (int Answer = 0; Answer < 50; ++Answer)
    answer(0.5);
  int Cleared = 0;
  for (int Answer = 0; Answer < 10'000; ++Answer) {
    answer(0.5);
    Cleared += Watch.share() <= Failing;
  }
  CHECK(Cleared == 0);
}

TEST_CASE_FIXTURE(answering_target, "failure_watch recovers") {
  for (int Answer = 0; Answer < 50; ++Answer)
    answer(1.0);
  SUBCASE("by successful answers") {
    for (int Answer = 0; Answer < 60; ++Answer)
      answer(0.0);
    CHECK(Watch.share() <= Failing);
  }
  SUBCASE("by decay while it gets no requests") {
    for (int Tick = 0; Tick < 20; ++Tick)
      Watch.tick(Now += 200ms);
    CHECK(Watch.share() <= Failing);
  }
}

TEST_CASE_FIXTURE(answering_target, "failure_watch signals few state changes") {
  int StateChanges = 0;
  for (int Answer = 0; Answer < 400; ++Answer) {
    answer(0.15);
    StateChanges += Watch.review();
  }
  CHECK(Watch.fails());
  CHECK(StateChanges <= 3);
  for (int Answer = 0; Answer < 100; ++Answer) {
    answer(0.0);
    Watch.review();
  }
  CHECK_FALSE(Watch.fails());
}
