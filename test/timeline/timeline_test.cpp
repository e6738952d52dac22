#include "marjoramrail/timeline.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

static timeline_event routed(const std::string &Why) {
  timeline_event Event;
  Event.What = event_kind::FlowAccepted;
  Event.Service = "ledger";
  Event.Why = Why;
  return Event;
}

TEST_CASE("an event is encoded and decoded unchanged") {
  std::string Line;
  timeline Recorder(
      "agent-1", [] { return 1700000000000; },
      [&](const std::string &Text) { Line = Text; });

  Recorder.record(routed("first \"choice\""));

  const auto Event = parseJsonLine(Line);
  REQUIRE(Event);
  CHECK(Event->Process == "agent-1");
  CHECK(Event->Clock == 1700000000000000);
  CHECK(Event->WallMs == 1700000000000);
  CHECK(Event->Why == "first \"choice\"");
}

TEST_CASE("merge puts a cause before its effect where wall clocks disagree") {
  // The clock of the agent's VM is five seconds behind. Ordered by the wall
  // clock alone, the agent would accept a flow before the balancer had received
  // the view that routed it.
  std::vector<timeline_event> Events;
  const auto Keep = [&](const std::string &Line) {
    Events.push_back(parseJsonLine(Line).value());
  };
  timeline Balancer(
      "balancer-1", [] { return 10000; }, Keep);
  timeline Agent(
      "agent-1", [] { return 5000; }, Keep);

  Balancer.record(routed("cause"));
  Agent.observeClock(Balancer.clock());
  Agent.record(routed("effect"));

  const auto Merged = merge({Events[1], Events[0]});
  CHECK(Merged[0].Why == "cause");
  CHECK(Merged[1].Why == "effect");
}

TEST_CASE("events of one moment keep the order in which they were recorded") {
  std::vector<std::uint64_t> Clocks;
  timeline Recorder(
      "agent-1", [] { return 5; },
      [&](const std::string &Line) {
        Clocks.push_back(parseJsonLine(Line)->Clock);
      });

  for (int I = 0; I < 3; ++I)
    Recorder.record(routed("x"));

  CHECK(Clocks == std::vector<std::uint64_t>{5000, 5001, 5002});
}

TEST_CASE("merge uses the wall clock between processes without messages") {
  // A busy agent logs thousands of events while a balancer logs one. Ordered by
  // a counter of events alone, the balancer's change would come first.
  std::vector<timeline_event> Events;
  const auto Keep = [&](const std::string &Line) {
    Events.push_back(parseJsonLine(Line).value());
  };
  std::int64_t Now = 1000;
  timeline Agent(
      "agent-1", [&] { return Now; }, Keep);
  timeline Balancer(
      "balancer-1", [&] { return Now; }, Keep);

  for (int I = 0; I < 100; ++I)
    Agent.record(routed("earlier"));
  Now = 2000;
  Balancer.record(routed("later"));

  CHECK(merge(Events).back().Why == "later");
}

TEST_CASE("an implausible clock in a message is ignored") {
  // One corrupted message would permanently order all later events of the fleet
  // after those of every process that did not receive it.
  timeline Recorder(
      "agent-1", [] { return 0; }, nullptr);

  Recorder.observeClock(~std::uint64_t(0));

  CHECK(Recorder.clock() == 0);
}

TEST_CASE("recent returns only the last events") {
  timeline Recorder(
      "agent-1", [] { return 0; }, nullptr);

  for (std::size_t I = 0; I < timeline::DefaultMaxEvents + 3; ++I)
    Recorder.record(routed("x"));

  const std::string Text = Recorder.recent();
  CHECK(std::count(Text.begin(), Text.end(), '\n') ==
        timeline::DefaultMaxEvents);
  CHECK(Text.find("\"clock\":4,") < Text.find("\"clock\":5,"));
}

TEST_CASE("parseJsonLine names the invalid field") {
  const auto reasonOf = [](std::string_view Line) {
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_CHECK(parseJsonLine(Line));
      return {};
    });
    return Failure ? Failure->Reason : "";
  };

  CHECK(reasonOf("{") == "not a JSON object");
  CHECK(reasonOf(R"({"clock":-1})").find("field clock") == 0);
  CHECK(reasonOf(R"({"clock":1,"wall_ms":1,"event":"nonsense"})")
            .find("field event") == 0);
  CHECK(reasonOf(R"({"clock":1,"wall_ms":1,"event":"drain-done","why":3})")
            .find("field why") == 0);
}
