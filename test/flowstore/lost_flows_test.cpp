#include "flowstore/flow_zone.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "callers get resets for flows lost with a VM") {
  // A VM loses power and comes back; neither its agent nor its target knows the
  // flows they had. A caller that sends a request that may run only once on
  // such a flow cannot repeat it, because it is unknown whether it has run.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  CHECK(Agent.Lost.empty());
  Agent.Reporter.onRun(SecondRun, Timers.now());

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "the target reports before the store answers") {
  // The target reports while the store is still unreachable. The resets are
  // sent as soon as the checkpoint has been read.
  checkpointAndLosePower();
  Store.Down = true;
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(2s);
  CHECK(Agent.Lost.empty());
  Store.Down = false;
  advanceTime(2s);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of a running target are not reset") {
  // Only the agent was restarted. Its target still holds the flows, and a reset
  // would break every one of them.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun(FirstRun, Timers.now());
  advanceTime(10s);

  CHECK(Agent.Lost.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent's restart keeps all flows in the checkpoint") {
  // The agent is restarted while its target keeps running. The new process sees
  // no packet of an idle flow until its caller sends the next request. If the
  // VM loses power before that, the caller must still get a reset.
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  runAgent(Web, FirstRun, {{{{0x64400003, 1003}, FirstAddress}, 9}});
  advanceTime(4s);
  CHECK(checkpointOf(Web).Flows.size() == 3);
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(100ms);
  CHECK(Agent.Lost.size() == 3);
  advanceTime(4s);
  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, {}});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a late report of an earlier run resets no flow") {
  // A delayed report of an earlier run arrives after a restart of the agent.
  // The target may still hold the flows.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun({"run-0", 50}, std::nullopt);

  CHECK(Agent.Lost.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "callers get resets although the clock was stepped back") {
  // Guards against callers that are told nothing after a loss of power because
  // the target's start time is earlier than that of its previous run.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun({"run-2", FirstRun.Born - 50}, Timers.now());

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(
    checkpoint_fixture,
    "callers get resets at once if the steady clock shows that the "
    "VM was restarted") {
  // Guards against callers that wait for reports of the target, although its VM
  // has lost power and no run of before can hold their flows.
  const std::uint64_t LaterNumber = reportSequence(Timers.now() + 1h);
  runAgent("target.web-2", FirstRun);
  advanceTime(1s);
  Collector->Collector.input(
      encodeFlowReport({Web, FirstRun, LaterNumber, 0, 1, TwoFlows}));
  advanceTime(4s);
  REQUIRE(numberedCheckpointOf(Web).Sequence == LaterNumber);
  Collector.reset();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  CHECK(Agent.Lost == TwoFlows);
  Agent.Reporter.onRun(SecondRun, std::nullopt);
  advanceTime(100ms);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "saved flows that are older than flows live get resets") {
  // After a new start of the VM its steady clock may begin above the saved
  // moment; then it is nearly always far above it.
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  Agents.clear();
  Collector.reset();
  SUBCASE("not before") {
    advanceTime(50s);
    reporter_process &Agent = startAgent(Web);
    advanceTime(100ms);
    CHECK(Agent.Lost.empty());
  }
  SUBCASE("but after the longest life of a flow") {
    advanceTime(61s);
    reporter_process &Agent = startAgent(Web);
    advanceTime(100ms);
    CHECK(Agent.Lost == TwoFlows);
  }
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "numbers of an earlier version are not taken for moments") {
  // Guards against resets of live flows in a rolling update: agents of earlier
  // versions numbered their reports from the start of their process.
  runAgent("target.web-2", FirstRun);
  advanceTime(1s);
  Collector->Collector.input(
      encodeFlowReport({Web, FirstRun, 3'600'000'000, 0, 1, TwoFlows}));
  advanceTime(4s);
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun(FirstRun, std::nullopt);
  advanceTime(4s);

  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web).Flows == TwoFlows);
}

TEST_CASE_FIXTURE(
    checkpoint_fixture,
    "a late report of an earlier run whose clock was ahead resets "
    "no flow and leaves the checkpoint as it is") {
  // Guards against resets of flows that the target holds. The agent alone was
  // restarted, and a delayed report with a later start time arrives first.
  checkpointAndLosePower();
  const auto Second = startCollector();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun({"run-0", FirstRun.Born + 50}, std::nullopt);
  advanceTime(3s);
  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web) == flow_checkpoint{FirstRun, TwoFlows});
  Agent.Reporter.onRun(FirstRun, std::nullopt);
  advanceTime(3s);

  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web) == flow_checkpoint{FirstRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture, "callers get one reset per lost flow") {
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun(SecondRun, Timers.now());
  Agent.Reporter.onRun(SecondRun, Timers.now());
  Agent.Reporter.onRun({"run-3", 300}, Timers.now());

  CHECK(Agent.Lost.size() == TwoFlows.size());
}

TEST_CASE_FIXTURE(
    checkpoint_fixture,
    "a restarted agent whose target runs on reads no latest state") {
  // The agents of a large site are restarted together. Each needs its flows of
  // before, for which a checkpoint that is seconds old suffices.
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(10s);
  Agents.clear();
  const std::uint64_t Before = Store.Calls - Store.StaleReads;
  Collector.reset();
  reporter_process &Agent = runAgent(Web, FirstRun);
  advanceTime(2s);

  CHECK(Agent.Lost.empty());
  CHECK(Store.Calls - Store.StaleReads == Before);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows missing from an older checkpoint get resets too") {
  // The read at the start returns a checkpoint from before the last flow was
  // opened. Guards against callers of the latest flows that are told nothing.
  runAgent(Web, FirstRun, {TwoFlows.front()});
  advanceTime(10s);
  Store.saveOlder();
  Store.ReadStaleOlder = true;
  Agents.at(Web)->Open = TwoFlows;
  advanceTime(10s);
  Agents.clear();
  Collector.reset();
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(1s);

  CHECK(Agent.Lost == TwoFlows);
}
