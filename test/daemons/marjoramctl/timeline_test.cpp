#include <doctest/doctest.h>
#include <numeric>

#include "fake_site.h"
#include "flow_trace.h"

using namespace marjoramrail;
using namespace marjoramrail::ctl;

static const std::string Flow = "10.1.0.1:4000>10.77.0.1:443";

static std::string line(std::uint64_t Clock, const std::string &Process,
                        event_kind What, const std::string &FlowOfEvent,
                        const std::string &Why) {
  timeline_event Event;
  Event.Clock = Clock;
  Event.WallMs = 1700000000000 + static_cast<std::int64_t>(Clock);
  Event.Process = Process;
  Event.What = What;
  Event.Service = "ledger";
  Event.Flow = FlowOfEvent;
  Event.Why = Why;
  return toJsonLine(Event) + "\n";
}

/// Two files and a page whose events are out of order, with one truncated line
/// of a killed process.
static void fill(fake_site &Test) {
  Test.Files["agent-1.log"] =
      line(4, "ledger-1", event_kind::FlowAccepted, Flow, "first choice") +
      line(9, "ledger-1", event_kind::FlowReset, Flow, "target gone") +
      "{\"clock\":10,\"wa";
  Test.Files["balancer-1.log"] =
      line(2, "balancer-1", event_kind::ViewTaken, "", "version 7") +
      "I1202 glog's own line\n" +
      line(6, "balancer-1", event_kind::TargetDown, "", "ledger-1 is silent");
  Test.Pages[endpoint{0x7f000001, 9000}] =
      line(5, "ledger-2", event_kind::FlowAccepted, "10.1.0.2:1>10.77.0.1:443",
           "second choice");
}

TEST_CASE("timeline merges files and pages and skips invalid lines") {
  // A process was killed while it wrote a line. The events of the others must
  // still be printed.
  fake_site Test;
  fill(Test);
  ctl_options Options;
  Options.Arguments = {"agent-1.log", "balancer-1.log"};
  Options.From = {{0x7f000001, 9000}};

  CHECK(Test.run(runTimeline, Options) == exit_code::Ok);

  CHECK(Test.Output.find("version 7") < Test.Output.find("first choice"));
  CHECK(Test.Output.find("first choice") < Test.Output.find("second choice"));
  CHECK(Test.Output.find("second choice") < Test.Output.find("is silent"));
  CHECK(Test.printedError("agent-1.log: 1 lines left out"));
}

TEST_CASE("timeline filters by host, flow and service") {
  fake_site Test;
  fill(Test);
  ctl_options Options;
  Options.Arguments = {"agent-1.log", "balancer-1.log"};
  Options.Host = "ledger-1";

  Test.run(runTimeline, Options);

  CHECK(Test.printed("target gone"));
  CHECK(!Test.printed("version 7"));
}

TEST_CASE("timeline explains one flow: who routed it, when, why") {
  fake_site Test;
  fill(Test);
  ctl_options Options;
  Options.Arguments = {"agent-1.log", "balancer-1.log"};
  Options.Explain = Flow;

  CHECK(Test.run(runTimeline, Options) == exit_code::Ok);

  CHECK(Test.printed("owner ledger-1, handed on 0 times"));
  CHECK(Test.printed("end: reset by ledger-1 (target gone)"));
  CHECK(Test.Output.find("before  ") < Test.Output.find("flow    "));
  CHECK(Test.printed("change  2023-11-14T22:13:20.006Z balancer-1 "
                     "target-down ledger: ledger-1 is silent"));
}

TEST_CASE("timeline reports processes that do not respond and continues") {
  fake_site Test;
  fill(Test);
  ctl_options Options;
  Options.Arguments = {"agent-1.log"};
  Options.From = {{0x7f000001, 9001}};

  CHECK(Test.run(runTimeline, Options) == exit_code::Unavailable);

  CHECK(Test.printed("first choice"));
  CHECK(Test.printedError("receive 127.0.0.1:9001: no answer"));
  Options.From = {};
  Options.Explain = "10.9.9.9:1>10.77.0.1:443";
  CHECK(Test.run(runTimeline, Options) == exit_code::Refused);
}

TEST_CASE("timeline names the balancer and the choice that routed a flow") {
  timeline_event Routed;
  Routed.What = event_kind::FlowRouted;
  Routed.Service = "ledger";
  Routed.Flow = Flow;
  Routed.Why = "by balancer 127.0.0.1:4000, view 7, choice 1 of 4";

  const std::vector<std::string> Trace = explainFlow({Routed}, Flow);

  REQUIRE(!Trace.empty());
  const std::string Text =
      std::accumulate(Trace.begin(), Trace.end(), std::string());
  CHECK(Text.find("routed by balancer 127.0.0.1:4000, view 7") !=
        std::string::npos);
}

TEST_CASE("timeline finds a request's flow and the events of its processes") {
  // A caller reports a failed request by its id only. The target had stopped
  // shortly before, and its agent logged that.
  timeline_event Seen;
  Seen.What = event_kind::RequestSeen;
  Seen.Process = "agent-1";
  Seen.Flow = Flow;
  Seen.Request = "ab12";
  Seen.WallMs = 5000;
  timeline_event Gone;
  Gone.What = event_kind::TargetGone;
  Gone.Process = "agent-1";
  Gone.WallMs = 5200;
  timeline_event Elsewhere = Gone;
  Elsewhere.Process = "agent-2";
  timeline_event Reset;
  Reset.What = event_kind::FlowReset;
  Reset.Process = "agent-1";
  Reset.Flow = Flow;
  Reset.Request = "ab12";
  Reset.Why = "target gone";
  Reset.WallMs = 5200;
  const std::vector<timeline_event> Events = {Seen, Gone, Elsewhere, Reset};

  CHECK(flowOfRequest(Events, "ab12") == Flow);
  CHECK_FALSE(flowOfRequest(Events, "cd34"));
  const std::vector<std::string> Trace = explainFlow(Events, Flow);
  const std::string Text =
      std::accumulate(Trace.begin(), Trace.end(), std::string());
  CHECK(Text.find("end: reset by agent-1 (target gone)") != std::string::npos);
  CHECK(Text.find("agent-1 target-gone") != std::string::npos);
  CHECK(Text.find("agent-2") == std::string::npos);
}
