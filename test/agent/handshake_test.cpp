#include "agent/agent_group.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::seconds;

namespace {

/// Opens flows at the first choice of \p Flow until it passes new ones on.
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
  // Wait for reports, so that all agents know the flow counts.
  Group.advanceTime(seconds(2));
  return static_cast<unsigned>(Router.targetAt(First).Id);
}

} // namespace

TEST_CASE("an agent over its share passes a new flow to the next choice") {
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

TEST_CASE("a retransmitted SYN is passed to the same agent as the first") {
  // The first choice was over its share and passed the SYN on; the answer was
  // lost. When the caller retransmits, the first choice has capacity. If it
  // accepted the flow now, two agents would have it.
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

TEST_CASE("if two agents answer one SYN, the one whose handshake completes "
          "keeps it") {
  // A retransmitted SYN reaches a balancer with an older view, and a second
  // agent answers it. The caller completes one handshake. The other agent must
  // discard its half-open flow, or it would receive the packets and reset it.
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
  // The caller reuses its port while packets of the old flow are in transit.
  // One arrives between the new SYN and the end of the handshake. If it were
  // taken as a handshake completed elsewhere, the new flow would lose its
  // owner.
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

TEST_CASE(
    "the owner of an old flow passes on packets of a new flow from its port") {
  // A caller's VM was replaced, and its successor opened a flow from the same
  // port at another agent. The old owner, first in the list, still has the old
  // flow. If it accepted the packets, the new flow would hang.
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

TEST_CASE("a half-open flow that is never completed expires") {
  const service_view View = viewOf(2);
  agent_group Group(View);
  const tcp_packet Syn = synOf(flowFrom(4000));
  const unsigned Owner = Group.follow(routedBy(View, Syn), Syn).Host;
  REQUIRE(Group.Agents.at(Owner)->flows() == 1);

  Group.advanceTime(seconds(30));

  CHECK(Group.Agents.at(Owner)->flows() == 0);
}

TEST_CASE("a closing flow accepts late packets and is not counted") {
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
