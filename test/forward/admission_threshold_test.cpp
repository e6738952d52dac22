#include "forward/admission_threshold.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// Two priorities with routes: 1 with a limit of 4 s, 2 with a limit of 3 s.
struct threshold_fixture {
  admission_threshold Threshold;
  priority_waits Waits;
  instant Now{10s};

  threshold_fixture() {
    Waits[1].Limit = 4s;
    Waits[2].Limit = 3s;
    setWaits(0ms, 0ms);
  }

  void setWaits(duration Urgent, duration Other) {
    Waits[0].Shortest = 0ms;
    Waits[1].Shortest = Urgent;
    Waits[2].Shortest = Other;
    Waits[3].Shortest = Other;
  }

  void evaluate(int Times = 1) {
    for (int I = 0; I < Times; ++I) {
      Now += 200ms;
      Threshold.evaluate(Waits, Now);
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(threshold_fixture, "nothing is refused below the limits") {
  setWaits(4s, 3s);
  evaluate(20);
  CHECK_FALSE(Threshold.refusesFrom());
  CHECK_FALSE(Threshold.refuses(255));
}

TEST_CASE_FIXTURE(threshold_fixture,
                  "the least urgent priority is refused first") {
  // Callers of the urgent priority can still be served.
  setWaits(1s, 3100ms);
  evaluate(20);
  CHECK(Threshold.refuses(2));
  CHECK(Threshold.refuses(200));
  CHECK_FALSE(Threshold.refuses(1));
}

TEST_CASE_FIXTURE(threshold_fixture, "a single late report refuses nobody") {
  setWaits(1s, 3100ms);
  evaluate();
  CHECK_FALSE(Threshold.refuses(2));
  setWaits(1s, 2900ms);
  evaluate();
  setWaits(1s, 3100ms);
  evaluate();
  CHECK_FALSE(Threshold.refuses(2));
}

TEST_CASE_FIXTURE(threshold_fixture,
                  "an urgent priority is refused in its turn") {
  setWaits(5s, 5s);
  evaluate(2);
  CHECK_FALSE(Threshold.refuses(1));
  evaluate(2);
  CHECK(Threshold.refuses(1));
}

TEST_CASE_FIXTURE(threshold_fixture, "unknown waits refuse nobody") {
  // A target that has not reported may be idle.
  setWaits(5s, 5s);
  evaluate(4);
  for (priority_wait &Wait : Waits)
    Wait.Shortest.reset();
  evaluate(2);
  CHECK_FALSE(Threshold.refusesFrom());
}

TEST_CASE_FIXTURE(threshold_fixture,
                  "after an overload all priorities return within a second") {
  setWaits(5s, 5s);
  evaluate(10);
  REQUIRE(Threshold.refuses(1));
  setWaits(0ms, 0ms);
  evaluate(5);
  CHECK_FALSE(Threshold.refusesFrom());
}

TEST_CASE_FIXTURE(threshold_fixture,
                  "the threshold does not swing with a wait near the limit") {
  setWaits(1s, 3100ms);
  evaluate(2);
  REQUIRE(Threshold.refuses(2));
  const instant ChangedAt = Threshold.changedAt();
  for (int I = 0; I < 20; ++I) {
    setWaits(1s, I % 2 == 0 ? 2900ms : 3100ms);
    evaluate();
  }
  CHECK(Threshold.refuses(2));
  CHECK(Threshold.changedAt() == ChangedAt);
}

TEST_CASE_FIXTURE(threshold_fixture,
                  "a priority without a time limit is never refused") {
  Waits[2].Limit = 0ms;
  setWaits(1s, 1h);
  evaluate(20);
  CHECK_FALSE(Threshold.refusesFrom());
}

TEST_CASE("every sequence of waits ends with all priorities admitted") {
  // All sequences of up to six evaluations in which each wait is short, near
  // its limit, above it or unknown: the threshold must never get stuck.
  const std::array<std::optional<duration>, 4> Choices = {0ms, 2s, 5s,
                                                          std::nullopt};
  constexpr int Steps = 6;
  constexpr int Sequences = 4096;
  for (int Sequence = 0; Sequence < Sequences; ++Sequence) {
    admission_threshold Threshold;
    priority_waits Waits;
    instant Now{10s};
    int Rest = Sequence;
    for (int I = 0; I < Steps; ++I, Rest /= 4) {
      for (priority_wait &Wait : Waits)
        Wait = {Choices[static_cast<std::size_t>(Rest % 4)], 3s};
      Threshold.evaluate(Waits, Now += 200ms);
    }
    for (priority_wait &Wait : Waits)
      Wait.Shortest = 0ms;
    for (int I = 0; I < 5; ++I)
      Threshold.evaluate(Waits, Now += 200ms);
    REQUIRE_FALSE(Threshold.refusesFrom());
  }
}
