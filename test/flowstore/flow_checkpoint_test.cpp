#include "flowstore/flow_zone.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

const target_run FirstRun{"run-1", 100};
const target_run SecondRun{"run-2", 200};
const std::string Web = "target.web-1";

struct checkpoint_fixture : flow_zone {
  std::unique_ptr<collector_process> Collector = startCollector();

  /// Saves a target's flows; then its VM and the collector's VM lose power.
  void checkpointAndLosePower() {
    runAgent(Web, FirstRun, TwoFlows);
    advanceTime(10s);
    Agents.clear();
    Collector.reset();
  }
};

std::vector<open_flow> manyFlows(std::uint16_t Count) {
  std::vector<open_flow> Many;
  for (std::uint16_t Port = 1; Port <= Count; ++Port)
    Many.push_back({{{0x6440ffff, Port}, {0xc612ffff, 65535}}, 0xffffffff});
  return Many;
}

} // namespace

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "callers get resets for flows lost with a VM") {
  // A VM loses power and comes back; neither its agent nor its target knows the
  // flows they had. A caller that sends a request that may run only once on
  // such a flow cannot repeat it, because it is unknown whether it has run.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  CHECK(Agent.Lost.empty());
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/true);

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
  Agent.Reporter.onRun(FirstRun, /*IsConfirmed=*/true);
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
  Agent.Reporter.onRun({"run-0", 50}, /*IsConfirmed=*/false);

  CHECK(Agent.Lost.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "callers get resets although the clock was stepped back") {
  // Guards against callers that are told nothing after a loss of power because
  // the target's start time is earlier than that of its previous run.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun({"run-2", FirstRun.Born - 50}, /*IsConfirmed=*/true);

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
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/false);
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
  Agent.Reporter.onRun(FirstRun, /*IsConfirmed=*/false);
  advanceTime(4s);

  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web).Flows == TwoFlows);
}

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
    "a late report of an earlier run whose clock was ahead resets "
    "no flow and leaves the checkpoint as it is") {
  // Guards against resets of flows that the target holds. The agent alone was
  // restarted, and a delayed report with a later start time arrives first.
  checkpointAndLosePower();
  const auto Second = startCollector();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun({"run-0", FirstRun.Born + 50}, /*IsConfirmed=*/false);
  advanceTime(3s);
  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web) == flow_checkpoint{FirstRun, TwoFlows});
  Agent.Reporter.onRun(FirstRun, /*IsConfirmed=*/false);
  advanceTime(3s);

  CHECK(Agent.Lost.empty());
  CHECK(checkpointOf(Web) == flow_checkpoint{FirstRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture, "callers get one reset per lost flow") {
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  advanceTime(100ms);
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/true);
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/true);
  Agent.Reporter.onRun({"run-3", 300}, /*IsConfirmed=*/true);

  CHECK(Agent.Lost.size() == TwoFlows.size());
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
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/true);

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
  Reporter.onRun(FirstRun, /*IsConfirmed=*/true);
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
  Agents.at(Web)->Reporter.onRun(FirstRun, /*IsConfirmed=*/true);
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
  Agent.Reporter.onRun(SecondRun, /*IsConfirmed=*/true);
  advanceTime(10s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture, "an invalid checkpoint is rejected") {
  const object_key Key = checkpointKey("brugge");
  for (const char *Body :
       {"", "null", "{}", "[]", R"({"targets":[]})", R"({"targets":{"a":1}})",
        R"({"targets":{"a":{"run":1,"born":1,"flows":{}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":[]}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"x":""}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"1.2.3.4:5":1}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"1.2.3.4:5":"0"}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":
           {"1.2.3.4:5":"0a0000010fffx0000007"}}}})"}) {
    CAPTURE(Body);
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_CHECK(decodeCheckpoint(Key, Body));
      return {};
    });
    REQUIRE(Failure);
    CHECK(Failure->Step == step::ValidateObject);
    CHECK(Failure->Peer == Key.Name);
  }
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

TEST_CASE("a checkpoint decodes to what was encoded") {
  zone_checkpoint Zone;
  Zone["target.a"] = {{"r", -5}, manyFlows(3), 77};
  Zone["target.b"] = {{"s", 1}, {}, UINT64_MAX};
  const auto Read =
      decodeCheckpoint(checkpointKey("brugge"), encodeCheckpoint(Zone));

  REQUIRE(Read);
  CHECK(*Read == Zone);
}

TEST_CASE("a flow report decodes to what was encoded") {
  const flow_report Report{"target.a", {"r", -5}, 77, 1, 2, manyFlows(64)};
  const auto Bytes = encodeFlowReport(Report);
  const auto Read = decodeFlowReport(Bytes);

  CHECK(Bytes.size() <= 1300);
  REQUIRE(Read);
  CHECK(*Read == Report);
}

TEST_CASE("a truncated or forged flow report is rejected") {
  const auto Complete =
      encodeFlowReport({"target.a", {"r", 5}, 77, 0, 1, manyFlows(2)});
  const std::size_t FlowBytes = 16;
  for (std::size_t Size = 0; Size < Complete.size(); ++Size) {
    CAPTURE(Size);
    const bool EndsAtFlow = Size >= Complete.size() - 2 * FlowBytes &&
                            (Complete.size() - Size) % FlowBytes == 0;
    CHECK(decodeFlowReport({Complete.data(), Size}).has_value() == EndsAtFlow);
  }
  auto Forged = Complete;
  constexpr std::size_t PartsAt = 4;
  Forged[PartsAt] = 255;
  CHECK(!decodeFlowReport(Forged));
  CHECK(!decodeFlowReportRequest(Complete));
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
