#include "forward/forward_world.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct small_site : forward_world {
  small_site() {
    for (unsigned Number = 1; Number <= 5; ++Number)
      addHost(Number);
    for (const unsigned Number : {1U, 2U})
      addBalancer(Number);
    pass(1s);
    tellBalancers();
  }
};

} // namespace

TEST_CASE_FIXTURE(small_site, "a flow opens and is answered") {
  const std::uint32_t Ack = open(1, flowOf(1001));

  CHECK(ownerOf(flowOf(1001)) != 0);
  CHECK(answers() == 1);
  Received.clear();
  CHECK(packet(1, data(flowOf(1001), Ack, 42)) ==
        forward_outcome::SentByMemory);
  REQUIRE(Received.size() == 1);
  CHECK(Received[0].Body == 42);
}

TEST_CASE_FIXTURE(small_site, "a flow lives on through any balancer") {
  // The fabric moves a flow to a balancer that has never seen it, because its
  // former one is gone. Nothing of the former one's memory may be needed.
  for (std::uint16_t Port = 1001; Port < 1041; ++Port) {
    const std::uint32_t Ack = open(1, flowOf(Port));
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
    CHECK(resets() == 0);
  }
}

TEST_CASE_FIXTURE(small_site, "after a detour packets come straight") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  packet(2, data(Flow, Ack));
  Hops = 0;
  packet(2, data(Flow, Ack));

  CHECK(Hops <= 1);
}

TEST_CASE_FIXTURE(small_site, "what nobody holds is reset at once") {
  // A target crashed and was started again: its flows are lost. Without a word
  // the caller waits for its time limit.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  Hosts[ownerOf(Flow)].Target = {};
  Received.clear();
  packet(1, data(Flow, Ack));

  REQUIRE(resets() == 1);
  CHECK(Received[0].Segment.Head.Sequence == Ack);
}

TEST_CASE_FIXTURE(small_site, "a lost flow's own agent tells at once") {
  // A target crashed; its agent knows that it held the flow, and nobody else
  // can. No other target needs to be asked, and no fresh knowledge is needed.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  packet(1, data(Flow, Ack));
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  losePlatform();
  Received.clear();
  Hops = 0;
  packet(1, data(Flow, Ack + 50));

  CHECK(resets() == 1);
  CHECK(Hops == 1);
}

