#include "forward/small_site.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE("a packet and its list fit a link") {
  // A service has more targets than fit in front of a long packet. If all were
  // listed, the datagram would be fragmented, and large requests would be slow.
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
    updateBalancers();
  }

  /// Opens a flow whose target then loses it and whose agent is restarted
  /// without its records.
  std::uint32_t openAndLose(const flow_key &Flow) {
    const std::uint32_t Ack = open(1, Flow);
    const unsigned Owner = ownerOf(Flow);
    Hosts[Owner].Target = {};
    startAgent(Owner);
    Received.clear();
    return Ack;
  }

  /// Sends a new flow's packet to the agent \p Number alone.
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

  /// Returns a target that a new balancer's lookup tries before the flow's
  /// owner, and to which the balancer itself sends nothing.
  std::optional<unsigned> targetAskedBeforeOwner(std::uint16_t Port,
                                                 std::uint32_t Ack,
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

  std::size_t askedTargets() const {
    std::size_t Count = 0;
    for (const auto &[Number, Host] : Hosts)
      Count += Host.Target.Declined > 0;
    return Count;
  }
};

} // namespace

TEST_CASE_FIXTURE(large_service, "a lookup continues where a list ends") {
  // The fabric moves flows to a balancer of another zone that has never seen
  // them. Its own zone alone has more targets than one list can name, so no
  // owner is in the first list. If the lookup ended there, the requests would
  // time out although the targets are running.
  addBalancer(3, "oostende");
  updateBalancers();
  for (std::uint16_t Port = 1001; Port < 1101; ++Port) {
    const std::uint32_t Ack = open(3, flowOf(Port));
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
    CHECK(resets() == 0);
  }
}

TEST_CASE_FIXTURE(large_service,
                  "a lost flow is reset after all targets declined") {
  // There are more targets than one list can name, and the flow's owner has
  // lost it. The caller has to get a reset, but not before all targets have
  // declined.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  packet(2, data(Flow, Ack));

  CHECK(resets() == 1);
  CHECK(askedTargets() == Targets);
}

TEST_CASE_FIXTURE(large_service, "packets of a known flow carry a short list") {
  // Most packets belong to flows with a known owner. With all targets listed, a
  // packet without data would be eight times as long on every link.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  SentBytes = 0;
  Received.clear();
  packet(1, data(Flow, Ack));

  CHECK(answers() == 1);
  CHECK(SentBytes < 200);

  // If the owner has lost the flow, the lookup continues with the other
  // targets.
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  Received.clear();
  packet(1, data(Flow, Ack));
  CHECK(resets() == 1);
  CHECK(askedTargets() == Targets);
}

TEST_CASE_FIXTURE(large_service,
                  "copies behind a cached owner stay in the zone too") {
  // One VM has failed, and the balancers have its flows in their caches.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  packet(1, data(Flow, Ack));
  CHECK(resets() == 1);
  Hops = 0;
  packet(1, data(Flow, Ack));
  CHECK(Hops <= MaxRoutedOwners + 2);
}

TEST_CASE_FIXTURE(large_service,
                  "copies of a lost flow's packet stay in the zone") {
  // After a power failure, callers retransmit unanswered packets. If every copy
  // started a lookup through all zones, all agents would be overloaded by flows
  // that have no owner.
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

  // The caller may have missed the reset, or the lookup may have lost its
  // packet.
  pass(200ms);
  packet(2, data(Flow, Ack));
  CHECK(resets() == 2);
}

TEST_CASE_FIXTURE(large_service,
                  "no flow is reset if the list changed during the lookup") {
  // A target joins or leaves during a lookup with several lists. The rest of
  // the order is then counted from a different beginning, and the owner may be
  // skipped.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  BeforeBalancerReceives = [this] {
    BeforeBalancerReceives = nullptr;
    for (unsigned Number = 1; Number < 40; ++Number)
      Hosts[Number].InStore = false;
    updateBalancers();
  };
  packet(2, data(Flow, Ack));

  CHECK(BeforeBalancerReceives == nullptr);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(
    large_service,
    "no flow is reset if knowledge became outdated during the lookup") {
  // The store becomes unavailable during a lookup. A target that has joined
  // since may own the flow.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  BeforeBalancerReceives = [this] { expireKnowledge(); };
  packet(2, data(Flow, Ack));

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(large_service,
                  "an unresponsive target leaves a long lookup indeterminate") {
  // One of many targets hangs and cannot decline. The lookup continues past it,
  // but at its end the flow must not be reset.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  constexpr unsigned Unresponsive = 1;
  Hosts[Unresponsive].Target.Frozen = true;
  offerDirectly(Unresponsive, syn(flowOf(2001)));
  pass(100ms);
  REQUIRE(Hosts[Unresponsive].ProbeRequested);
  updateBalancers();
  Received.clear();
  packet(2, data(Flow, Ack));
  pass(100ms);

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(large_service, "a forged lookup is dropped") {
  // Any process of the site can send datagrams to a balancer. A forged one must
  // not start a lookup for a new flow or for an unknown route.
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

TEST_CASE_FIXTURE(large_service,
                  "a lookup does not make agents report for seconds") {
  // After a power failure, every balancer looks up flows through all targets.
  // If each agent that a lookup reaches then reported to that balancer for
  // seconds, all agents would report to all balancers, and the links between
  // zones would carry more reports than lookups.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = openAndLose(Flow);
  addBalancer(3, "zeebrugge");
  updateBalancers();
  packet(3, data(Flow, Ack));
  const std::uint64_t Answered = Balancers[3]->counters().Reports;
  pass(3s);

  CHECK(Answered <= Targets);
  CHECK(Balancers[3]->counters().Reports - Answered <= Targets);
  CHECK(Balancers[3]->counters().Suspicions == 0);
}

TEST_CASE_FIXTURE(large_service,
                  "many lookups at once send few report requests") {
  // After a power failure, or when balancers are restarted one after the other,
  // a balancer looks up many flows at once. If each lookup requested reports
  // from all agents it lists, every balancer would send requests to every agent
  // several times a second.
  constexpr std::uint64_t MaxBurst = 16;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    openAndLose(flowOf(Port));
  addBalancer(3, "zeebrugge");
  const std::uint64_t Before = Balancers[3]->counters().ReportRequests;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    packet(3, data(flowOf(Port), 1));
  CHECK(Balancers[3]->counters().ReportRequests - Before <= MaxBurst);
}

TEST_CASE_FIXTURE(large_service,
                  "a failed VM hides no owner in a long lookup") {
  // One of 140 targets has failed and comes before the flow's owner in the
  // list. Callers retransmit 200, 600 and 1,400 ms after the first packet; the
  // last copy has to reach the owner, although reports cannot be requested from
  // all agents at once.
  std::size_t Hidden = 0;
  unsigned Balancer = 10;
  addBalancer(Balancer, "oostende");
  for (std::uint16_t Port = 1001; Port < 1021; ++Port) {
    const std::uint32_t Ack = open(10, flowOf(Port));
    const auto Failed = targetAskedBeforeOwner(Port, Ack, ++Balancer);
    if (!Failed)
      continue;
    ++Hidden;
    Hosts[*Failed].Cut = true;
    addBalancer(++Balancer, "zeebrugge");
    Received.clear();
    for (const duration Pause : {200ms, 400ms, 800ms, 0ms}) {
      packet(Balancer, data(flowOf(Port), Ack));
      pass(Pause);
    }
    CHECK(answers() > 0);
    Balancers.erase(Balancer);
    Hosts[*Failed].Cut = false;
  }
  CHECK(Hidden > 0);
}
