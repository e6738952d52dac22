#include "agent/agent_group.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::seconds;

namespace {

/// Fills the first choice of \p Flow until it hands new flows on.
unsigned fillFirstChoice(agent_group &Group, const service_view &View,
                         const flow_key &Flow) {
  const service_router Router(View);
  const std::uint16_t First = Router.choices(Flow)[0];
  for (std::uint16_t Port = 10000; Port < 20000; ++Port) {
    const flow_key Other = flowFrom(Port);
    if (Router.choices(Other)[0] != First)
      continue;
    const tcp_packet Syn = synOf(Other);
    if (Group.follow(routedBy(View, Syn), Syn).Path.size() > 1)
      break;
  }
  // Reports tell everyone how full each is.
  Group.advanceTime(seconds(2));
  return static_cast<unsigned>(Router.targetAt(First).Id);
}

} // namespace

TEST_CASE("an agent over its share hands a new flow to the next choice") {
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Full = fillFirstChoice(Group, View, Flow);
  const tcp_packet Syn = synOf(Flow);

  const packet_trace Trace = Group.follow(routedBy(View, Syn), Syn);

  CHECK(Trace.Action == packet_action::Deliver);
  CHECK(Trace.Path[0] == Full);
  CHECK(Trace.Host != Full);
}

TEST_CASE("a SYN that is resent goes the way of the first") {
  // The first choice was full and handed the SYN on; the answer was lost. By
  // the time the caller sends it again the first choice has room. If it took
  // the flow now, two agents would hold it.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Full = fillFirstChoice(Group, View, Flow);
  const tcp_packet Syn = synOf(Flow);
  const packet_trace First = Group.follow(routedBy(View, Syn), Syn);
  for (std::uint16_t Port = 10000; Port < 20000; ++Port)
    Group.Agents.at(Full)->flowRemoved(flowFrom(Port));

  const packet_trace Again = Group.follow(routedBy(View, Syn), Syn);

  CHECK(Again.Host == First.Host);
  CHECK(Group.Agents.at(Full)->count(packet_reason::RedirectRepeated) == 1);
}

TEST_CASE("of two agents that answered one SYN the completed one keeps it") {
  // A SYN that is resent reaches another balancer whose view is older, and a
  // second agent answers it. The caller completes one handshake; the other
  // agent must let go, or it would take the flow's packets and reset it.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const tcp_packet Syn = synOf(Flow);
  const unsigned First = Group.follow(routedBy(View, Syn), Syn).Host;
  routed_packet Other = routedBy(View, Syn);
  std::swap(Other.Owners[0], Other.Owners[1]);
  const unsigned Second = Group.follow(Other, Syn).Host;
  REQUIRE(First != Second);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Path == std::vector<unsigned>{First, Second});
  CHECK(Trace.Action == packet_action::Deliver);
  CHECK(Group.Agents.at(First)->flows() == 0);
  CHECK(Group.Agents.at(Second)->flows() == 1);
}

TEST_CASE("an old flow's late packet does not end a new one's handshake") {
  // The caller used its port again while packets of the old flow were under
  // way. One arrives between the new SYN and its completion. Mistaken for the
  // caller's choice of another agent, it would cost the new flow its owner.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const tcp_packet Syn = synOf(Flow);
  const unsigned Owner = Group.follow(routedBy(View, Syn), Syn).Host;
  const tcp_packet Late = ackOf(Flow, 99, 3'000'000'000);
  Group.follow(routedBy(View, Late), Late);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Action == packet_action::Deliver);
  CHECK(Trace.Host == Owner);
}

TEST_CASE("an owner of a dead flow passes the packets of its port's next one") {
  // A caller's VM was replaced and its successor opened a flow from the same
  // port, which another agent took. The old owner, first in the list, still
  // holds the old flow; if it took the packets the new flow would hang.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned OldOwner = openFlow(Group, View, Flow);
  const tcp_packet Syn = synOf(Flow, 3'000'000'000);
  routed_packet Other = routedBy(View, Syn);
  std::swap(Other.Owners[0], Other.Owners[1]);
  const unsigned NewOwner = Group.follow(Other, Syn).Host;
  REQUIRE(NewOwner != OldOwner);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow], 3'000'000'000);

  const packet_trace Trace = Group.follow(routedBy(View, Ack), Ack);

  CHECK(Trace.Path == std::vector<unsigned>{OldOwner, NewOwner});
  CHECK(Trace.Action == packet_action::Deliver);
}

TEST_CASE("a half-open flow that is never completed is forgotten") {
  const service_view View = viewOf(2);
  agent_group Group(View);
  const tcp_packet Syn = synOf(flowFrom(4000));
  const unsigned Owner = Group.follow(routedBy(View, Syn), Syn).Host;
  REQUIRE(Group.Agents.at(Owner)->flows() == 1);

  Group.advanceTime(seconds(30));

  CHECK(Group.Agents.at(Owner)->flows() == 0);
}

TEST_CASE("a closing flow takes late packets and does not count") {
  const service_view View = viewOf(2);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  Group.Agents.at(Owner)->flowClosing(Flow, Group.Now);
  CHECK(Group.Agents.at(Owner)->flows() == 0);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  CHECK(Group.follow(routedBy(View, Ack), Ack).Host == Owner);

  Group.advanceTime(seconds(40));

  CHECK(Group.follow(routedBy(View, Ack), Ack).Action == packet_action::Reset);
}
