#include "balancer/core_fixture.h"

using namespace marjoramrail;
using namespace marjoramrail::test;

TEST_CASE_FIXTURE(
    core_fixture,
    "an agent that a peer reports as unresponsive is tried last") {
  // The owner's VM died and the fleet has not detected it yet. Packets sent to
  // it are lost, and the caller gets no response for seconds.
  const flow_key Flow = sampleFlow(1);
  send(Flow, AckBit);
  const endpoint Dead = To;
  const endpoint Second = Routed.Owners[1];
  const std::uint8_t Count = Routed.Count;

  REQUIRE(sendSilenceNotice(Dead, Second) == packet_fault::None);
  send(Flow, AckBit);
  CHECK(To == Second);
  CHECK(Routed.Count == Count);
  CHECK(Routed.Owners[Count - 1] == Dead);

  Now += seconds(3);
  send(Flow, AckBit);
  CHECK(To == Dead);
}

TEST_CASE_FIXTURE(
    core_fixture,
    "silence notices are accepted only from the service's agents") {
  // Otherwise anyone could force a detour on every flow of a host.
  send(sampleFlow(1), AckBit);
  const endpoint Agent = Routed.Owners[0];
  const endpoint Other = Routed.Owners[1];
  const endpoint Stranger{0x0a0f0099, 7000};

  CHECK(sendSilenceNotice(Agent, Stranger) == packet_fault::ForeignSender);
  CHECK(sendSilenceNotice(Stranger, Agent) == packet_fault::ForeignSender);
  CHECK(sendSilenceNotice(Agent, Agent) == packet_fault::ForeignSender);
  CHECK(sendSilenceNotice(Agent, Other, service_id(8)) ==
        packet_fault::UnknownService);
}
