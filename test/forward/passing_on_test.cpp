#include "forward/level_site.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Targets of one slot that need 100 ms for a request, in two zones. Agents
/// have learned this time. Targets 1 to 3 are in the balancers' zone.
struct passing_site : level_site {
  static constexpr unsigned Targets = 6;
  std::uint16_t NextPort = 1000;
  /// The balancer that agents take the packets of requestAt() to come from.
  unsigned From = 2;
  /// Number of first packets that state the waits at other agents.
  std::uint64_t KnownWaits = 0;
  /// The routed packets that open flows, by their flow, in the order of
  /// sending.
  std::map<flow_key, std::vector<std::pair<endpoint, std::vector<endpoint>>>>
      Openings;

  passing_site() {
    for (unsigned Number = 1; Number <= Targets; ++Number) {
      addTarget(Number, 1, Number <= 3 ? "brugge" : "oostende");
      Hosts[Number].Target.ServiceTime = 100ms;
    }
    addLevelBalancer(1);
    addLevelBalancer(2);
    pass(1s);
    updateBalancers();
    for (unsigned Number = 1; Number <= Targets; ++Number)
      learn(Number);
    pass(1s);
    OnSend = [this](const endpoint &, const endpoint &To, bytes_view Bytes) {
      recordOpening(To, Bytes);
    };
  }

  /// A packet as a balancer sends it, whose first agent is \p Number.
  routed_packet routedTo(unsigned Number, bytes_view Packet) const {
    routed_packet Routed;
    Routed.Service = serviceNumber("ledger");
    Routed.Count = 1;
    Routed.Owners[0] = agentAt(Number);
    Routed.Balancer = balancerAt(From);
    Routed.Packet = Packet;
    return Routed;
  }

  /// The first packet of a new flow whose list is \p Numbers.
  routed_packet opening(const std::vector<unsigned> &Numbers, bytes_view Packet,
                        std::optional<duration> SubstituteWait) const {
    routed_packet Routed = routedTo(Numbers.front(), Packet);
    Routed.Count = 0;
    for (const unsigned Number : Numbers)
      Routed.Owners[Routed.Count++] = agentAt(Number);
    Routed.Level = stated_level{levelOf(1), 0, 1};
    Routed.SubstituteWait = SubstituteWait;
    return Routed;
  }

  agent_outcome openAt(const std::vector<unsigned> &Numbers, std::uint16_t Port,
                       std::optional<duration> SubstituteWait) {
    const auto Packet = bytesOf(syn(flowOfPort(Port)));
    return routed(Numbers.front(), 2, opening(Numbers, Packet, SubstituteWait));
  }

  static flow_key flowOfPort(std::uint16_t Port) {
    return {{0x64400000U + Port, Port}, routeOf(1)};
  }

  /// Opens a flow at target \p Number and sends a request on it, without
  /// balancer 1 knowing.
  void requestAt(unsigned Number) {
    const std::uint16_t Port = NextPort++;
    const std::size_t Seen = Received.size();
    openAt({Number}, Port, std::nullopt);
    std::uint32_t Acknowledged = 0;
    for (std::size_t I = Seen; I < Received.size(); ++I)
      if (Received[I].Segment.Head.Syn)
        Acknowledged = Received[I].Segment.Head.Sequence + 1;
    test_frame Request = data(flowOfPort(Port), Acknowledged);
    Request.Segment.Head.Sequence = 5000;
    const auto Packet = bytesOf(Request);
    routed_packet Routed = routedTo(Number, Packet);
    Routed.Level = stated_level{levelOf(1), 0, 1};
    routed(Number, 2, Routed);
  }

  void learn(unsigned Number) {
    requestAt(Number);
    pass(200ms);
  }

  void fill(unsigned Number, int Requests = 6) {
    for (int I = 0; I < Requests; ++I)
      requestAt(Number);
  }

  void recordOpening(const endpoint &To, bytes_view Bytes) {
    routed_packet Routed;
    if (!isRouted(Bytes) || decodeRouted(Bytes, Routed) != packet_fault::None)
      return;
    const tcp_packet Head = frameOf(Routed.Packet).Segment.Head;
    if (!Head.opensFlow())
      return;
    KnownWaits += Routed.SubstituteWait.has_value();
    Openings[Head.Flow].push_back(
        {To, {Routed.Owners.begin(), Routed.Owners.begin() + Routed.Count}});
  }

  std::uint64_t passedOn(unsigned Number) const {
    return Hosts.at(Number).Agent->counters().Refusals[static_cast<std::size_t>(
        flow_refusal::NoFreeSlot)];
  }

  bool isOpeningAt(unsigned Number, std::uint16_t Port) const {
    return Hosts.at(Number).Target.Opening.contains(flowOfPort(Port));
  }

