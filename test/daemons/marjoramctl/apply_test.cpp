#include <doctest/doctest.h>

#include "fake_site.h"

using namespace marjoramrail;
using namespace marjoramrail::ctl;

static std::string service(const std::string &Name, int Number,
                           const std::string &Rest = "") {
  const std::string Text = std::to_string(Number);
  return R"({"kind":"service","name":")" + Name + R"(","spec":{"number":)" +
         Text + R"(,"address":"10.77.0.)" + Text +
         R"(:443","zones":["brugge"])" + Rest + "}}";
}

static const std::string Zone =
    R"({"kind":"zone","name":"brugge","spec":{"number":1,"region":"be-west"}})";

static const std::string Site =
    "[" + service("ledger", 1) + "," + service("archive", 2) + "," + Zone + "]";

TEST_CASE("apply writes the objects of a file, zones first") {
  fake_site Test;
  Test.Files["site.json"] = Site;

  CHECK(Test.run(runApply, {"site.json"}) == exit_code::Ok);

  CHECK(Test.printed("zone/brugge applied, version 1"));
  CHECK(Test.printed("service/ledger applied, version 2"));
  CHECK(Test.Store.list("service").Objects.size() == 2);
}

TEST_CASE("apply does not write an unchanged object") {
  fake_site Test;
  Test.Files["site.json"] = Site;
  Test.run(runApply, {"site.json"});

  CHECK(Test.run(runApply, {"site.json"}) == exit_code::Ok);

  CHECK(Test.printed("service/ledger unchanged, version 2"));
  CHECK(Test.Store.version() == 3);
}

TEST_CASE("apply writes nothing if one object of a file is invalid") {
  // One object of a site's file is invalid. If the others were written, half of
  // a change would be in effect until an operator noticed.
  fake_site Test;
  Test.Files["site.json"] = "[" + Zone + "," + service("ledger", 1) + "," +
                            service("archive", 2, R"(,"slots_per_target":0)") +
                            "]";

  CHECK(Test.run(runApply, {"site.json"}) == exit_code::Refused);

  CHECK(Test.Store.version() == 0);
  CHECK(Test.printedError(
      "validate-object site.json: service/archive: field "
      "slots_per_target: 0 is not a whole number from 1 to 100000"));
  CHECK(Test.printedError("nothing was applied"));
}

TEST_CASE("apply checks objects against the stored ones") {
  fake_site Test;
  Test.Files["site.json"] = Site;
  Test.run(runApply, {"site.json"});
  Test.Files["more.json"] = service("ledger-2", 1);
  Test.Files["zone.json"] = service("third", 3);
  Test.Files["zone.json"].replace(Test.Files["zone.json"].find("brugge"), 6,
                                  "nowhere");

  CHECK(Test.run(runApply, {"more.json"}) == exit_code::Refused);
  CHECK(Test.printedError(
      "service/ledger-2: field number: is that of service ledger"));
  CHECK(Test.run(runApply, {"zone.json"}) == exit_code::Refused);
  CHECK(Test.printedError("there is no zone nowhere"));
  CHECK(Test.Store.version() == 3);
}

TEST_CASE("of two concurrent writers one gets a conflict with the other's") {
  // Both operators read version 2 of ledger. The second write must not
  // overwrite the first, and its operator must see what the first one wrote.
  fake_site Test;
  Test.Files["site.json"] = Site;
  Test.run(runApply, {"site.json"});
  Test.Files["mine.json"] = service("ledger", 1, R"(,"max_share_percent":120)");
  Test.BeforeChange = [&] {
    Test.put("service", "ledger", R"({"theirs":1})", "operator-2");
  };

  CHECK(Test.run(runApply, {"mine.json"}) == exit_code::Conflict);

  CHECK(Test.body("service", "ledger") == R"({"theirs":1})");
  CHECK(Test.printedError("write-platform service/ledger: conflict"));
  CHECK(Test.printedError(R"({"theirs":1})"));
}

TEST_CASE("apply with --if-version refuses an outdated version") {
  fake_site Test;
  Test.Files["site.json"] = Site;
  Test.run(runApply, {"site.json"});
  Test.Files["mine.json"] = service("ledger", 1, R"(,"max_share_percent":120)");
  ctl_options Options;
  Options.Arguments = {"mine.json"};
  Options.IfVersion = 1;

  CHECK(Test.run(runApply, Options) == exit_code::Conflict);
  Options.IfVersion = 2;
  CHECK(Test.run(runApply, Options) == exit_code::Ok);
}

TEST_CASE("apply reads back when the answer to a write is lost") {
  // The write took effect, but its answer was lost. An operator who is told
  // "failed" would apply again and might undo a colleague's change.
  fake_site Test;
  Test.Files["zone.json"] = Zone;
  Test.LoseAnswers = 1;

  CHECK(Test.run(runApply, {"zone.json"}) == exit_code::Ok);

  CHECK(Test.printed("zone/brugge applied, version 1"));
  CHECK(Test.printedError("the answer was lost; reading back"));
  CHECK(Test.Changes == 1);
}

TEST_CASE("apply repeats a write whose request was lost") {
  fake_site Test;
  Test.Files["zone.json"] = Zone;
  Test.LoseRequests = 2;

  CHECK(Test.run(runApply, {"zone.json"}) == exit_code::Ok);

  CHECK(Test.Store.version() == 1);
  CHECK(Test.Changes == 3);
}

TEST_CASE("apply reports an outcome that cannot be determined") {
  // The platform goes down between the write and the read-back and stays down.
  fake_site Test;
  Test.Files["zone.json"] = Zone;
  Test.LoseAnswers = 1;
  Test.BeforeChange = [&] { Test.Down = true; };

  CHECK(Test.run(runApply, {"zone.json"}) == exit_code::Unknown);
  CHECK(Test.printedError("write-platform zone/brugge: unknown"));
}

TEST_CASE("apply reports which objects were written when a later write fails") {
  // The platform goes down while a file is applied. The operator must know
  // which of its objects are now in effect.
  fake_site Test;
  Test.Files["site.json"] = Site;
  Test.BeforeChange = [&] { Test.BeforeChange = [&] { Test.Down = true; }; };

  CHECK(Test.run(runApply, {"site.json"}) == exit_code::Unavailable);

  CHECK(Test.printedError(
      "1 of 3 objects stand as in the files; left: service/ledger "
      "service/archive"));
}

TEST_CASE("apply refuses an object that is in two files") {
  fake_site Test;
  Test.Files["a.json"] = Zone;
  Test.Files["b.json"] = Zone;

  CHECK(Test.run(runApply, {"a.json", "b.json"}) == exit_code::Refused);
  CHECK(Test.run(runApply, {"missing.json"}) == exit_code::Refused);
  CHECK(Test.run(runApply, std::vector<std::string>()) == exit_code::Usage);
  CHECK(Test.Store.version() == 0);
}

TEST_CASE("validate needs no platform") {
  fake_site Test;
  Test.Down = true;
  Test.Files["site.json"] = Site;
  Test.Files["bad.json"] = "[\n{";

  CHECK(Test.run(runValidate, {"site.json"}) == exit_code::Ok);
  CHECK(Test.printed("3 objects are right"));
  CHECK(Test.run(runValidate, {"bad.json"}) == exit_code::Refused);
  CHECK(Test.printedError("bad.json: line 2"));
}
