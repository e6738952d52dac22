#include "flowstore/flow_zone.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "the number of a report is kept by the next collector") {
  // Guards against a restart of the VM that does not show, since the balancer
  // that saves the zone's flows has changed meanwhile.
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  const auto Before = numberedCheckpointOf(Web);
  REQUIRE(Before.Sequence > 0);
  Agents.erase(Web);
  Collector = startCollector();
  runAgent("target.web-2", FirstRun, TwoFlows);
  advanceTime(4s);

  CHECK(numberedCheckpointOf(Web) == Before);
}

TEST_CASE_FIXTURE(
    checkpoint_fixture,
    "checkpoints of a large site are as fresh as of a small one") {
  // All VMs of a zone with 41 targets lose power soon after a flow was opened.
  // If the checkpoint lacks the flow, its caller gets no reset and loses its
  // next request on a flow that no target holds.
  for (int Number = 0; Number < 41; ++Number)
    runAgent("target." + std::to_string(Number), FirstRun, TwoFlows);
  advanceTime(4s);
  Agents["target.7"]->Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  advanceTime(2500ms);
  Agents.clear();
  Collector.reset();
  reporter_process &Agent = startAgent("target.7");
  advanceTime(100ms);
  Agent.Reporter.onRun(SecondRun, Timers.now());

  CHECK(Agent.Lost.size() == 3);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of a VM without power stay in the checkpoint") {
  // One VM is without power while the zone's checkpoint is written many times.
  // The reports of other agents must not displace the flows of that VM.
  runAgent(Web, FirstRun, TwoFlows);
  reporter_process &Other = runAgent("target.web-2", FirstRun);
  advanceTime(4s);
  Agents.erase(Web);
  for (std::uint16_t Port = 1; Port <= 30; ++Port) {
    Other.Open = manyFlows(Port);
    advanceTime(1s);
  }
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(100ms);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a new collector keeps the existing checkpoint") {
  // The zone's collector stops while a VM is without power. The next collector
  // has received no report of that VM's flows and must not drop them.
  runAgent(Web, FirstRun, TwoFlows);
  reporter_process &Other = runAgent("target.web-2", FirstRun);
  advanceTime(4s);
  Agents.erase(Web);
  Collector = startCollector();
  for (std::uint16_t Port = 1; Port <= 10; ++Port) {
    Other.Open = manyFlows(Port);
    advanceTime(1s);
  }
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(100ms);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent reads the checkpoint before it reports") {
  // After a loss of all power the collector is back at once, while the agent
  // cannot reach the store yet. The agent's first report, which contains no
  // flows, must not overwrite the flows that the agent is about to read.
  checkpointAndLosePower();
  Collector = startCollector();
  Store.Down = true;
  reporter_process &Agent = runAgent(Web, SecondRun);
  advanceTime(5s);
  Store.Down = false;
  advanceTime(5s);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent reports after its reads of the store failed") {
  // The store is unreachable for longer than the agent retries its read. The
  // agent must still report its flows afterwards.
  Store.Down = true;
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(30s);
  Store.Down = false;
  advanceTime(10s);

  CHECK(checkpointOf(Web).Flows == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an unchanged checkpoint is not written again") {
  // Flows stay open for minutes. Each write is a call to a store whose call
  // rate grows more slowly than the fleet.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  const auto Writes = Store.Writes;
  CHECK(Writes == 1);
  advanceTime(30s);
  CHECK(Store.Writes == Writes);

  // A flow that has ended causes no write; a new flow does.
  Agent.Open.pop_back();
  advanceTime(10s);
  CHECK(Store.Writes == Writes);
  Agent.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  advanceTime(4s);
  CHECK(Store.Writes == Writes + 1);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "long-lived unchanged flows stay in the checkpoint") {
  // Brokers keep their sessions open for hours, with nothing new to report. The
  // collector must not mistake their agent for a removed one and drop its
  // flows.
  runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  for (int Second = 0; Second < 300; ++Second) {
    advanceTime(1s);
    REQUIRE(checkpointOf(Web).Flows == TwoFlows);
  }

  CHECK(Store.Writes == 1);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an outdated acknowledgement is written again") {
  // A caller ignores a reset that is not close to its last acknowledgement, so
  // an old number in the checkpoint is useless.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  Agent.Open.front().Acknowledged += 60'000;
  advanceTime(4s);

  CHECK(Store.Writes == 2);
  CHECK(checkpointOf(Web).Flows == Agent.Open);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a lost answer of the store does not stop writing") {
  // A write takes effect but its answer is lost, so the version in the store is
  // not the one that the collector knows.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  Store.LoseAnswers = 1;
  advanceTime(4s);
  Agent.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  advanceTime(8s);

  CHECK(checkpointOf(Web).Flows == Agent.Open);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent's report stays within its traffic budget") {
  // A target holds thousands of flows, while a node may use only a few
  // kilobytes per second for all of its control traffic.
  runAgent(Web, FirstRun, manyFlows(2000));
  advanceTime(4s);

  CHECK(Collector->Received > 1000);
  CHECK(Collector->Received <= 2 * 4096);
  CHECK(checkpointOf(Web).Flows.size() == 256);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "many agents share one write") {
  // Flows open and close at all agents. A site with many agents must not use up
  // the store's call rate for checkpoints.
  for (int Number = 0; Number < 100; ++Number)
    runAgent("target." + std::to_string(Number), FirstRun, TwoFlows);
  advanceTime(4s);
  const auto Writes = Store.Writes;
  std::uint16_t Port = 2000;
  for (int Second = 0; Second < 100; ++Second) {
    for (auto &[Name, Agent] : Agents)
      Agent->Open.push_back({{{0x64400003, ++Port}, FirstAddress}, 9});
    advanceTime(1s);
  }

  CHECK(Store.Writes > Writes);
  CHECK(Store.Writes <= Writes + 100);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "two collectors cause few conflicts") {
  // Two balancers of a zone cannot reach each other, and each considers
  // itself the first. Their writes conflict, and each conflict costs calls to
  // the store.
  const auto Second = startCollector();
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  const auto Calls = Store.Calls;
  for (std::uint16_t Port = 1; Port <= 60; ++Port) {
    Agent.Open = manyFlows(Port);
    advanceTime(1s);
  }

  CHECK(checkpointOf(Web).Flows.size() >= 56);
  CHECK(Store.Calls - Calls <= 120);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a collector that is no longer the first does not write") {
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  Collector->IsCollecting = false;
  Agent.Open = manyFlows(5);
  const auto Calls = Store.Calls;
  advanceTime(10s);

  CHECK(Store.Calls == Calls);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a flow is reported for the run that holds it") {
  // A target crashes and starts again. Until its next run reports, the agent
  // already sees new flows open. If they were saved under the previous run, the
  // next process of the agent would reset them.
  reporter_process &Agent = runAgent(Web, FirstRun);
  instant RequestedMoment;
  flow_reporter::hooks Hooks = Agent.hooks();
  Hooks.OpenFlows = [&](instant Moment) {
    RequestedMoment = Moment;
    return Agent.Open;
  };
  flow_reporter Reporter(Timers, Store.api(), {Web, "brugge"}, Hooks);
  Reporter.start(/*HasPrevious=*/false);
  Reporter.onRun(FirstRun, Timers.now());
  const instant Confirmed = Timers.now();
  advanceTime(700ms);
  Reporter.input({}, encodeFlowReportRequest({}));

  CHECK(RequestedMoment == Confirmed);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a collector ignores a late report of an earlier run") {
  // A delayed report names the flows of a run that is over. If it replaced the
  // present flows in the checkpoint, they would get no reset after the next
  // loss of power.
  runAgent(Web, SecondRun, TwoFlows);
  advanceTime(4s);
  flow_report Late{Web, FirstRun, 5, 0, 1, {}};
  Collector->Collector.input(encodeFlowReport(Late));
  advanceTime(4s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of a run whose clock went back are saved") {
  // Guards against flows that get no reset after a loss of power, because the
  // run that holds them has an earlier start time than the one before.
  runAgent(Web, SecondRun, TwoFlows);
  advanceTime(4s);
  Agents.at(Web)->Open = manyFlows(3);
  Agents.at(Web)->Reporter.onRun(FirstRun, Timers.now());
  advanceTime(4s);

  CHECK(checkpointOf(Web) == flow_checkpoint{FirstRun, manyFlows(3)});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent whose steady clock starts anew is heard") {
  // Guards against flows that are not saved after a restart of the VM, because
  // the agent's sequence numbers are lower than before.
  runAgent(Web, FirstRun, TwoFlows);
  runAgent("target.web-2", FirstRun, TwoFlows);
  advanceTime(4s);
  Agents.erase(Web);
  for (int Second = 0; Second < 3; ++Second) {
    Collector->Collector.input(
        encodeFlowReport({Web, SecondRun, 5, 0, 1, manyFlows(3)}));
    advanceTime(500ms);
  }
  advanceTime(2s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, manyFlows(3)});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of a deregistered target are removed") {
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  Agent.Reporter.leave();
  advanceTime(10s);

  CHECK(checkpointOf(Web).Flows.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture, "flows of a removed agent are removed") {
  // Thousands of VMs are replaced per day, and nothing else removes their flows
  // from the checkpoint.
  runAgent(Web, FirstRun, TwoFlows);
  runAgent("target.web-2", FirstRun, TwoFlows);
  advanceTime(4s);
  Agents.erase(Web);
  advanceTime(90s);

  CHECK(checkpointOf(Web).Flows.empty());
  CHECK(checkpointOf("target.web-2").Flows == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of a re-registered target are saved again") {
  // A target deregisters and ends, and another run starts on its VM.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  advanceTime(4s);
  Agent.Reporter.leave();
  advanceTime(4s);
  Agent.Reporter.onRun(SecondRun, Timers.now());
  advanceTime(10s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows opened during an outage are saved right after it") {
  // Power may be lost a moment after the store is back. Flows that are not in
  // the checkpoint then are found lost only by their callers' next requests.
  reporter_process &Agent = runAgent(Web, FirstRun);
  advanceTime(3s);
  Store.Down = true;
  advanceTime(2s);
  Agent.Open = TwoFlows;
  advanceTime(2s);
  const std::uint64_t Before = Store.Calls;
  advanceTime(10s);
  CHECK(Store.Calls - Before <= 10 / 3 + 1);
  Store.Down = false;
  Collector->StoreAnsweredAt = Timers.now();
  advanceTime(200ms);

  CHECK(checkpointOf(Web).Flows == TwoFlows);
}
