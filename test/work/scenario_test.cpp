#include "work/scenarios.h"

#include <doctest/doctest.h>

using namespace load_model;

namespace {

double answeredShare(const outcome &Got) {
  return double(Got.Answered) / double(Got.Offered);
}

} // namespace

TEST_CASE("a burst of ten times the load is answered in full, a little later") {
  // For two seconds ten times as many requests arrive as usual. Callers get
  // refusals with a retry-after and then their answer.
  const outcome Got = simulate(burst());

  CHECK(answeredShare(Got) >= 0.99);
  CHECK(Got.LateRefusals == 0);
  CHECK(1 - double(Got.ReturnedRefused) / double(Got.Returned) >= 0.75);
}

TEST_CASE("light callers are answered while three take 70% of an overload") {
  // Three callers request more than the service's capacity. The other callers
  // must see no more than a short wait.
  const outcome Got = simulate(skewedCallers());

  CHECK(Got.LightAnswered >= 0.98);
  CHECK(Got.LightP99Ms <= 200);
  CHECK(Got.Goodput >= 0.85);
  CHECK(Got.LateRefusals == 0);
}

TEST_CASE("callers of a target ten times slower are hardly affected") {
  // One target of seven becomes slow. Its callers' flows stay with it, so their
  // requests have to be relayed; otherwise every seventh caller would be
  // refused.
  const outcome Got = simulate(slowTarget());

  CHECK(answeredShare(Got) >= 0.97);
  CHECK(Got.P99Ms <= 250);
}

TEST_CASE("short work passes long work that takes fifty times as long") {
  // One request in twenty takes a second instead of 20 ms. Callers with short
  // requests would wait behind four of them.
  const outcome Got = simulate(longAmongShort());

  CHECK(answeredShare(Got) >= 0.98);
  CHECK(Got.ShortP99Ms <= 150);
}

TEST_CASE("goodput stays at capacity under twice the load for a minute") {
  // Callers request twice the capacity of all targets. Half must be refused at
  // once; the other half is answered in bounded time.
  const outcome Got = simulate(saturation());

  CHECK(Got.Goodput >= 0.9);
  CHECK(Got.LateRefusals == 0);
  CHECK(Got.P99Ms <= 300);
  CHECK(Got.GivenUp == 0);
}

TEST_CASE("the service recovers at once after an outage with a retry storm") {
  // No target answers for five seconds, and callers retry repeatedly.
  // Afterwards the retries must not keep first tries from being answered in
  // time.
  const outcome Got = simulate(retryStorm());

  CHECK(answeredShare(Got) >= 0.88);
  CHECK(Got.Goodput >= 0.68);
}

TEST_CASE("busy time is even though flows are fixed unevenly to hosts") {
  // One host has four times as many long-lived flows as another. Without
  // relaying, its callers get their alerts late while other hosts are idle.
  for (const std::uint64_t Seed : {1, 2, 3}) {
    scenario S = unevenFlows();
    S.Seed = Seed;

    const outcome Got = simulate(S);

    CHECK(Got.Imbalance <= 1.15);
    CHECK(answeredShare(Got) >= 0.99);
  }
}

TEST_CASE("busy time is even on dispatch's two slots, zones 5 ms apart") {
  CHECK(simulate(unevenDispatch()).Imbalance <= 1.15);
}

TEST_CASE("replacing all hosts in turn cuts off no request") {
  // Each host drains, stops and returns cold, with 2,000 connections each. A
  // request in progress at a stop would be lost, and the caller could not tell
  // whether it ran.
  const outcome Got = simulate(rollingReplacement());

  CHECK(Got.CutOff == 0);
  CHECK(Got.GivenUp == 0);
  CHECK(answeredShare(Got) >= 0.99);
}

TEST_CASE("two faults and a replacement leave few callers without an answer") {
  // One target is slow, another gives no answer, a third is being replaced.
  const outcome Got = simulate(twoFaults());

  CHECK(answeredShare(Got) >= 0.97);
  CHECK(Got.CutOff == 0);
}

TEST_CASE("a target that declares too many slots gets only what it can run") {
  // Eight slots are declared, but with more than four every answer takes
  // longer: callers see higher latency at the same throughput.
  const outcome Got = simulate(declaredTooHigh());

  CHECK(Got.LastLimit <= 5);
  CHECK(Got.Goodput >= 0.9);
}

TEST_CASE("a target that declares too few slots is used in full") {
  // Two slots are declared for a target that could run four: callers are
  // refused although the target is idle.
  const outcome Got = simulate(declaredTooLow());

  CHECK(Got.LastLimit >= 3.5);
  CHECK(answeredShare(Got) >= 0.97);
}