TEST_CASE_FIXTURE(small_site,
                  "a port used again is not taken for the old flow") {
  // A caller uses a port again; its new flow was placed elsewhere. The agent of
  // the old one remembers that its target held a flow of these addresses.
  const flow_key Flow = flowOf(1001);
  open(1, Flow);
  const unsigned Before = ownerOf(Flow);
  Hosts[Before].Target = {};
  const unsigned Next = Before == 1 ? 2 : 1;
  Hosts[Next].Target.Opening[Flow] = 900'000'000;
  Hosts[Next].Target.Flows.insert(Flow);
  Received.clear();
  packet(1, data(Flow, 900'000'001));

  CHECK(resets() == 0);
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(small_site, "nothing is reset on old knowledge") {
  // The store cannot be asked. A target that joined since may hold the flow,
  // and a reset would break it; silence costs the caller time, not its session.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  losePlatform();
  Received.clear();
  packet(1, data(Flow, Ack));

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site, "an owner that is cut off is waited for") {
  // The owner's VM is cut off for a while. All others decline the packet, but
  // the owner has not, and its flow lives.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Cut = true;
  Received.clear();
  for (int Try = 0; Try < 10; ++Try) {
    tellBalancers();
    packet(1, data(Flow, Ack));
    packet(2, data(Flow, Ack));
    pass(200ms);
  }
  CHECK(resets() == 0);

  Hosts[Owner].Cut = false;
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(small_site, "an owner that is frozen is waited for") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target.Frozen = true;
  Received.clear();
  for (int Try = 0; Try < 10; ++Try) {
    tellBalancers();
    packet(2, data(Flow, Ack));
    pass(200ms);
  }
  CHECK(resets() == 0);

  Hosts[Owner].Target.Frozen = false;
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(small_site,
                  "a frozen target does not swallow others' flows") {
  // One target hangs. Packets of other targets' flows, looked for by a balancer
  // that does not know them, must not end there.
  std::map<std::uint16_t, std::uint32_t> Acks;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    Acks[Port] = open(1, flowOf(Port));
  const unsigned Frozen = ownerOf(flowOf(1001));
  Hosts[Frozen].Target.Frozen = true;
  packet(1, syn(flowOf(3000)));
  for (std::uint16_t Port = 3001; Port < 3020; ++Port)
    packet(1, syn(flowOf(Port)));
  pass(1s);
  tellBalancers();
  for (const auto &[Port, Ack] : Acks) {
    if (ownerOf(flowOf(Port)) == Frozen)
      continue;
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
  }
}

TEST_CASE_FIXTURE(small_site, "an agent's restart breaks no flow") {
  // The agent forgets everything; its target holds its flows and has the last
  // word.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  startAgent(Owner);
  Hosts[Owner].Agent->setAdmitting(true);
  Received.clear();
  packet(1, data(Flow, Ack));
  packet(2, data(Flow, Ack));

  CHECK(answers() == 2);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site,
                  "the target whose answer was taken has the flow") {
  // Copies of one SYN reach two targets, and both answer. The caller takes one
  // answer; its next packets may reach the other target's agent first.
  const flow_key Flow = flowOf(1001);
  packet(1, syn(Flow));
  pass(200ms);
  packet(1, syn(Flow, 1));
  std::vector<std::uint32_t> Sequences;
  for (const received &Packet : Received)
    Sequences.push_back(Packet.Segment.Head.Sequence);
  REQUIRE(Sequences.size() == 2);
  CHECK(Sequences[0] != Sequences[1]);
  Received.clear();
  packet(1, data(Flow, Sequences[0] + 1));

  CHECK(answers() == 1);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site, "the flows of a process that is gone are reset") {
  // A target's process has died. Callers that are told before they send lose
  // nothing; a request sent into a dead flow may not be repeated.
  std::size_t Held = 0;
  for (std::uint16_t Port = 1001; Port < 1031; ++Port)
    open(1, flowOf(Port));
  const unsigned Gone = ownerOf(flowOf(1001));
  Held = Hosts[Gone].Target.Flows.size();
  Received.clear();
  Hosts[Gone].Agent->setTargetGone(true, Now);

  CHECK(resets() == Held);
}

TEST_CASE_FIXTURE(small_site, "a former service's flow is found there") {
  // A route has moved to another service. Its old flows live on.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  addHost(8, "archive");
  setRoutes({{RouteAddress, {{"archive", 1}}, {"archive", "ledger"}}});
  Received.clear();
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);

  open(2, flowOf(1002));
  CHECK(ownerOf(flowOf(1002)) == 8);
}

TEST_CASE_FIXTURE(small_site, "a walk asks each target once") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  for (auto &[Number, Host] : Hosts)
    Host.Target.Declined = 0;
  packet(2, data(Flow, Ack));

  for (auto &[Number, Host] : Hosts)
    CHECK(Host.Target.Declined == 1);
}

TEST_CASE("a packet and its list fit a link") {
  // A service has more targets than fit in front of a long packet. Sent anyway,
  // the datagram would go in fragments, and long amendments would crawl.
  constexpr std::size_t LinkBytes = 1500 - 28;
  for (std::size_t Packet = 34; Packet <= 1234; ++Packet)
    CHECK(RoutedFixedBytes + ownersThatFit(Packet) * 6 + Packet <= LinkBytes);
  CHECK(ownersThatFit(34) == MaxRoutedOwners);
}

namespace {

/// A service with more targets than one list can name.
struct large_service : small_site {
  static constexpr unsigned Targets = 2 * MaxRoutedOwners + 12;

  large_service() {
    for (unsigned Number = 6; Number <= Targets; ++Number)
      addHost(Number, "ledger", Number % 2 == 0 ? "brugge" : "oostende");
    pass(1s);
    tellBalancers();
  }

  /// A flow whose target has lost it and whose agent remembers nothing.
  std::uint32_t openAndLose(const flow_key &Flow) {
    const std::uint32_t Ack = open(1, Flow);
    const unsigned Owner = ownerOf(Flow);
    Hosts[Owner].Target = {};
    startAgent(Owner);
    Received.clear();
    return Ack;
  }

