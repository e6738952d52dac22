#include <doctest/doctest.h>

#include "fake_site.h"

using namespace marjoramrail;
using namespace marjoramrail::ctl;

static const std::string Ledger =
    R"({"number":1,"address":"10.77.0.1:443","zones":["brugge"]})";

TEST_CASE("get prints an object in a form that apply can read") {
  fake_site Test;
  Test.put("service", "ledger", Ledger);

  CHECK(Test.run(runGet, {"service", "ledger"}) == exit_code::Ok);

  CHECK(Test.printed("// version 1 of other"));
  const auto Objects = parseObjectFile(Test.Output, "output");
  REQUIRE(Objects);
  CHECK(Objects->at(0).Name == "ledger");
}

TEST_CASE("get and delete report a missing object") {
  fake_site Test;

  CHECK(Test.run(runGet, {"service", "ledger"}) == exit_code::Refused);
  CHECK(Test.printedError("read-platform service/ledger: not found"));
  CHECK(Test.run(runDelete, {"service", "ledger"}) == exit_code::Refused);
  CHECK(Test.run(runDelete, {"service-status", "x"}) == exit_code::Refused);
}

TEST_CASE("a platform that is down has an exit code of its own") {
  fake_site Test;
  Test.Down = true;

  CHECK(Test.run(runList, {"service"}) == exit_code::Unavailable);
  CHECK(Test.run(runStatus) == exit_code::Unavailable);
  CHECK(Test.printedError("the platform is down"));
}

TEST_CASE("list prints a table") {
  fake_site Test;
  Test.put("zone", "brugge", "{}");

  CHECK(Test.run(runList, {"zone"}) == exit_code::Ok);

  CHECK(Test.printed("NAME    VERSION  WRITER\nbrugge  1        other\n"));
}

TEST_CASE("delete confirms its outcome when the answer is lost") {
  fake_site Test;
  Test.put("service", "ledger", Ledger);
  Test.LoseAnswers = 1;

  CHECK(Test.run(runDelete, {"service", "ledger"}) == exit_code::Ok);

  CHECK(Test.Changes == 1);
  CHECK(Test.body("service", "ledger").empty());
}

TEST_CASE("watch prints changes of one kind and continues after an outage") {
  fake_site Test;
  Test.put("zone", "brugge", "{}");
  Test.put("service", "ledger", Ledger);
  Test.Timers.after(std::chrono::seconds(30), [&] { Test.Down = true; });
  Test.Timers.after(std::chrono::seconds(60), [&] {
    Test.Down = false;
    Test.put("service", "ledger", "{}", "operator-2");
  });
  ctl_options Options;
  Options.Arguments = {"service"};
  Options.For = std::chrono::seconds(120);

  CHECK(Test.run(runWatch, Options) == exit_code::Ok);

  CHECK(Test.printed(R"("version":2)"));
  CHECK(Test.printed(R"("version":3)"));
  CHECK(!Test.printed("brugge\",\"spec"));
  CHECK(Test.printedError("watch-platform service/*: unavailable"));
}

TEST_CASE("watch ignores outdated state") {
  // A replica that lags behind answers. Its old state must not be printed as
  // new changes.
  fake_site Test;
  Test.put("service", "ledger", "[1]");
  Test.put("service", "ledger", "[2]");
  Test.Timers.after(std::chrono::seconds(30),
                    [&] { Test.Store.serveOldVersion(1); });
  ctl_options Options;
  Options.For = std::chrono::seconds(90);

  Test.run(runWatch, Options);

  CHECK(!Test.printed("[1]"));
}

TEST_CASE("drain shows progress until it is safe to stop the VM") {
  fake_site Test;
  Test.Timers.after(std::chrono::seconds(3), [&] {
    Test.put("drain-status", "ledger-3",
             toJson(drain_status{"ledger-3", 12, 2, false, 0}));
  });
  Test.Timers.after(std::chrono::seconds(9), [&] {
    Test.put("drain-status", "ledger-3",
             toJson(drain_status{"ledger-3", 0, 0, true, 0}));
  });
  ctl_options Options;
  Options.Arguments = {"ledger-3"};
  Options.Wait = true;
  Options.Reason = "new kernel";

  CHECK(Test.run(runDrain, Options) == exit_code::Ok);

  CHECK(Test.body("drain", "ledger-3") == R"({"reason":"new kernel"})");
  CHECK(Test.printed("ledger-3: 12 flows, 2 requests, not safe"));
  CHECK(Test.printed("ledger-3: 0 flows, 0 requests, safe to stop the VM"));
}

TEST_CASE("drain stops waiting after --for_seconds and keeps the drain") {
  fake_site Test;
  ctl_options Options;
  Options.Arguments = {"ledger-3"};
  Options.Wait = true;
  Options.For = std::chrono::seconds(5);

  CHECK(Test.run(runDrain, Options) == exit_code::Refused);

  CHECK(Test.printedError("not safe to stop within the time given"));
  CHECK(!Test.body("drain", "ledger-3").empty());
  Options.Undo = true;
  CHECK(Test.run(runDrain, Options) == exit_code::Ok);
  CHECK(Test.body("drain", "ledger-3").empty());
}

TEST_CASE("status shows where a service is in effect and which nodes lag") {
  fake_site Test;
  Test.put("service", "ledger", Ledger);
  service_status Status;
  Status.Name = "ledger";
  Status.AcceptedVersion = 1;
  Status.ViewVersion = 9;
  Status.AppliedOn = 2;
  Status.Nodes = 3;
  Status.Lagging = {"balancer-3"};
  Status.TargetsReady = 7;
  Status.Conditions = {{"accepted", true, "", 1700000000000}};
  Test.put("service-status", "ledger", toJson(Status));
  Test.put("service", "archive", Ledger);
  Test.put("drain", "ledger-3", "{}");

  CHECK(Test.run(runStatus) == exit_code::Ok);

  CHECK(Test.printed("ledger   1        9     2/3               balancer-3"));
  CHECK(Test.printed("archive  3        -     not taken up yet"));
  CHECK(Test.printed("ledger: accepted since 2023-11-14T22:13:20.000Z"));
  CHECK(Test.printed("ledger-3  -"));
  CHECK(Test.run(runStatus, {"nothing"}) == exit_code::Refused);
}

TEST_CASE("watch continues from the current version when the history is lost") {
  // The platform dropped its history while an operator's terminal was
  // suspended. A watch that kept requesting the old changes would show nothing.
  fake_site Test;
  Test.put("service", "ledger", "{}");
  int Gone = 1;
  Test.Context.Platform.Watch = [&, Watch = Test.Context.Platform.Watch](
                                    std::uint64_t Since, duration Wait,
                                    const platform_callback &Done) {
    if (Gone-- <= 0)
      return Watch(Since, Wait, Done);
    Test.put("service", "archive", "{}");
    platform_reply Reply;
    Reply.Outcome = platform_outcome::HistoryGone;
    Done(Reply);
  };
  ctl_options Options;
  Options.Arguments = {"service"};
  Options.For = std::chrono::seconds(60);
  Test.Timers.after(std::chrono::seconds(10),
                    [&] { Test.put("service", "late", "{}"); });

  CHECK(Test.run(runWatch, Options) == exit_code::Ok);

  CHECK(Test.printedError("history gone"));
  CHECK(Test.printed("late"));
  CHECK_FALSE(Test.printed("archive"));
}