  bool isOwnZone(const endpoint &Agent) const {
    return Agent == agentAt(1) || Agent == agentAt(2) || Agent == agentAt(3);
  }
};

} // namespace

TEST_CASE_FIXTURE(passing_site, "a new flow that would wait is passed on") {
  fill(1);
  CHECK(openAt({1, 2, 3}, 1, 0ms) == agent_outcome::PassedOn);
  CHECK(isOpeningAt(2, 1));
  CHECK_FALSE(isOpeningAt(1, 1));
}

TEST_CASE_FIXTURE(passing_site, "a new flow that would not wait stays") {
  CHECK(openAt({1, 2, 3}, 1, 0ms) == agent_outcome::Delivered);
  CHECK(isOpeningAt(1, 1));
}

TEST_CASE_FIXTURE(passing_site, "a flow stays if other waits are unknown") {
  // The balancer has chosen the less loaded of two targets; an arbitrary other
  // one is worse.
  fill(1);
  CHECK(openAt({1, 2, 3}, 1, std::nullopt) == agent_outcome::Delivered);
  CHECK(isOpeningAt(1, 1));
}

TEST_CASE_FIXTURE(passing_site, "equally busy targets pass nothing on") {
  // Flows would go round without being served earlier.
  for (unsigned Number = 1; Number <= Targets; ++Number)
    fill(Number, 6);
  for (std::uint16_t Port = 1; Port <= 20; ++Port) {
    for (unsigned Number = 1; Number <= Targets; ++Number)
      fill(Number, 2);
    pass(200ms);
    packet(1, syn(flowOfPort(Port)));
  }
  for (const auto &[Number, Host] : Hosts) {
    CHECK(Host.Agent->held().Requests > 0);
    CHECK(passedOn(Number) == 0);
  }
  CHECK(KnownWaits >= 19);
}

TEST_CASE_FIXTURE(passing_site,
                  "a gain below half of a service time passes nothing on") {
  // With two requests at the target, a third waits for two service times.
  for (const unsigned Number : {1U, 2U})
    fill(Number, 2);
  CHECK(openAt({1, 3, 4}, 1, 160ms) == agent_outcome::Delivered);
  CHECK(openAt({2, 3, 4}, 2, 140ms) == agent_outcome::PassedOn);
}

TEST_CASE_FIXTURE(passing_site, "a flow is passed on at most twice") {
  // Each hop delays the flow, and a third target is likely to be busy too.
  for (unsigned Number = 1; Number <= Targets; ++Number)
    fill(Number);
  Hops = 0;
  openAt({1, 2, 3, 4, 5, 6}, 1, 0ms);
  CHECK(isOpeningAt(3, 1));
  // Two between agents, and the notice to the balancer.
  CHECK(Hops == 3);
}

TEST_CASE_FIXTURE(passing_site,
                  "the balancer learns which agent took the flow") {
  // Without the notice the flow's next packet would start an owner lookup.
  fill(1);
  const flow_key Flow = flowOfPort(1);
  const auto Packet = bytesOf(syn(Flow));
  openAt({1, 2, 3}, 1, 0ms);
  REQUIRE(isOpeningAt(2, 1));
  test_frame Confirm = data(Flow, Received.back().Segment.Head.Sequence + 1);
  Confirm.Segment.Head.Payload = 0;
  Hops = 0;
  packet(2, Confirm);
  CHECK(Hops == 1);
  CHECK(ownerOf(Flow) == 2);
}

TEST_CASE_FIXTURE(passing_site, "a copy of the SYN of an opening flow stays") {
  // Otherwise two targets would answer it, and the caller would get the wrong
  // acknowledgements from one of them.
  openAt({1, 2, 3}, 1, 0ms);
  REQUIRE(isOpeningAt(1, 1));
  fill(1);
  CHECK(openAt({1, 2, 3}, 1, 0ms) == agent_outcome::Delivered);
  CHECK_FALSE(isOpeningAt(2, 1));
}

TEST_CASE_FIXTURE(passing_site,
                  "lists begin with free agents, own zone first") {
  // Target 2 is full, and all agents report to balancer 1.
  From = 1;
  for (std::uint16_t Port = 1; Port <= 40; ++Port) {
    fill(2);
    for (const unsigned Number : {1U, 3U, 4U, 5U, 6U})
      requestAt(Number);
    pass(400ms);
    packet(1, syn(flowOfPort(Port)));
    const std::vector<endpoint> Owners =
        Openings.at(flowOfPort(Port)).front().second;
    REQUIRE(Owners.size() == Targets);
    CHECK(isOwnZone(Owners[0]));
    CHECK(isOwnZone(Owners[1]));
    for (std::size_t I = 0; I < 5; ++I)
      CHECK(Owners[I] != agentAt(2));
  }
}

