#include <doctest/doctest.h>

#include "evacuation_progress.h"
#include "fake_site.h"

using namespace marjoramrail;
using namespace marjoramrail::ctl;

namespace {

const std::string KnowingPage = R"({"agents": [
  {"agent": "10.1.0.1:1", "zone": "brugge", "evacuated": true, "flows": 3},
  {"agent": "10.1.0.2:1", "zone": "brugge", "evacuated": true, "flows": 4},
  {"agent": "10.2.0.1:1", "zone": "oostende", "flows": 9}],
  "evacuated_zones": {"brugge": 2.5}, "evacuations_version": 7})";
const std::string UnknowingPage = R"({"agents": [
  {"agent": "10.1.0.1:1", "zone": "brugge", "evacuated": false, "flows": 5}],
  "evacuated_zones": {}, "evacuations_version": 0})";

struct evacuated_site : fake_site {
  evacuated_site() {
    put("marjoramrail", "balancer.a", R"({"self": "10.0.0.1:7000"})");
    put("marjoramrail", "balancer.b", R"({"self": "10.0.0.2:7000"})");
    put("marjoramrail", "target.a", R"({"agent": "10.1.0.1:1"})");
    Pages[{0x0a000001, 7000}] = KnowingPage;
    Pages[{0x0a000002, 7000}] = KnowingPage;
  }

  bool stands(const std::string &Zone) {
    return Store.read({"evacuations", Zone}).Outcome == platform_outcome::Ok;
  }
};

} // namespace

TEST_CASE_FIXTURE(evacuated_site,
                  "evacuate writes the entry and its progress") {
  CHECK(run(runEvacuate, {"brugge"}) == exit_code::Ok);

  CHECK(stands("brugge"));
  CHECK(printed("brugge: known to 2 of 2 balancers and 2 of 2 agents, "
                "7 flows still open, 2 s"));
}

TEST_CASE_FIXTURE(evacuated_site, "evacuate may be repeated") {
  run(runEvacuate, {"brugge"});
  CHECK(run(runEvacuate, {"brugge"}) == exit_code::Ok);
  CHECK(printed("stands already"));
}

TEST_CASE_FIXTURE(evacuated_site, "evacuate survives a lost answer") {
  LoseAnswers = 1;
  CHECK(run(runEvacuate, {"brugge"}) == exit_code::Ok);
  CHECK(stands("brugge"));
}

TEST_CASE_FIXTURE(evacuated_site, "evacuate --wait waits for all balancers") {
  Pages[{0x0a000002, 7000}] = UnknowingPage;
  ctl_options Options;
  Options.Arguments = {"brugge"};
  Options.Wait = true;
  Options.For = std::chrono::seconds(3);
  CHECK(run(runEvacuate, Options) == exit_code::Refused);
  CHECK(printedError("not obeyed everywhere within the time given"));

  Pages[{0x0a000002, 7000}] = KnowingPage;
  CHECK(run(runEvacuate, Options) == exit_code::Ok);
}

TEST_CASE_FIXTURE(evacuated_site, "a balancer that does not answer is named") {
  Pages.erase({0x0a000002, 7000});
  run(runEvacuate, {"brugge"});
  CHECK(printed("1 balancers did not answer"));
}

TEST_CASE_FIXTURE(evacuated_site, "evacuate --undo removes the entry") {
  run(runEvacuate, {"brugge"});
  ctl_options Options;
  Options.Arguments = {"brugge"};
  Options.Undo = true;
  CHECK(run(runEvacuate, Options) == exit_code::Ok);
  CHECK_FALSE(stands("brugge"));
  CHECK(run(runEvacuate, Options) == exit_code::Ok);
  CHECK(printed("does not stand"));
}

TEST_CASE_FIXTURE(evacuated_site, "evacuations lists the evacuated zones") {
  CHECK(run(runEvacuations, std::vector<std::string>()) == exit_code::Ok);
  CHECK(printed("no zone is evacuated"));

  put("evacuations", "brugge", "{}");
  CHECK(run(runEvacuations, std::vector<std::string>()) == exit_code::Ok);
  CHECK(printed("brugge: known to 2 of 2 balancers"));
}

TEST_CASE_FIXTURE(evacuated_site, "an outage of the platform is reported") {
  Down = true;
  CHECK(run(runEvacuate, {"brugge"}) == exit_code::Unavailable);
  CHECK(run(runEvacuations, std::vector<std::string>()) ==
        exit_code::Unavailable);
}

TEST_CASE("the agents told and their flows are those of any balancer") {
  const site_progress Progress = progressOf(2, {KnowingPage, UnknowingPage});

  const zone_progress &Zone = Progress.Zones.at("brugge");
  CHECK(Zone.Balancers == 1);
  CHECK(Zone.Agents == 2);
  CHECK(Zone.AgentsTold == 2);
  CHECK(Zone.Flows == 9);
  CHECK_FALSE(Progress.isComplete("brugge"));
}

TEST_CASE("a page that cannot be read counts as no answer") {
  const site_progress Progress = progressOf(1, {"<html>"});

  CHECK(Progress.Answered == 0);
  CHECK(Progress.textOf("brugge").find("1 balancers did not answer") !=
        std::string::npos);
}
