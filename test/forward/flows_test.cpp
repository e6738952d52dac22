#include "forward/small_site.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(small_site, "a flow opens and is answered") {
  const std::uint32_t Ack = open(1, flowOf(1001));

  CHECK(ownerOf(flowOf(1001)) != 0);
  CHECK(answers() == 1);
  Received.clear();
  CHECK(packet(1, data(flowOf(1001), Ack, 42)) ==
        forward_outcome::SentFromCache);
  REQUIRE(Received.size() == 1);
  CHECK(Received[0].Body == 42);
}

TEST_CASE_FIXTURE(small_site, "a flow continues through any balancer") {
  // The fabric moves a flow to a balancer that has never seen it because the
  // previous one has stopped. No state of the previous one may be needed.
  for (std::uint16_t Port = 1001; Port < 1041; ++Port) {
    const std::uint32_t Ack = open(1, flowOf(Port));
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
    CHECK(resets() == 0);
  }
}

TEST_CASE_FIXTURE(small_site,
                  "after an owner lookup packets go straight to the owner") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  packet(2, data(Flow, Ack));
  Hops = 0;
  packet(2, data(Flow, Ack));

  CHECK(Hops <= 1);
}

TEST_CASE_FIXTURE(small_site, "each owner is looked up once by a balancer") {
  // Balancers were restarted. The owner of many flows is the first agent of the
  // list that a lookup carries; if it did not tell the balancer, every packet
  // of these flows would start another lookup.
  for (std::uint16_t Port = 1001; Port < 1041; ++Port) {
    const std::uint32_t Ack = open(1, flowOf(Port));
    packet(2, data(flowOf(Port), Ack));
    CHECK_MESSAGE(packet(2, data(flowOf(Port), Ack)) ==
                      forward_outcome::SentFromCache,
                  "port ", Port, ": expected the owner to be known");
  }
}

TEST_CASE_FIXTURE(small_site,
                  "an owner that a balancer knows sends it no notices") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  packet(2, data(Flow, Ack));
  const std::uint64_t Before = Balancers.at(2)->counters().Notices;
  for (int Repeat = 0; Repeat < 10; ++Repeat) {
    pass(200ms);
    packet(2, data(Flow, Ack));
  }

  CHECK(Balancers.at(2)->counters().Notices == Before);
}

TEST_CASE_FIXTURE(small_site,
                  "a packet of a flow without owner is reset at once") {
  // A target crashed and was restarted, so its flows are lost. Without a reset
  // the caller waits until its request times out.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  Hosts[ownerOf(Flow)].Target = {};
  Received.clear();
  packet(1, data(Flow, Ack));

  REQUIRE(resets() == 1);
  CHECK(Received[0].Segment.Head.Sequence == Ack);
}

TEST_CASE_FIXTURE(small_site,
                  "the agent of a lost flow sends the reset itself") {
  // A target crashed. Its agent knows that the target owned the flow and that
  // no other target can own it. No other target needs to be asked, and the
  // balancer's knowledge need not be current.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  packet(1, data(Flow, Ack));
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  expireKnowledge();
  Received.clear();
  Hops = 0;
  packet(1, data(Flow, Ack + 50));

  CHECK(resets() == 1);
  CHECK(Hops == 1);
}

