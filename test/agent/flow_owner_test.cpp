#include "agent/agent_group.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a packet for another service is dropped even if its list names this "
          "agent") {
  // A faulty balancer lists this agent as an owner of another service's flow.
  // If accepted, a message for ledger would be processed by archive.
  const service_view View = viewOf(3);
  agent_group Group(View);
  tcp_packet Syn = synOf(flowFrom(4000));
  routed_packet Routed = routedBy(View, Syn);
  Routed.Service = service_id(2);
  CHECK(Group.follow(Routed, Syn).Reason == packet_reason::WrongService);

  Routed.Service = Ledger;
  Syn.Flow.Service.Address += 1;

  CHECK(Group.follow(Routed, Syn).Reason == packet_reason::WrongAddress);
}

TEST_CASE("a packet reaches its owner at any position in the list") {
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  routed_packet Routed = routedBy(View, Ack);
  std::reverse(Routed.Owners.begin(), Routed.Owners.begin() + Routed.Count);

  const packet_trace Trace = Group.follow(Routed, Ack);

  CHECK(Trace.Action == packet_action::Deliver);
  CHECK(Trace.Host == Owner);
}

TEST_CASE("a flow that no agent owns is reset at once") {
  // The owner died and its flows are lost. Without a reset the caller would
  // retransmit for minutes without a response.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Action == packet_action::Reset);
  CHECK(Trace.Reason == packet_reason::NoOwner);
}

TEST_CASE("an agent whose view was not confirmed sends no resets") {
  // The agent was disconnected while the flow's owner joined. A reset based on
  // its old view would break a healthy flow. A dropped packet is retransmitted
  // and may take another path.
  const service_view View = viewOf(4);
  agent_group Group(View);
  Group.Now += seconds(30);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Action == packet_action::Drop);
  CHECK(Trace.Reason == packet_reason::Unconfirmed);
}

TEST_CASE(
    "a packet from a disconnected balancer is not answered with a reset") {
  const service_view View = viewOf(4);
  agent_group Group(View);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);
  routed_packet Routed = routedBy(View, Ack);
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Stale);

  CHECK(Group.follow(Routed, Ack).Reason == packet_reason::Unconfirmed);
}

TEST_CASE(
    "an agent with a newer view extends the list of an outdated balancer") {
  // Hosts 4 to 6 replaced 1 to 3 and accepted new flows, but one balancer still
  // has the old view. Its packets reach agents that accept no flows any more.
  // Without the extension the caller's session would be reset during a planned
  // change.
  const service_view Old = viewOf(3);
  agent_group Group(Old);
  for (const unsigned Host : {4, 5, 6})
    Group.start(Host, 1);
  service_view New = viewOf(6, 2);
  New.Generations = {{2, {}}, Old.Generations[0]};
  for (const unsigned Host : {4, 5, 6})
    New.Generations[0].Members.push_back({host_id(Host), 100});
  Group.applyView(New);
  Group.advanceTime(seconds(2));
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, New, Flow);
  REQUIRE(Owner >= 4);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);

  const packet_trace Trace = Group.follow(routedBy(Old, Ack), Ack);

  CHECK(Trace.Action == packet_action::Deliver);
  CHECK(Trace.Host == Owner);
}

TEST_CASE(
    "a packet visits no agent twice whatever view versions the agents have") {
  // Agents with different views may each consider another one the owner. If
  // they passed a packet back and forth, a few packets would fill their links.
  const service_view First = viewOf(6);
  agent_group Group(First);
  service_view View = First;
  for (unsigned Host = 1; Host <= 6; ++Host) {
    View = withGeneration(View, {Host, Host % 6 + 1});
    Group.Agents.at(Host)->applyView(View, Group.Now);
  }
  for (std::uint16_t Port = 4000; Port < 4100; ++Port)
    for (const tcp_packet &Packet :
         {synOf(flowFrom(Port)), ackOf(flowFrom(Port), 1)}) {
      const packet_trace Trace = Group.follow(routedBy(First, Packet), Packet);
      const std::set<unsigned> Distinct(Trace.Path.begin(), Trace.Path.end());
      CHECK(Distinct.size() == Trace.Path.size());
    }
}

TEST_CASE("a restarted agent resets its old flows") {
  // The restarted process has no flows. The caller must get a reset instead of
  // waiting for a response.
  const service_view View = viewOf(3);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  Group.start(Owner, 2);
  service_view After = View;
  After.Version = 2;
  After.Targets[Owner - 1].Incarnation = 2;
  Group.applyView(After);
  Group.advanceTime(seconds(4));
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);

  const packet_trace Trace = Group.follow(routedBy(After, Ack), Ack);

  CHECK(Trace.Action == packet_action::Reset);
}

