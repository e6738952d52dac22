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

  /// A target's flows are kept; then its VM, and the collector's, lose power.
  void checkpointAndLosePower() {
    runAgent(Web, FirstRun, TwoFlows);
    pass(10s);
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
                  "callers of flows lost with a VM are told") {
  // A VM loses power and comes back: neither its agent nor its target knows of
  // their flows any more. A caller that sends an amendment into such a flow
  // cannot repeat it, because nobody can say that it has not run.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  pass(100ms);
  CHECK(Agent.Lost.empty());
  Agent.Reporter.onRun(SecondRun);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a run is told before the store answers") {
  // The target reports while the store is still out of reach.
  checkpointAndLosePower();
  Store.Down = true;
  reporter_process &Agent = runAgent(Web, SecondRun);
  pass(2s);
  CHECK(Agent.Lost.empty());
  Store.Down = false;
  pass(2s);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "flows of a target that lives are left") {
  // Only the agent was restarted. Its target holds the flows as before, and a
  // reset would break every one of them.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  pass(100ms);
  Agent.Reporter.onRun(FirstRun);
  pass(10s);

  CHECK(Agent.Lost.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent's restart loses none of the flows") {
  // The agent is restarted while its target lives, and sees no packet of an
  // idle flow until its caller asks again. Then the VM loses power.
  runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  runAgent(Web, FirstRun, {{{{0x64400003, 1003}, FirstAddress}, 9}});
  pass(4s);
  CHECK(checkpointOf(Web).Flows.size() == 3);
  reporter_process &Agent = runAgent(Web, SecondRun);
  pass(100ms);
  CHECK(Agent.Lost.size() == 3);
  pass(4s);
  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, {}});
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a late word of an earlier run resets none") {
  // A report that was held up arrives after a restart of the agent.
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  pass(100ms);
  Agent.Reporter.onRun({"run-0", 50});

  CHECK(Agent.Lost.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture, "callers are told once") {
  checkpointAndLosePower();
  reporter_process &Agent = startAgent(Web);
  pass(100ms);
  Agent.Reporter.onRun(SecondRun);
  Agent.Reporter.onRun(SecondRun);
  Agent.Reporter.onRun({"run-3", 300});

  CHECK(Agent.Lost.size() == TwoFlows.size());
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a large site keeps flows as fresh as a small one") {
  // All VMs of a zone of 41 targets lose power. A caller that is not told asks
  // for its next amendment in a flow that nobody holds, and that amendment is
  // lost.
  for (int Number = 0; Number < 41; ++Number)
    runAgent("target." + std::to_string(Number), FirstRun, TwoFlows);
  pass(4s);
  Agents["target.7"]->Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  pass(2500ms);
  Agents.clear();
  Collector.reset();
  reporter_process &Agent = startAgent("target.7");
  pass(100ms);
  Agent.Reporter.onRun(SecondRun);

  CHECK(Agent.Lost.size() == 3);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "a VM that was dark for long is told") {
  // One VM is dark while the zone's flows go on being written. What the others
  // report must not push out what was kept of it.
  runAgent(Web, FirstRun, TwoFlows);
  reporter_process &Other = runAgent("target.web-2", FirstRun);
  pass(4s);
  Agents.erase(Web);
  for (std::uint16_t Port = 1; Port <= 30; ++Port) {
    Other.Open = manyFlows(Port);
    pass(1s);
  }
  reporter_process &Agent = runAgent(Web, SecondRun);
  pass(100ms);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a collector that starts keeps what was kept") {
  // The zone's collector dies while a VM is dark. The next one has never heard
  // of that VM's flows.
  runAgent(Web, FirstRun, TwoFlows);
  reporter_process &Other = runAgent("target.web-2", FirstRun);
  pass(4s);
  Agents.erase(Web);
  Collector = startCollector();
  for (std::uint16_t Port = 1; Port <= 10; ++Port) {
    Other.Open = manyFlows(Port);
    pass(1s);
  }
  reporter_process &Agent = runAgent(Web, SecondRun);
  pass(100ms);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "an agent reads before it reports") {
  // After a loss of all power the collector is back at once, and an agent's
  // store is slow. Its first report, which names no flows, must not replace
  // those that it is about to read.
  checkpointAndLosePower();
  Collector = startCollector();
  Store.Down = true;
  reporter_process &Agent = runAgent(Web, SecondRun);
  pass(5s);
  Store.Down = false;
  pass(5s);

  CHECK(Agent.Lost == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent that finds no store reports anew") {
  // The store refuses one VM for long and serves the collector's.
  Store.Down = true;
  runAgent(Web, FirstRun, TwoFlows);
  pass(30s);
  Store.Down = false;
  pass(10s);

  CHECK(checkpointOf(Web).Flows == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "what is kept already is not written again") {
  // Long flows stay for minutes; each write is a call to a store whose rate
  // grows more slowly than the fleet.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  const auto Writes = Store.Writes;
  CHECK(Writes == 1);
  pass(30s);
  CHECK(Store.Writes == Writes);

  // Flows that have ended need no word; one that has come does.
  Agent.Open.pop_back();
  pass(10s);
  CHECK(Store.Writes == Writes);
  Agent.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  pass(4s);
  CHECK(Store.Writes == Writes + 1);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "flows of hours stay kept without a change") {
  // Brokers keep their sessions for hours, and nothing is to be reported
  // meanwhile. Taken for one that is gone, their agent would be forgotten.
  runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  for (int Second = 0; Second < 300; ++Second) {
    pass(1s);
    REQUIRE(checkpointOf(Web).Flows == TwoFlows);
  }

  CHECK(Store.Writes == 1);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a flow that has moved on is written again") {
  // A reset has to be near what the caller acknowledged last; an old number
  // would be ignored.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  Agent.Open.front().Acknowledged += 60'000;
  pass(4s);

  CHECK(Store.Writes == 2);
  CHECK(checkpointOf(Web).Flows == Agent.Open);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "a lost answer stops nothing") {
  // The write takes effect, its answer is lost: the version that stands is not
  // the one known.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  Store.LoseAnswers = 1;
  pass(4s);
  Agent.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  pass(8s);

  CHECK(checkpointOf(Web).Flows == Agent.Open);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "an agent's report stays within its budget") {
  // A target holds thousands of flows; a node has a few kilobytes a second for
  // all of its control traffic.
  runAgent(Web, FirstRun, manyFlows(2000));
  pass(4s);

  CHECK(Collector->Received > 1000);
  CHECK(Collector->Received <= 2 * 4096);
  CHECK(checkpointOf(Web).Flows.size() == 256);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "many agents share one write") {
  // Flows come and go everywhere. A site with many agents must not spend the
  // store's rate on them.
  for (int Number = 0; Number < 100; ++Number)
    runAgent("target." + std::to_string(Number), FirstRun, TwoFlows);
  pass(4s);
  const auto Writes = Store.Writes;
  std::uint16_t Port = 2000;
  for (int Second = 0; Second < 100; ++Second) {
    for (auto &[Name, Agent] : Agents)
      Agent->Open.push_back({{{0x64400003, ++Port}, FirstAddress}, 9});
    pass(1s);
  }

  CHECK(Store.Writes > Writes);
  CHECK(Store.Writes <= Writes + 100);
}

TEST_CASE_FIXTURE(checkpoint_fixture, "two collectors do not fight") {
  // Two balancers of a zone cannot hear each other, and each takes itself for
  // the first. Their writes conflict, and each conflict costs calls.
  const auto Second = startCollector();
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  const auto Calls = Store.Calls;
  for (std::uint16_t Port = 1; Port <= 60; ++Port) {
    Agent.Open = manyFlows(Port);
    pass(1s);
  }

  CHECK(checkpointOf(Web).Flows.size() >= 56);
  CHECK(Store.Calls - Calls <= 120);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a collector that is relieved writes no more") {
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  Collector->IsCollecting = false;
  Agent.Open = manyFlows(5);
  const auto Calls = Store.Calls;
  pass(10s);

  CHECK(Store.Calls == Calls);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a flow counts for the run that held it") {
  // A target crashes and starts again; until its next run reports, the agent
  // sees new flows open. Kept under the run that is over, they would be reset
  // by the next process of the agent.
  reporter_process &Agent = runAgent(Web, FirstRun);
  instant RequestedMoment;
  flow_reporter::hooks Hooks = Agent.hooks();
  Hooks.OpenFlows = [&](instant Moment) {
    RequestedMoment = Moment;
    return Agent.Open;
  };
  flow_reporter Reporter(Timers, Store.api(), {Web, "brugge"}, Hooks);
  Reporter.start(/*HasPrevious=*/false);
  Reporter.onRun(FirstRun);
  const instant Confirmed = Timers.now();
  pass(700ms);
  Reporter.input({}, encodeFlowReportRequest({}));

  CHECK(RequestedMoment == Confirmed);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a late report of a former run is not taken") {
  // Held up on its way, it names flows of a run that is over. Kept in place of
  // the present ones, those would be lost with the next loss of power.
  runAgent(Web, SecondRun, TwoFlows);
  pass(4s);
  flow_report Late{Web, FirstRun, 5, 0, 1, {}};
  Collector->Collector.input(encodeFlowReport(Late));
  pass(4s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture, "a target that leaves leaves no flows") {
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  Agent.Reporter.leave();
  pass(10s);

  CHECK(checkpointOf(Web).Flows.empty());
}

TEST_CASE_FIXTURE(checkpoint_fixture, "an agent that is gone is forgotten") {
  // Thousands of VMs are replaced a day, and nobody else takes out what was
  // kept of them.
  runAgent(Web, FirstRun, TwoFlows);
  runAgent("target.web-2", FirstRun, TwoFlows);
  pass(4s);
  Agents.erase(Web);
  pass(90s);

  CHECK(checkpointOf(Web).Flows.empty());
  CHECK(checkpointOf("target.web-2").Flows == TwoFlows);
}

TEST_CASE_FIXTURE(checkpoint_fixture,
                  "a target that comes back is kept again") {
  // A target says that it leaves, ends, and another run starts on its VM.
  reporter_process &Agent = runAgent(Web, FirstRun, TwoFlows);
  pass(4s);
  Agent.Reporter.leave();
  pass(4s);
  Agent.Reporter.onRun(SecondRun);
  pass(10s);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, TwoFlows});
}

TEST_CASE_FIXTURE(checkpoint_fixture, "unreadable flows are no flows") {
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

TEST_CASE("kept flows read as they were written") {
  zone_checkpoint Zone;
  Zone["target.a"] = {{"r", -5}, manyFlows(3)};
  Zone["target.b"] = {{"s", 1}, {}};
  const auto Read =
      decodeCheckpoint(checkpointKey("brugge"), encodeCheckpoint(Zone));

  REQUIRE(Read);
  CHECK(*Read == Zone);
}

TEST_CASE("a report reads as it was written") {
  const flow_report Report{"target.a", {"r", -5}, 77, 1, 2, manyFlows(64)};
  const auto Bytes = encodeFlowReport(Report);
  const auto Read = decodeFlowReport(Bytes);

  CHECK(Bytes.size() <= 1300);
  REQUIRE(Read);
  CHECK(*Read == Report);
}

TEST_CASE("a report that is cut off or forged is none") {
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
