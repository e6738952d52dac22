#include "forward/agent_table.h"

#include <doctest/doctest.h>
#include <set>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

constexpr unsigned AgentsInZone = 400;

std::vector<target_entry> zoneOfAgents() {
  std::vector<target_entry> Targets;
  for (unsigned Number = 0; Number < AgentsInZone; ++Number)
    Targets.push_back({"target." + std::to_string(Number),
                       "ledger",
                       {0x0a000100 + Number, 700},
                       "brugge",
                       4,
                       false});
  return Targets;
}

std::vector<endpoint> requestedBy(agent_table &AgentTable, instant Now) {
  std::vector<endpoint> Requested;
  AgentTable.review(Now, Requested, [](const agent_state &) {});
  return Requested;
}

} // namespace

TEST_CASE("balancers that start request reports from different agents first") {
  // After a power failure, each agent waits for a notice from any balancer. If
  // all balancers went through the table from its beginning, the last agents of
  // a zone of thousands would get theirs after a minute and a half.
  const std::vector<target_entry> Targets = zoneOfAgents();
  const instant Now{10s};
  std::set<endpoint> Requested;
  for (unsigned Balancer = 0; Balancer < 100; ++Balancer) {
    agent_table AgentTable("brugge",
                           endpoint_hash()({0x0a000900 + Balancer, 7000}));
    AgentTable.set(Targets, Now);
    for (const endpoint &Agent : requestedBy(AgentTable, Now))
      Requested.insert(Agent);
  }
  CHECK(Requested.size() >= AgentsInZone * 9 / 10);
}

TEST_CASE("a report counts for every entry of its address") {
  // A VM was replaced and its address reused. Two entries have this address,
  // and either may be the running one.
  const instant Now{10s};
  std::vector<target_entry> Targets = zoneOfAgents();
  Targets[7].Agent = Targets[3].Agent;
  Targets[7].Service = "archive";
  agent_table AgentTable("brugge", 17);
  AgentTable.set(Targets, Now);
  load_report Report;
  Report.Agent = Targets[3].Agent;
  Report.Service = serviceNumber("archive");
  Report.Flows = 5;
  const agent_state *Reporter = AgentTable.noteReport(Report, Now);

  REQUIRE(Reporter);
  CHECK(Reporter->Service == serviceNumber("archive"));
  CHECK(AgentTable.at(3).Report.Flows == 5);
  CHECK(AgentTable.at(7).Report.Flows == 5);
  CHECK(!AgentTable.at(4).ReportedAt);
}

TEST_CASE("agents of other zones do not use the own zone's quota") {
  // After a power failure, hundreds of agents in other zones have not answered
  // yet. If requests to them used the quota of the own zone, its agents would
  // wait for seconds for the notice that lets their targets accept new flows,
  // and callers' flows would go to other zones in the meantime.
  std::vector<target_entry> Targets = zoneOfAgents();
  for (unsigned Number = 16; Number < AgentsInZone; ++Number)
    Targets[Number].Zone = "oostende";
  agent_table AgentTable("brugge", 17);
  instant Now{10s};
  AgentTable.set(Targets, Now);
  for (unsigned Number = 16; Number < AgentsInZone; ++Number)
    AgentTable.noteReportRequested(Targets[Number].Agent, Now);
  Now += 200ms;
  const std::vector<endpoint> Requested = requestedBy(AgentTable, Now);
  for (unsigned Number = 0; Number < 16; ++Number)
    CHECK(std::count(Requested.begin(), Requested.end(),
                     Targets[Number].Agent) == 1);
}

TEST_CASE("an unresponsive address is unresponsive for every entry of it") {
  // Two entries of different services have the same address, and its VM has
  // failed. If only one of them were marked unresponsive, owner lookups for
  // flows of the other one would continue to end there.
  instant Now{10s};
  std::vector<target_entry> Targets = zoneOfAgents();
  Targets.resize(8);
  Targets[7].Agent = Targets[3].Agent;
  Targets[7].Service = "archive";
  agent_table AgentTable("oostende", 17);
  AgentTable.set(Targets, Now);
  AgentTable.noteReportRequested(Targets[3].Agent, Now);
  Now += 200ms;
  CHECK(AgentTable.at(3).isUnverified(Now));
  CHECK(AgentTable.at(7).isUnverified(Now));

  AgentTable.noteSent(Targets[3].Agent, Now);
  Now += 600ms;
  std::vector<endpoint> Requests;
  int Suspected = 0;
  AgentTable.review(Now, Requests, [&](const agent_state &) { ++Suspected; });
  CHECK(Suspected == 2);
}

TEST_CASE("a balancer requests a report from every agent of its zone in turn") {
  agent_table AgentTable("brugge", 17);
  AgentTable.set(zoneOfAgents(), instant(10s));
  std::set<endpoint> Requested;
  for (unsigned Round = 0; Round < AgentsInZone / 16; ++Round)
    for (const endpoint &Agent : requestedBy(AgentTable, instant(10s)))
      Requested.insert(Agent);
  CHECK(Requested.size() == AgentsInZone);
}
