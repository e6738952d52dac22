#include "balancer/core_fixture.h"

using namespace marjoramrail;
using namespace marjoramrail::test;

TEST_CASE_FIXTURE(core_fixture,
                  "an agent that its peers find silent is tried last") {
  // The owner's VM has died and the fleet does not know it yet. Sent there, the
  // flow's packets vanish and its caller hears nothing for seconds.
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

TEST_CASE_FIXTURE(core_fixture,
                  "silence is believed from the service's agents alone") {
  // Anyone else could make every flow of a host take a detour.
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
