#include "forward/small_site.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

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

  /// A target that a new balancer's walk asks before the flow's owner, and to
  /// which the balancer itself sends nothing.
  std::optional<unsigned> askedOnTheWay(std::uint16_t Port, std::uint32_t Ack,
                                        unsigned Balancer) {
    for (auto &[Number, Host] : Hosts)
      Host.Target.Declined = 0;
    Events.clear();
    addBalancer(Balancer, "zeebrugge");
    packet(Balancer, data(flowOf(Port), Ack));
    Balancers.erase(Balancer);
    endpoint First;
    for (const flow_event &Event : Events)
      if (Event.What == event_kind::OwnerLookupStarted)
        First = Event.Agent;
    for (const auto &[Number, Host] : Hosts)
      if (Host.Target.Declined > 0 && agentAt(Number) != First)
        return Number;
    return std::nullopt;
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

TEST_CASE_FIXTURE(large_service, "a walk makes nobody report for seconds") {
  // All power was lost, and every balancer looks for flows through all targets.
  // Were each agent that a walk comes by to report to the walk's balancer for
  // seconds, they would all report to all, and the links between zones carry
  // more of that than of the walks.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  addBalancer(3, "zeebrugge");
  tellBalancers();
  packet(3, data(Flow, Ack));
  const std::uint64_t Answered = Balancers[3]->counters().Reports;
  pass(3s);

  CHECK(Answered <= Targets);
  CHECK(Balancers[3]->counters().Reports - Answered <= Targets);
  CHECK(Balancers[3]->counters().Suspicions == 0);
}

TEST_CASE_FIXTURE(large_service, "a storm of walks asks few questions") {
  // All power was lost, or balancers are restarted in turn, and a balancer
  // looks for many flows at once. Were each walk to ask all whom it names,
  // every balancer would ask every agent several times a second.
  constexpr std::uint64_t AtOnce = 16;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    openAndLose(flowOf(Port));
  addBalancer(3, "zeebrugge");
  const std::uint64_t Before = Balancers[3]->counters().Questions;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    packet(3, data(flowOf(Port), 1));
  CHECK(Balancers[3]->counters().Questions - Before <= AtOnce);
}

TEST_CASE_FIXTURE(large_service, "a VM that is gone hides no owner in a long "
                                 "walk") {
  // One of 140 targets is gone without a word, and stands before the flow's
  // owner. Callers send again 200, 600 and 1,400 ms after the first packet; the
  // last of them finds the owner, though not all can be asked at once.
  std::size_t Hidden = 0;
  unsigned Balancer = 10;
  addBalancer(Balancer, "oostende");
  for (std::uint16_t Port = 1001; Port < 1021; ++Port) {
    const std::uint32_t Ack = open(10, flowOf(Port));
    const auto Gone = askedOnTheWay(Port, Ack, ++Balancer);
    if (!Gone)
      continue;
    ++Hidden;
    Hosts[*Gone].Cut = true;
    addBalancer(++Balancer, "zeebrugge");
    Received.clear();
    for (const duration Pause : {200ms, 400ms, 800ms, 0ms}) {
      packet(Balancer, data(flowOf(Port), Ack));
      pass(Pause);
    }
    CHECK(answers() > 0);
    Balancers.erase(Balancer);
    Hosts[*Gone].Cut = false;
  }
  CHECK(Hidden > 0);
}