  /// A new flow's packet to the agent \p Number alone.
  void offerDirectly(unsigned Number, const test_frame &Frame) {
    const auto Packet = bytesOf(Frame);
    routed_packet Routed;
    Routed.Service = serviceNumber("ledger");
    Routed.Count = 1;
    Routed.Owners[0] = agentAt(Number);
    Routed.Packet = Packet;
    std::vector<std::uint8_t> Buffer(MaxRoutedBytes);
    Buffer.resize(encodeRouted(Routed, Buffer));
    Hosts[Number].Agent->onRouted(balancerAt(1), Buffer, Now);
  }

  std::size_t asked() const {
    std::size_t Count = 0;
    for (const auto &[Number, Host] : Hosts)
      Count += Host.Target.Declined > 0;
    return Count;
  }
};

} // namespace

TEST_CASE_FIXTURE(large_service, "a walk goes on where a list ends") {
  // The fabric moves flows to a balancer of another zone, which has never seen
  // them. Its own zone alone has more targets than a packet can name, so no
  // owner is in the first list: without the rest of the walk their requests
  // would time out one after the other, although the targets are well.
  addBalancer(3, "oostende");
  tellBalancers();
  for (std::uint16_t Port = 1001; Port < 1101; ++Port) {
    const std::uint32_t Ack = open(3, flowOf(Port));
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
    CHECK(resets() == 0);
  }
}

TEST_CASE_FIXTURE(large_service, "a lost flow is reset after everyone's word") {
  // More targets than a list can name, and the flow's own has lost it. The
  // caller is told at once, but not before all of them have declined.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  packet(2, data(Flow, Ack));

  CHECK(resets() == 1);
  CHECK(asked() == Targets);
}

TEST_CASE_FIXTURE(large_service, "packets of a known flow carry a short list") {
  // Most packets are of flows whose owner is known. With everyone in their list
  // a packet without data is eight times as long, on every link that it takes.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  SentBytes = 0;
  Received.clear();
  packet(1, data(Flow, Ack));

  CHECK(answers() == 1);
  CHECK(SentBytes < 200);

  // The list goes on behind the owner when it has lost the flow.
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  Received.clear();
  packet(1, data(Flow, Ack));
  CHECK(resets() == 1);
  CHECK(asked() == Targets);
}

TEST_CASE_FIXTURE(large_service, "copies stay near behind a known owner too") {
  // One VM has lost power, and the balancers remember its flows.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  packet(1, data(Flow, Ack));
  CHECK(resets() == 1);
  Hops = 0;
  packet(1, data(Flow, Ack));
  CHECK(Hops <= MaxRoutedOwners + 2);
}

TEST_CASE_FIXTURE(large_service, "copies of a lost flow's packet stay near") {
  // All power was lost, and callers send what was not answered again and again.
  // A walk for each copy, through all zones, would keep everyone busy with
  // flows that nobody holds.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  Hops = 0;
  packet(2, data(Flow, Ack));
  CHECK(Hops > Targets);
  for (int Copy = 0; Copy < 2; ++Copy) {
    pass(200ms);
    Hops = 0;
    packet(2, data(Flow, Ack));
    CHECK(Hops <= MaxRoutedOwners);
  }
  CHECK(resets() == 1);

  // The caller may have missed the word, or the walk have lost its packet.
  pass(200ms);
  packet(2, data(Flow, Ack));
  CHECK(resets() == 2);
}

