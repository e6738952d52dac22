#include "agent/agent_group.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a packet for another service is dropped, whatever its list says") {
  // A balancer with a mixed-up table names this agent as the owner of another
  // service's flow. Taken in, a message for ledger would run at archive.
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

TEST_CASE("a packet finds its owner at any place in the list") {
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

TEST_CASE("a flow that nobody owns is reset at once") {
  // The owner died and its flows with it. Without a reset the caller would go
  // on sending into silence for minutes.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Action == packet_action::Reset);
  CHECK(Trace.Reason == packet_reason::NoOwner);
}

TEST_CASE("an agent that has not heard of the fleet resets nothing") {
  // The agent was cut off and the flow's owner joined meanwhile. A reset on
  // the ground of its old view would end a healthy flow; a dropped packet is
  // sent again and takes another way.
  const service_view View = viewOf(4);
  agent_group Group(View);
  Group.Now += seconds(30);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Action == packet_action::Drop);
  CHECK(Trace.Reason == packet_reason::Unconfirmed);
}

TEST_CASE("a packet of a balancer that is cut off is never answered by reset") {
  const service_view View = viewOf(4);
  agent_group Group(View);
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);
  routed_packet Routed = routedBy(View, Ack);
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Stale);

  CHECK(Group.follow(Routed, Ack).Reason == packet_reason::Unconfirmed);
}

TEST_CASE("an agent with a newer view leads an old balancer's packet on") {
  // Hosts 4 to 6 replaced 1 to 3 and took new flows; one balancer has not
  // heard of it. Its packets reach agents that no longer take flows, and the
  // caller's session would be reset in the middle of a planned change.
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

TEST_CASE("a packet visits no agent twice, whatever versions the agents have") {
  // Agents with different views each think that another one owns the flow. If
  // they sent it back and forth, a few packets would fill their links.
  const service_view First = viewOf(6);
  agent_group Group(First);
  service_view View = First;
  for (unsigned Host = 1; Host <= 6; ++Host) {
    View = withGeneration(View, {Host, Host % 6 + 1});
    Group.Agents.at(Host)->takeView(View, Group.Now);
  }
  for (std::uint16_t Port = 4000; Port < 4100; ++Port)
    for (const tcp_packet &Packet :
         {synOf(flowFrom(Port)), ackOf(flowFrom(Port), 1)}) {
      const packet_trace Trace = Group.follow(routedBy(First, Packet), Packet);
      const std::set<unsigned> Distinct(Trace.Path.begin(), Trace.Path.end());
      CHECK(Distinct.size() == Trace.Path.size());
    }
}

TEST_CASE("an agent that started again answers for none of its old flows") {
  // The agent's process was restarted and knows no flows. The caller has to
  // learn that its session is over instead of waiting for an answer.
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

TEST_CASE("an agent that has just started trusts its view only after its "
          "peers have spoken") {
  // It was handed an old view by a balancer that lags. Its peers know newer
  // owners; a reset before they have said so would end a healthy flow.
  const service_view View = viewOf(3);
  agent_group Group(View);
  const service_view Newer = withGeneration(View, {1, 2, 3});
  Group.Agents.at(1)->takeView(Newer, Group.Now);
  Group.Agents.at(2)->takeView(Newer, Group.Now);
  Group.start(3, 2);
  Group.Agents.at(3)->takeView(View, Group.Now);
  Group.advanceTime(seconds(4));
  const tcp_packet Ack = ackOf(flowFrom(4000), 1);
  routed_packet Routed = routedBy(View, Ack);
  Routed.Owners[0] = agentOf(3);
  Routed.Count = 1;

  CHECK(Group.follow(Routed, Ack).Reason == packet_reason::Unconfirmed);
}

TEST_CASE("a draining agent keeps its flows and hands new ones on") {
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

TEST_CASE("an agent whose drain was taken back accepts new flows") {
  // A drained host that stayed closed after its operator took the drain back
  // would leave its share of the callers to the others for good.
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

TEST_CASE("a flow needs its generation only while the newest would not find "
          "its owner") {
  // Old generations make lists long. One may go when every flow opened under
  // it would be found without it, and not a moment before: its flows' packets
  // would find nobody. The service has more targets than a list can name.
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

  // Four choices of all: the owner may or may not be among them again.
  const service_router Newest(withGeneration(Without, All));
  bool Found = false;
  for (const std::uint16_t Position : Newest.choices(Flow))
    Found = Found || Newest.targetAt(Position).Agent == agentOf(Owner);
  CHECK(Group.Agents.at(Owner)->oldestNeededGeneration() == (Found ? 3 : 1));
}

TEST_CASE(
    "a service whose targets fit one list keeps no generation for flows") {
  // Kept for flows of hours, eight generations would be in use after eight
  // joins, and no new host could come.
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