TEST_CASE_FIXTURE(passing_site,
                  "a full zone passes flows on to a free agent of another") {
  // Agents of other zones report only on request, which the balancer sends when
  // its zone is full.
  std::size_t PassedOut = 0;
  for (std::uint16_t Port = 1; Port <= 60; ++Port) {
    for (unsigned Number = 1; Number <= 3; ++Number)
      fill(Number, 2);
    packet(1, syn(flowOfPort(Port)));
    for (unsigned Number = 4; Number <= Targets; ++Number)
      PassedOut += isOpeningAt(Number, Port);
    pass(100ms);
  }
  CHECK(PassedOut > 30);
  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(passing_site,
                  "a flow leaves a zone that has no other free agent") {
  // The balancer knows that only target 1 of its zone is free, and target 1
  // gets a burst after its report.
  From = 1;
  for (const unsigned Number : {2U, 3U})
    fill(Number, 12);
  for (unsigned Number = 4; Number <= Targets; ++Number)
    requestAt(Number);
  pass(400ms);
  fill(1);
  std::uint16_t Port = 0;
  do
    packet(1, syn(flowOfPort(++Port)));
  while (Openings.at(flowOfPort(Port)).front().first != agentAt(1));
  const auto &Sent = Openings.at(flowOfPort(Port));
  CHECK_FALSE(isOwnZone(Sent.front().second[1]));
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(isOwnZone(Sent[1].first));
  CHECK(passedOn(1) == 1);
}

TEST_CASE_FIXTURE(passing_site, "an evacuated zone gets nothing passed on") {
  for (const unsigned Number : {1U, 2U})
    evacuateOn(Number, 10, {"oostende"});
  pass(400ms);
  for (std::uint16_t Port = 1; Port <= 40; ++Port) {
    for (unsigned Number = 1; Number <= 3; ++Number)
      fill(Number, 2);
    packet(1, syn(flowOfPort(Port)));
    pass(100ms);
  }
  CHECK(offeredIn("oostende") == 3);
  for (std::uint16_t Port = 1; Port <= 40; ++Port)
    for (const endpoint &Owner : Openings.at(flowOfPort(Port)).front().second)
      CHECK(isOwnZone(Owner));
}

TEST_CASE_FIXTURE(passing_site, "foreign regions get nothing passed on") {
  for (auto &[Number, Balancer] : Balancers)
    Balancer->setRegions({{"brugge", "west"}, {"oostende", "coast"}});
  const region_restriction West(std::vector<std::string>{"west"});
  route_rule Rule{routeOf(1), {{"ledger", 1}}, {"ledger"}, West,
                  West,       levelOf(1)};
  setRoutes({Rule});
  for (std::uint16_t Port = 1; Port <= 40; ++Port) {
    for (unsigned Number = 1; Number <= 3; ++Number)
      fill(Number, 2);
    packet(1, syn(flowOfPort(Port)));
    pass(100ms);
  }
  CHECK(offeredIn("oostende") == 3);
}

namespace {

/// Three targets with a limit of two flows each.
struct limited_site : level_site {
  limited_site() {
    for (unsigned Number = 1; Number <= 3; ++Number)
      addTarget(Number, 4);
    addLevelBalancer(1);
    Balancers[1]->setFlowLimits({{"ledger", 2}}, 1);
    pass(1s);
    updateBalancers();
  }
};

} // namespace

TEST_CASE_FIXTURE(limited_site, "a target at its flow limit passes flows on") {
  // Beyond its limit a target resets connections.
  for (std::uint16_t Port = 1; Port <= 6; ++Port) {
    openFlow(Port);
    pass(20ms);
  }
  CHECK(resets() == 0);
  for (const auto &[Number, Host] : Hosts)
    CHECK(Host.Target.Flows.size() == 2);
}

TEST_CASE_FIXTURE(limited_site,
                  "a flow is refused only if all targets are at their limit") {
  for (std::uint16_t Port = 1; Port <= 6; ++Port) {
    openFlow(Port);
    pass(20ms);
  }
  REQUIRE(resets() == 0);
  packet(1, syn({{0x64400007, 7}, routeOf(1)}));
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(limited_site, "flows that open together keep to the limit") {
  // All SYNs arrive before the first caller confirms its flow.
  for (std::uint16_t Port = 1; Port <= 12; ++Port)
    packet(1, syn({{0x64400000U + Port, Port}, routeOf(1)}));
  for (const auto &[Number, Host] : Hosts)
    CHECK(Host.Target.Opening.size() <= 2);
}
