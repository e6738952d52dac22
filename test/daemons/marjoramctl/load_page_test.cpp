#include "load_page.h"
#include "load_pages.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::ctl;
using std::chrono::milliseconds;

static load_page parsed(const std::string &Text) {
  load_page Page;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Page, parseLoadPage(Text, "10.0.0.1:7000"));
    return {};
  });
  CHECK_FALSE(Failure);
  return Page;
}

static std::string faultOf(const std::string &Text) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(parseLoadPage(Text, "10.0.0.1:7000"));
    return {};
  });
  return Failure ? toText(*Failure) : "";
}

TEST_CASE("parseLoadPage reads all fields of a page") {
  const load_page Page = parsed(BusyPage);

  CHECK(Page.LeftOut == 0);
  REQUIRE(Page.Agents.size() == 3);
  const agent_load &Load = Page.Agents[0];
  CHECK(toText(Load.Agent) == "10.1.0.16:8172");
  CHECK(Load.Service == "ledger");
  CHECK(Load.Zone == "brugge");
  CHECK(Load.takesFlows());
  CHECK(Load.Flows == 120);
  CHECK(Load.Busy == 700);
  CHECK(Load.Active == 5);
  CHECK(Load.Slots == 4);
  CHECK(Load.ReportAge == milliseconds(120));
  REQUIRE(Load.Capacity);
  CHECK(Load.Capacity->FreeSlots == 0);
  CHECK(Load.Capacity->Waiting[2] == 7);
  CHECK(Load.Capacity->Wait[3] == milliseconds(160));
  REQUIRE(Page.Admission.size() == 1);
  CHECK(Page.Admission[0].FromPriority == 2);
  CHECK(Page.Admission[0].Since == milliseconds(1400));
  CHECK(Page.Admission[0].Refused == 312);
  CHECK(Page.EvacuatedZones == std::set<std::string>{"zeebrugge"});
}

TEST_CASE("an agent without a long report or any report is accepted") {
  // Agents of earlier versions send no capacity, and a balancer lists an agent
  // before its first report.
  const load_page Page = parsed(BusyPage);

  CHECK_FALSE(Page.Agents[1].Capacity);
  CHECK(Page.Agents[1].ReportAge);
  CHECK_FALSE(Page.Agents[2].Capacity);
  CHECK_FALSE(Page.Agents[2].ReportAge);
}

TEST_CASE("a malformed entry is left out and the others are kept") {
  // One faulty entry must not hide the load of all other targets.
  for (const std::string Entry :
       {"7", R"({"agent": "10.1.0.1:1"})", R"({"agent": "nowhere"})",
        R"({"agent": 7, "service": []})"}) {
    const load_page Page =
        parsed(R"({"agents": [)" + Entry + ", " +
               agentJson("10.1.0.2:1", "brugge", 100) + "]}");
    CHECK(Page.LeftOut == 1);
    CHECK(!Page.FirstReason.empty());
    CHECK(Page.Agents.size() == 1);
  }
}

TEST_CASE("numbers out of range are named") {
  const load_page Page = parsed(
      R"({"agents": [{"agent": "10.1.0.2:1", "service": "ledger",
          "zone": "brugge", "admitting": true, "suspect": false,
          "evacuated": false, "flows": -1, "busy": 0, "active": 0,
          "slots": 4, "report_age_ms": 1}],
          "admission": [{"service": "ledger", "refuses_from_priority": 256}]})");

  CHECK(Page.LeftOut == 2);
  CHECK(Page.FirstReason == "flows is not a number from 0 to 4294967295");
  CHECK(Page.Admission.empty());
}

TEST_CASE("a capacity with a wrong number of priorities is left out") {
  // Priorities would otherwise be attributed to each other.
  const load_page Page =
      parsed(R"({"agents": [)" +
             agentJson("10.1.0.2:1", "brugge", 100,
                       R"({"free_slots": 1, "waiting": [0, 0, 0],
                           "wait_ms": [0, 0, 0, 0]})") +
             "]}");

  CHECK(Page.LeftOut == 1);
  CHECK(Page.FirstReason == "capacity: waiting is not a list of 4 numbers");
}

TEST_CASE("a control character in a name is rejected") {
  // A terminal would interpret it.
  const load_page Page = parsed(
      R"({"agents": [)" + agentJson("10.1.0.2:1", R"(brugge\u001b[2J)", 100) +
      R"(], "evacuated_zones": {"\u001b[2J": 1}})");

  CHECK(Page.LeftOut == 2);
  CHECK(Page.Agents.empty());
  CHECK(Page.EvacuatedZones.empty());
}

TEST_CASE("a page without a list of agents fails with the balancer's name") {
  CHECK(faultOf("<html>").find("decode-message 10.0.0.1:7000: ") == 0);
  CHECK(faultOf("[]") ==
        "decode-message 10.0.0.1:7000: the page lists no agents");
  CHECK(faultOf(R"({"agents": 1e999})").find("too large") != std::string::npos);
  CHECK(faultOf(std::string(100000, '[')).find("10.0.0.1:7000") !=
        std::string::npos);
}

TEST_CASE("admission and evacuated zones of a wrong type are left out") {
  const load_page Page =
      parsed(R"({"agents": [], "admission": 7, "evacuated_zones": []})");

  CHECK(Page.LeftOut == 2);
}

TEST_CASE("mutated pages are parsed or rejected with a reason") {
  // A page can be truncated, come from another version of the balancer or from
  // another program. A crash would hide the other balancers' pages.
  mutated_json Mutations(BusyPage, 1);
  int Parsed = 0;
  for (int I = 0; I < 4000; ++I) {
    const std::string Text = Mutations.next();
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Page, parseLoadPage(Text, "10.0.0.1:7000"));
      ++Parsed;
      CHECK(Page.FirstReason.empty() == (Page.LeftOut == 0));
      return {};
    });
    if (Failure) {
      CHECK(Failure->Peer == "10.0.0.1:7000");
      CHECK(!Failure->Reason.empty());
    }
  }
  CHECK(Parsed > 0);
}