TEST_CASE("an agent that has just started sends no resets while its peers "
          "know a newer generation") {
  // The agent got an old view from a lagging balancer, and its peers know newer
  // owners. A reset based on the old view would break a healthy flow.
  const service_view View = viewOf(3);
  agent_group Group(View);
  const service_view Newer = withGeneration(View, {1, 2, 3});
  Group.Agents.at(1)->applyView(Newer, Group.Now);
  Group.Agents.at(2)->applyView(Newer, Group.Now);
  Group.start(3, 2);
  Group.Agents.at(3)->applyView(View, Group.Now);
  Group.advanceTime(seconds(4));
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);
  routed_packet Routed = routedBy(View, Ack);
  Routed.Owners[0] = agentOf(3);
  Routed.Count = 1;

  CHECK(Group.follow(Routed, Ack).Reason == packet_reason::Unconfirmed);
}

TEST_CASE("a draining agent keeps its flows and passes new ones to its peers") {
  const service_view View = viewOf(3);
  agent_group Group(View);
  const flow_key Kept = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Kept);
  Group.Agents.at(Owner)->drain();
  const tcp_packet Ack = ackOf(Kept, Group.Initials[Kept]);
  CHECK(Group.follow(routedBy(View, Ack), Ack).Host == Owner);

  for (std::uint16_t Port = 5000; Port < 5050; ++Port) {
    const tcp_packet Syn = synOf(flowFrom(Port));
    const packet_trace Trace = Group.follow(routedBy(View, Syn), Syn);
    CHECK(Trace.Action == packet_action::Deliver);
    CHECK(Trace.Host != Owner);
  }
}

TEST_CASE("an agent whose drain was undone accepts new flows") {
  // If the agent kept refusing flows after the operator undid the drain, the
  // other hosts would have to serve its share permanently.
  const service_view View = viewOf(1);
  agent_group Group(View);
  Group.Agents.at(1)->drain();
  const tcp_packet Syn = synOf(flowFrom(4000));

  Group.Agents.at(1)->resume();
  const packet_trace Trace = Group.follow(routedBy(View, Syn), Syn);

  CHECK(Trace.Action == packet_action::Deliver);
}

TEST_CASE("new flows are refused when every target drains") {
  const service_view View = viewOf(2);
  agent_group Group(View);
  Group.Agents.at(1)->drain();
  Group.Agents.at(2)->drain();
  const tcp_packet Syn = synOf(flowFrom(4000));

  const packet_trace Trace = Group.follow(routedBy(View, Syn), Syn);

  CHECK(Trace.Reason == packet_reason::Refused);
}

TEST_CASE("a flow needs its generation only while the newest one does not "
          "contain its owner") {
  // Old generations make owner lists long. A generation may be removed only
  // when the owner of every flow opened under it is found without it; otherwise
  // those flows would be reset. The service has more targets than fit in a
  // list.
  constexpr unsigned ManyHosts = owner_list::Capacity + 4;
  const service_view View = viewOf(ManyHosts);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  std::vector<unsigned> Others;
  for (unsigned Host = 1; Host <= ManyHosts; ++Host)
    if (Host != Owner)
      Others.push_back(Host);
  const service_view Without = withGeneration(View, Others);
  Group.applyView(Without);
  Group.advanceTime(seconds(1));
  CHECK(Group.Agents.at(Owner)->oldestNeededGeneration() == 1);
  CHECK(Group.Agents.at(Others[0])->oldestNeededGeneration() == 2);

  std::vector<unsigned> All = Others;
  All.push_back(Owner);
  std::sort(All.begin(), All.end());
  Group.applyView(withGeneration(Without, All));
  Group.advanceTime(seconds(1));

  // The owner may or may not be among the four choices of the new generation.
  const service_router Newest(withGeneration(Without, All));
  bool Found = false;
  for (const std::uint16_t Position : Newest.choices(Flow))
    Found = Found || Newest.targetAt(Position).Agent == agentOf(Owner);
  CHECK(Group.Agents.at(Owner)->oldestNeededGeneration() == (Found ? 3 : 1));
}

TEST_CASE(
    "a service whose targets fit in one list keeps no generation for flows") {
  // If flows that last for hours kept their generations, all eight would be in
  // use after eight joins, and no new host could join.
  const service_view View = viewOf(6);
  agent_group Group(View);
  const unsigned Owner = openFlow(Group, View, flowFrom(4000));
  std::vector<unsigned> Others;
  for (unsigned Host = 1; Host <= 6; ++Host)
    if (Host != Owner)
      Others.push_back(Host);
  Group.applyView(withGeneration(View, Others));
  Group.advanceTime(seconds(1));

  CHECK(Group.Agents.at(Owner)->oldestNeededGeneration() == 2);
}
