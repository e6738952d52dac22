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

TEST_CASE("balancers that start ask different agents first") {
  // All VMs have lost power. Each agent waits for the word of any balancer; if
  // all balancers went through the list from its head, the last agents of a
  // zone of thousands would hear of them after a minute and a half.
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
  // A VM was replaced and its address used again: two entries stand for it, and
  // either may be the one that lives.
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

TEST_CASE("silence elsewhere takes no turn from the own zone") {
  // All power was lost. Hundreds of agents in other zones have not answered
  // yet; were they asked again in the own zone's turns, its agents would wait
  // for seconds for the word that lets their targets take new flows, and
  // callers' flows go to other zones meanwhile.
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

TEST_CASE("a silent address is silent for every entry of it") {
  // Two entries of different services stand for one address, and its VM is
  // gone. With only one of them found silent, the walks for the other one's
  // flows go on to end there.
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

TEST_CASE("a balancer asks every agent of its zone in turn") {
  agent_table AgentTable("brugge", 17);
  AgentTable.set(zoneOfAgents(), instant(10s));
  std::set<endpoint> Requested;
  for (unsigned Round = 0; Round < AgentsInZone / 16; ++Round)
    for (const endpoint &Agent : requestedBy(AgentTable, instant(10s)))
      Requested.insert(Agent);
  CHECK(Requested.size() == AgentsInZone);
}