TEST_CASE_FIXTURE(large_service, "a list that has changed proves nothing") {
  // A target joins or leaves while a packet walks through a long list: the rest
  // is counted from another beginning, and the owner may be the one left out.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  BeforeBalancer = [this] {
    BeforeBalancer = nullptr;
    for (unsigned Number = 1; Number < 40; ++Number)
      Hosts[Number].InStore = false;
    tellBalancers();
  };
  packet(2, data(Flow, Ack));

  CHECK(BeforeBalancer == nullptr);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(large_service,
                  "a long walk on old knowledge proves nothing") {
  // The store falls silent while a packet walks: a target that has joined since
  // may hold the flow.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  BeforeBalancer = [this] { losePlatform(); };
  packet(2, data(Flow, Ack));

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(large_service, "a silent target leaves a long walk unsure") {
  // One of many targets hangs and cannot say whether it holds the flow. The
  // walk goes on past it, but nobody may call the flow lost at its end.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  constexpr unsigned Silent = 1;
  Hosts[Silent].Target.Frozen = true;
  offerDirectly(Silent, syn(flowOf(2001)));
  pass(100ms);
  REQUIRE(Hosts[Silent].LookedAt);
  tellBalancers();
  Received.clear();
  packet(2, data(Flow, Ack));
  pass(100ms);

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(large_service, "a walk that was made up is dropped") {
  // Any process of the site can send a balancer datagrams; one that no balancer
  // has begun must not start a walk for a new flow or for no route.
  routed_packet Routed;
  const auto Syn = bytesOf(syn(flowOf(1)));
  Routed.Service = serviceNumber("ledger");
  Routed.Count = 1;
  Routed.Owners[0] = agentAt(1);
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Continues);
  Routed.Version = ~std::uint64_t{0};
  Routed.Packet = Syn;
  std::vector<std::uint8_t> Buffer(MaxRoutedBytes);
  Buffer.resize(encodeRouted(Routed, Buffer));
  Hops = 0;
  Balancers[1]->onAgentMessage(agentAt(1), Buffer, Now);
  CHECK(Hops == 0);
}

TEST_CASE("mutated datagrams are dropped or passed on, never worse") {
  small_site Site;
  std::minstd_rand Random(11);
  std::vector<std::vector<std::uint8_t>> Samples;
  routed_packet Routed;
  const auto Packet = bytesOf(forward_world::data(flowOf(1), 7));
  Routed.Service = serviceNumber("ledger");
  Routed.Count = 3;
  for (unsigned I = 0; I < 3; ++I)
    Routed.Owners[I] = agentAt(I + 1);
  Routed.Packet = Packet;
  std::vector<std::uint8_t> Buffer(MaxRoutedBytes);
  Buffer.resize(encodeRouted(Routed, Buffer));
  Samples.push_back(Buffer);
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Continues);
  Buffer.assign(MaxRoutedBytes, 0);
  Buffer.resize(encodeRouted(Routed, Buffer));
  Samples.push_back(Buffer);
  Buffer.assign(LoadReportBytes, 0);
  encodeLoadReport(load_report(), Buffer);
  Samples.push_back(Buffer);
  Samples.push_back(Packet);
  for (int Round = 0; Round < 30000; ++Round) {
    std::vector<std::uint8_t> Bytes = Samples[Random() % Samples.size()];
    Bytes.resize(Random() % 4 == 0 ? Random() % (Bytes.size() + 1)
                                   : Bytes.size());
    for (int Flip = 0; Flip < 2 && !Bytes.empty(); ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<std::uint8_t>(Random());
    Site.Hosts[1].Agent->onRouted(balancerAt(1), Bytes, Site.Now);
    Site.Hosts[1].Agent->onTargetPacket(Bytes, Site.Now);
    Site.Balancers[1]->onCallerPacket(Bytes, Site.Now);
    Site.Balancers[1]->onAgentMessage(agentAt(1), Bytes, Site.Now);
  }
  Site.Received.clear();
  Site.pass(1s);
  Site.tellBalancers();
  CHECK(Site.open(2, flowOf(5000)) > 1);
}

TEST_CASE_FIXTURE(small_site, "callers who give up count as failures") {
  // A target takes requests and answers none. It refuses nothing and fails
  // nothing; only its callers' patience shows that it is not well, and without
  // it new flows would go on to it as to any other.
  const std::uint32_t Next = open(1, flowOf(2001));
  const unsigned Owner = ownerOf(flowOf(2001));
  REQUIRE(Owner != 0);
  Hosts[Owner].Target.Frozen = true;
  test_frame Request = data(flowOf(2001), Next);
  Request.Segment.Head.Sequence = 100;
  packet(1, Request);
  CHECK(Hosts[Owner].Agent->report(Now).Failing == 0);
  test_frame End = data(flowOf(2001), Next);
  End.Segment.Head.Payload = 0;
  End.Segment.Head.Fin = true;
  packet(1, End);
  const auto Failing = Hosts[Owner].Agent->report(Now).Failing;
  CHECK(Failing > 0);
  packet(1, End);
  CHECK(Hosts[Owner].Agent->report(Now).Failing == Failing);
}

TEST_CASE_FIXTURE(small_site, "a flow that ends in calm is no failure") {
  const std::uint32_t Next = open(1, flowOf(2001));
  packet(1, data(flowOf(2001), Next));
  test_frame End = data(flowOf(2001), Next);
  End.Segment.Head.Payload = 0;
  End.Segment.Head.Fin = true;
  packet(1, End);
  CHECK(Hosts[ownerOf(flowOf(2001))].Agent->report(Now).Failing == 0);
}
