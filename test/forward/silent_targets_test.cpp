#include "forward/silence_watch.h"
#include "forward/small_site.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Five targets, of which the first has stopped answering.
struct silent_site : small_site {
  std::uint16_t NextPort = 1000;
  target &Silent = Hosts[1].Target;
  forward_agent &Agent = *Hosts[1].Agent;

  silent_site() {
    Silent.Frozen = true;
    openFlows(1s);
    REQUIRE(Agent.targetSilent());
    Silent.Offered = 0;
  }

  /// Opens a flow every 20 ms.
  void openFlows(duration Time) {
    for (const instant End = Now + Time; Now < End; pass(20ms)) {
      const flow_key Flow{{0x64400000U + NextPort, NextPort}, RouteAddress};
      packet(1 + NextPort % 2, syn(Flow));
      ++NextPort;
    }
  }

  std::uint64_t timedOut() const { return Agent.counters().TimedOut; }
};

} // namespace

TEST_CASE_FIXTURE(silent_site,
                  "a target that was silent gets its share once its process is "
                  "started anew") {
  // Guards against a host that crashes unnoticed, is started again and stays
  // unused, since only a flow would show that it answers.
  Silent.Frozen = false;
  Agent.onTargetStarted();
  openFlows(2500ms);

  CHECK_FALSE(Agent.targetSilent());
  Silent.Offered = 0;
  openFlows(5s);
  CHECK(Silent.Offered >= 250 / 5 / 2);
}

TEST_CASE_FIXTURE(silent_site,
                  "a target that is silent after its start is found out by one "
                  "flow") {
  const std::uint64_t Before = timedOut();
  Agent.onTargetStarted();
  openFlows(900ms);

  CHECK(Agent.targetSilent());
  CHECK(timedOut() - Before == 1);
}

TEST_CASE_FIXTURE(
    silent_site,
    "a target that answers again is found out by a flow on trial") {
  // Guards against a target that stays unused after a pause of its process.
  openFlows(3s);
  Silent.Frozen = false;
  openFlows(silence_watch::MaxTrialInterval + 500ms);

  CHECK_FALSE(Agent.targetSilent());
  CHECK(Silent.Offered > 0);
}

TEST_CASE_FIXTURE(silent_site, "a target that stays silent gets few trials") {
  const std::uint64_t Before = timedOut();
  openFlows(30s);

  // After 1, 2, 4 and 8 s, then every 8 s.
  CHECK(timedOut() - Before <= 6);
}

TEST_CASE_FIXTURE(silent_site, "the end of a silence is logged") {
  Events.clear();
  Silent.Frozen = false;
  Agent.onTargetStarted();
  openFlows(1s);

  CHECK(std::any_of(Events.begin(), Events.end(), [](const auto &Event) {
    return Event.What == event_kind::TargetRecovered;
  }));
}

TEST_CASE("a trial whose flow ends unseen does not turn away all flows") {
  // Guards against a target that gets no flow for ever, since the outcome of
  // the one on trial is waited for.
  silence_watch Silence;
  instant Now{10s};
  Silence.onOffered(Now);
  Silence.onTimeout();
  Silence.onStarted();
  REQUIRE(Silence.onOffered(Now));
  REQUIRE(Silence.isOnTrial());
  Now += silence_watch::MinTrialInterval;
  Silence.tick(Now);
  CHECK_FALSE(Silence.isOnTrial());
  Now += silence_watch::MaxTrialInterval;
  Silence.tick(Now);

  CHECK_FALSE(Silence.isAvoided());
}

TEST_CASE("a start during a trial makes the next flow a trial") {
  silence_watch Silence;
  Silence.onTimeout();
  Silence.onStarted();
  Silence.onOffered(instant(10s));
  Silence.onStarted();

  CHECK_FALSE(Silence.isAvoided());
  CHECK(Silence.onOffered(instant(10s)));
}