TEST_CASE_FIXTURE(small_site,
                  "a reused port is not mistaken for the old flow") {
  // A caller reuses a port, and its new flow was placed at another target. The
  // agent of the old flow has it in its records as owned by its target.
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

TEST_CASE_FIXTURE(small_site, "no flow is reset on outdated knowledge") {
  // The store is unavailable. A target that joined since may own the flow, and
  // a reset would break it; without a reset the caller loses time but not its
  // session.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target = {};
  startAgent(Owner);
  expireKnowledge();
  Received.clear();
  packet(1, data(Flow, Ack));

  CHECK(resets() == 0);
}

TEST_CASE_FIXTURE(small_site, "no flow is reset while its owner is cut off") {
  // The owner's VM is cut off for some time. All other targets decline the
  // packet, but the owner has not, and its flow still exists.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Cut = true;
  Received.clear();
  for (int Try = 0; Try < 10; ++Try) {
    updateBalancers();
    packet(1, data(Flow, Ack));
    packet(2, data(Flow, Ack));
    pass(200ms);
  }
  CHECK(resets() == 0);

  Hosts[Owner].Cut = false;
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(small_site, "no flow is reset while its owner is frozen") {
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Target.Frozen = true;
  Received.clear();
  for (int Try = 0; Try < 10; ++Try) {
    updateBalancers();
    packet(2, data(Flow, Ack));
    pass(200ms);
  }
  CHECK(resets() == 0);

  Hosts[Owner].Target.Frozen = false;
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(
    small_site,
    "a frozen target does not lose packets of other targets' flows") {
  // One target hangs. Packets of other targets' flows, looked up by a balancer
  // that does not know their owners, must not be lost there.
  std::map<std::uint16_t, std::uint32_t> Acks;
  for (std::uint16_t Port = 1001; Port < 1021; ++Port)
    Acks[Port] = open(1, flowOf(Port));
  const unsigned Frozen = ownerOf(flowOf(1001));
  Hosts[Frozen].Target.Frozen = true;
  packet(1, syn(flowOf(3000)));
  for (std::uint16_t Port = 3001; Port < 3020; ++Port)
    packet(1, syn(flowOf(Port)));
  pass(1s);
  updateBalancers();
  for (const auto &[Port, Ack] : Acks) {
    if (ownerOf(flowOf(Port)) == Frozen)
      continue;
    Received.clear();
    packet(2, data(flowOf(Port), Ack));
    CHECK(answers() == 1);
  }
}

TEST_CASE_FIXTURE(small_site, "an agent's restart breaks no flow") {
  // The agent loses its state. Its target still owns the flow, and only the
  // target decides on ownership.
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
                  "the target whose answer was accepted owns the flow") {
  // Copies of one SYN reach two targets, and both answer. The caller accepts
  // one answer; its next packets may reach the other target's agent first.
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

TEST_CASE_FIXTURE(small_site,
                  "late copies of its first packet do not break an open flow") {
  // A balancer was frozen and delivers copies of a flow's first packet seconds
  // late. The owner's agent was restarted meanwhile, so that it sees its target
  // answer the first packet of a flow that has long been open. The caller must
  // not lose its flow with the next request.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  startAgent(Owner);
  Hosts[Owner].Agent->setAdmitting(true);
  Hosts[Owner].Agent->setTarget(4, duration::zero(), Now);
  for (const std::uint32_t Copy : {0, 1, 2})
    packet(2, syn(Flow, Copy));
  Received.clear();
  packet(1, data(Flow, Ack + 50));
  packet(2, data(Flow, Ack + 50));
  pass(1s);

  CHECK(resets() == 0);
  CHECK(answers() == 2);
}

TEST_CASE_FIXTURE(small_site, "a late copy of its first packet is not refused "
                              "by the agent of an open flow") {
  // A balancer was paused and delivers a copy of a flow's first packet late.
  // The owner's agent admits no flows by then. Its caller would be told that a
  // flow which is open has been refused.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  const unsigned Owner = ownerOf(Flow);
  Hosts[Owner].Agent->setAdmitting(false);
  const auto Copy = bytesOf(syn(Flow, 1));
  routed_packet Routed;
  Routed.Service = serviceNumber("ledger");
  Routed.Balancer = balancerAt(2);
  Routed.Count = 1;
  Routed.Owners[0] = agentAt(Owner);
  Routed.Packet = Copy;
  Received.clear();

  CHECK(routed(Owner, 2, Routed) == agent_outcome::Dropped);
  CHECK(resets() == 0);
  packet(1, data(Flow, Ack + 50));
  CHECK(answers() == 1);
}

TEST_CASE_FIXTURE(small_site, "an agent that admits no flows still refuses new "
                              "ones at once") {
  const unsigned Number = Hosts.begin()->first;
  Hosts[Number].Agent->setAdmitting(false);
  const auto First = bytesOf(syn(flowOf(1002)));
  routed_packet Routed;
  Routed.Service = serviceNumber("ledger");
  Routed.Balancer = balancerAt(2);
  Routed.Count = 1;
  Routed.Owners[0] = agentAt(Number);
  Routed.Packet = First;
  Received.clear();

  CHECK(routed(Number, 2, Routed) == agent_outcome::Refused);
  CHECK(resets() == 1);
}

TEST_CASE_FIXTURE(small_site, "the flows of a stopped process are reset") {
  // A target's process has crashed. Callers that get a reset before they send
  // lose nothing; a request sent into a lost flow may not be safe to repeat.
  std::size_t Held = 0;
  for (std::uint16_t Port = 1001; Port < 1031; ++Port)
    open(1, flowOf(Port));
  const unsigned Stopped = ownerOf(flowOf(1001));
  Held = Hosts[Stopped].Target.Flows.size();
  Received.clear();
  Hosts[Stopped].Agent->setTargetStopped(true, Now);

  CHECK(resets() == Held);
}

TEST_CASE_FIXTURE(small_site, "a flow of a previous service is found there") {
  // A route has moved to another service. Its existing flows must not break.
  const flow_key Flow = flowOf(1001);
  const std::uint32_t Ack = open(1, Flow);
  addHost(8, "archive");
  setRoutes({{RouteAddress, {{"archive", 1}}, {"archive", "ledger"}, {}}});
  Received.clear();
  packet(2, data(Flow, Ack));
  CHECK(answers() == 1);

  open(2, flowOf(1002));
  CHECK(ownerOf(flowOf(1002)) == 8);
}

TEST_CASE_FIXTURE(small_site, "a lookup tries each target once") {
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

TEST_CASE("mutated datagrams are dropped or passed on and break nothing") {
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
  // Format 2: a first packet and one that begins a request.
  Routed.Flags = 0;
  Routed.Balancer = balancerAt(1);
  Routed.Level = stated_level{{1, true, 300ms, 2s}, 50, 3};
  Routed.SubstituteWait = 5ms;
  const auto First = bytesOf(forward_world::syn(flowOf(1)));
  for (const bytes_view Inner : {bytes_view(First), bytes_view(Packet)}) {
    Routed.Packet = Inner;
    Buffer.assign(MaxRoutedBytes, 0);
    Buffer.resize(encodeRouted(Routed, Buffer));
    Samples.push_back(Buffer);
  }
  load_report Long;
  Long.Service = serviceNumber("ledger");
  Long.Agent = agentAt(1);
  Long.Capacity = capacity_report{2, {1, 2, 3, 4}, {1ms, 2ms, 3ms, 4ms}, 20ms};
  Buffer.assign(LongLoadReportBytes, 0);
  REQUIRE(encodeLoadReport(Long, Buffer) == LongLoadReportBytes);
  Samples.push_back(Buffer);
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
  Site.updateBalancers();
  CHECK(Site.open(2, flowOf(5000)) > 1);
}

TEST_CASE_FIXTURE(small_site,
                  "a flow closed without an answer counts as a failure") {
  // A target accepts requests and answers none. It refuses nothing and reports
  // no errors; only callers that close the flow without an answer show the
  // fault. If these were not counted, the target would get as many new flows as
  // any other.
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

TEST_CASE_FIXTURE(small_site, "a flow closed after its answer is no failure") {
  const std::uint32_t Next = open(1, flowOf(2001));
  packet(1, data(flowOf(2001), Next));
  test_frame End = data(flowOf(2001), Next);
  End.Segment.Head.Payload = 0;
  End.Segment.Head.Fin = true;
  packet(1, End);
  CHECK(Hosts[ownerOf(flowOf(2001))].Agent->report(Now).Failing == 0);
}
