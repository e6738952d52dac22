#include "agent/agent_group.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A packet routed through \p Via to \p Owner.
routed_packet through(const service_view &View, unsigned Via, unsigned Owner) {
  routed_packet Routed;
  Routed.Service = View.Id;
  Routed.Version = View.Version;
  Routed.Count = 2;
  Routed.Owners[0] = agentOf(Via);
  Routed.Owners[1] = agentOf(Owner);
  return Routed;
}

unsigned otherThan(unsigned Host, unsigned Hosts) { return Host % Hosts + 1; }

} // namespace

TEST_CASE("no flow is opened under a generation before all members know it") {
  // Host 3 does not know yet that hosts 4 and 5 joined. If they accepted flows
  // now, a balancer with the same old view would send their packets to host 3,
  // which would find no owner and reset the flows.
  const service_view Old = viewOf(3);
  agent_group Group(Old);
  Group.start(4, 1);
  Group.start(5, 1);
  service_view New = viewOf(5, 2);
  New.Generations = {{2, {{host_id(4), 100}, {host_id(5), 100}}},
                     Old.Generations[0]};
  for (const unsigned Host : {1, 2, 4, 5})
    Group.Agents.at(Host)->applyView(New, Group.Now);
  Group.advanceTime(seconds(2));
  const tcp_packet Syn = synOf(flowFrom(4000));

  const packet_trace Early = Group.follow(routedBy(New, Syn), Syn);
  CHECK(Early.Action == packet_action::Deliver);
  CHECK(Early.Host <= 3);

  Group.Agents.at(3)->applyView(New, Group.Now);
  Group.advanceTime(seconds(1));
  const tcp_packet Next = synOf(flowFrom(4001));
  CHECK(Group.follow(routedBy(New, Next), Next).Host >= 4);
}

TEST_CASE("the acknowledgement of a member that is down is not required") {
  // Otherwise one dead VM would prevent all later changes from taking effect.
  const service_view Old = viewOf(3);
  agent_group Group(Old);
  Group.start(4, 1);
  Group.Dead.insert(3);
  service_view New = viewOf(4, 2);
  New.Targets[2].State = target_state::Down;
  New.Generations = {{2, {{host_id(4), 100}}}, Old.Generations[0]};
  Group.applyView(New);
  Group.advanceTime(seconds(1));
  const tcp_packet Syn = synOf(flowFrom(4000));

  CHECK(Group.follow(routedBy(New, Syn), Syn).Host == 4);
}

TEST_CASE("acknowledgements from before an agent's restart do not count") {
  // Host 3 knew generation 2, was restarted and got an old view. It does not
  // know generation 2 any more, so no flow may be opened under it.
  const service_view Old = viewOf(3);
  agent_group Group(Old);
  service_view New = withGeneration(Old, {1, 2});
  Group.applyView(New);
  Group.advanceTime(seconds(1));
  Group.start(3, 2);
  Group.Agents.at(3)->applyView(Old, Group.Now);
  service_view After = New;
  After.Version = 3;
  After.Targets[2].Incarnation = 2;
  Group.Agents.at(1)->applyView(After, Group.Now);

  CHECK(Group.Agents.at(1)->oldestNeededGeneration() == 1);
}

TEST_CASE("an owner's death is detected and its flows are reset within a "
          "second") {
  // The owner's VM died and the fleet has not detected it yet. Packets passed
  // to it are lost, and the caller would get no response for seconds.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  Group.Dead.insert(Owner);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  const routed_packet Routed = through(View, otherThan(Owner, 4), Owner);
  CHECK(Group.follow(Routed, Ack).Action == packet_action::PassOn);

  Group.advanceTime(milliseconds(900));

  const packet_trace Trace = Group.follow(Routed, Ack);
  CHECK(Trace.Action == packet_action::Reset);
  CHECK(Trace.Reason == packet_reason::OwnerUnresponsive);
}

TEST_CASE("an agent whose own link is down resets no flows") {
  // To an agent without a link all peers appear dead. If it acted on that, one
  // faulty cable would break the flows of all agents.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  const unsigned Via = otherThan(Owner, 4);
  for (unsigned Host = 1; Host <= 4; ++Host)
    Group.CutLinks.insert({Host, Via});
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  const routed_packet Routed = through(View, Via, Owner);
  CHECK(Group.follow(Routed, Ack).Action == packet_action::Deliver);

  Group.advanceTime(seconds(2));

  routed_packet Only = Routed;
  Only.Count = 1;
  CHECK(Group.follow(Only, Ack).Reason == packet_reason::LinkSuspect);
}

TEST_CASE("an owner that another peer can reach is not suspected") {
  // Only the link between two agents is down. The owner is alive and serves its
  // flows over other paths, so a reset would break healthy flows.
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  const unsigned Via = otherThan(Owner, 4);
  Group.CutLinks.insert({Owner, Via});
  Group.CutLinks.insert({Via, Owner});
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  const routed_packet Routed = through(View, Via, Owner);
  Group.follow(Routed, Ack);

  Group.advanceTime(seconds(2));

  CHECK(Group.follow(Routed, Ack).Action == packet_action::PassOn);
}

TEST_CASE("a peer that responds again is no longer suspect") {
  const service_view View = viewOf(4);
  agent_group Group(View);
  const flow_key Flow = flowFrom(4000);
  const unsigned Owner = openFlow(Group, View, Flow);
  Group.Dead.insert(Owner);
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  const routed_packet Routed = through(View, otherThan(Owner, 4), Owner);
  Group.follow(Routed, Ack);
  Group.advanceTime(seconds(1));
  REQUIRE(Group.follow(Routed, Ack).Action == packet_action::Reset);

  Group.Dead.clear();
  Group.advanceTime(seconds(2));

  CHECK(Group.follow(Routed, Ack).Host == Owner);
}

TEST_CASE("a peer message is unchanged by encoding and decoding") {
  peer_message Message;
  Message.Kind = peer_message_kind::ProbeSucceeded;
  Message.Service = Ledger;
  Message.Host = host_id(7);
  Message.Incarnation = 1'800'000'000;
  Message.Generation = 1ULL << 40;
  Message.Flows = 2000;
  Message.Draining = true;
  Message.Subject = agentOf(3);
  Message.Origin = agentOf(4);
  Message.Load = {0.75, 1.5, 4, false};

  const auto Bytes = encodePeerMessage(Message);
  const auto Back = decodePeerMessage(Bytes);

  REQUIRE(Back);
  CHECK(Back.value() == Message);
}

TEST_CASE("a message that declares a huge size is rejected") {
  // Otherwise twelve forged bytes could crash the agent and end all its flows.
  const std::vector<std::uint8_t> Forged = {0x4d, 0x41, 0x9b, 0xff, 0xff, 0xff,
                                            0xff, 0xff, 0xff, 0xff, 0xff, 0x01};
  CHECK(!decodePeerMessage(Forged));
}

TEST_CASE("bytes that are not a valid peer message are rejected") {
  const auto Good = encodePeerMessage({});
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK(failureOf([&]() -> result<void> {
            auto Message = decodePeerMessage({Good.data(), Size});
            if (!Message)
              return Message.error();
            return {};
          }).has_value());
  for (std::size_t Index = 0; Index < Good.size(); ++Index)
    for (int Flip = 1; Flip < 256; ++Flip) {
      auto Bytes = Good;
      Bytes[Index] ^= static_cast<std::uint8_t>(Flip);
      failureOf([&]() -> result<void> {
        auto Message = decodePeerMessage(Bytes);
        if (!Message)
          return Message.error();
        return {};
      });
    }
}
